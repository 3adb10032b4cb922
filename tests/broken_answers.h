#ifndef IBISROCK_TESTS_BROKEN_ANSWERS_H
#define IBISROCK_TESTS_BROKEN_ANSWERS_H

#include <sstream>
#include <string>
#include <vector>

namespace ibisrock {

/// An answer that HTTP does not allow, from a server in trouble.
struct BrokenAnswer
{
  std::string name_;
  std::string text_;
  /// The server closes the connection behind it.
  bool closes_ = false;
};

/// Shows the name in the messages of tests.
inline void
PrintTo(const BrokenAnswer& aAnswer, std::ostream* aOut)
{
  *aOut << aAnswer.name_;
}

/// Makes broken answers that would be sound ones of a server but for the fault in each.
class BrokenAnswers
{
public:
  /// Takes the fields and the body of a sound answer.
  BrokenAnswers(std::string aFields, std::string aBody)
    : fields_(std::move(aFields))
    , body_(std::move(aBody))
  {
    std::ostringstream size;
    size << std::hex << body_.size();
    chunks_ = size.str() + "\r\n" + body_ + "\r\n0\r\n";
  }

  /// A whole answer with a length.
  std::string Answer(const std::string& aStatusLine, const std::string& aFields) const
  {
    return aStatusLine + "\r\n" + fields_ + aFields + Length() + "\r\n" + body_;
  }

  /// An answer whose length only aFields tells.
  std::string Framed(const std::string& aFields, const std::string& aBody) const
  {
    return "HTTP/1.1 200 OK\r\n" + fields_ + aFields + "\r\n" + aBody;
  }

  std::string WithStatus(const std::string& aStatus) const { return Answer("HTTP/1.1 " + aStatus + " X", ""); }
  std::string WithFields(const std::string& aFields) const { return Answer("HTTP/1.1 200 OK", aFields); }
  std::string Chunked(const std::string& aFields, const std::string& aTrailers = "") const
  {
    return Framed(aFields, chunks_ + aTrailers + "\r\n");
  }

  std::vector<BrokenAnswer> Statuses() const
  {
    return { { "StatusZero", WithStatus("000") },
             { "StatusZeroBeforeASoundAnswer", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + WithStatus("200") },
             { "StatusOne", WithStatus("001") },
             { "StatusBelowHundred", WithStatus("099") },
             { "StatusSixHundred", WithStatus("600") },
             { "StatusGreatest", WithStatus("999") },
             { "StatusOfTwoDigits", WithStatus("20") },
             { "StatusOfFourDigits", WithStatus("2000") },
             { "StatusNoNumber", WithStatus("2x0") },
             { "StatusNegative", WithStatus("-20") },
             { "BlanksBeforeStatus", WithStatus("  200") },
             { "SwitchingProtocols", "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n" + WithStatus("200") } };
  }

  std::vector<BrokenAnswer> Names() const
  {
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    return { { "BlankInName", WithByteInName(' ') },
             { "TabInName", WithByteInName('\t') },
             { "NullInName", WithByteInName('\0') },
             { "ControlByteInName", WithByteInName('\x01') },
             { "LastControlByteInName", WithByteInName('\x1f') },
             { "DeleteInName", WithByteInName('\x7f') },
             { "HighByteInName", WithByteInName('\x80') },
             { "GreatestByteInName", WithByteInName('\xff') },
             { "CarriageReturnInName", WithByteInName('\r') },
             { "LineFeedInName", WithByteInName('\n') },
             { "QuoteInName", WithByteInName('"') },
             { "SlashInName", WithByteInName('/') },
             { "BraceInName", WithByteInName('{') },
             { "BlankBeforeColon", WithFields("X-Bad : 1\r\n") },
             { "TabBeforeColon", WithFields("X-Bad\t: 1\r\n") },
             { "BlankInNameOfTheLength", Framed("Content-Length : " + std::to_string(body_.size()) + "\r\n", body_) },
             { "EmptyName", WithFields(": 1\r\n") },
             { "NoColon", WithFields("X-Bad\r\n") },
             { "ControlByteInValue", WithFields("X-Bad: a\x01z\r\n") },
             { "BlankInNameOfATrailer", Chunked(chunked, "X Bad: 1\r\n") } };
  }

  /// Lines that a parser joins to the value before them.
  std::vector<BrokenAnswer> Folds() const
  {
    return { { "FoldedLine", Framed(" X-Bad: 1\r\n" + Length(), body_) },
             { "FoldedLineWithTab", WithFields("\tX-Bad: 1\r\n") },
             { "FoldedFirstLine", "HTTP/1.1 200 OK\r\n X-Bad: 1\r\n" + fields_ + Length() + "\r\n" + body_ },
             { "FoldedLastLine", Framed(Length() + " X-Bad: 1\r\n", body_) },
             { "FoldedLength", Framed(" " + Length(), body_), true },
             { "FoldedLineOfBlanks", WithFields("  \r\n") } };
  }

  std::vector<BrokenAnswer> Codings() const
  {
    const std::string name = "Transfer-Encoding:";
    return { { "CodingGzip", Framed(name + " gzip\r\n", body_), true },
             { "CodingUnknown", Framed(name + " xchunked\r\n", body_), true },
             { "CodingEmpty", Framed(name + "\r\n", body_), true },
             { "CodingGzipThenChunked", Chunked(name + " gzip, chunked\r\n") },
             { "CodingChunkedTwice", Chunked(name + " chunked, chunked\r\n") },
             { "CodingInTwoFields", Chunked(name + " gzip\r\n" + name + " chunked\r\n") },
             { "CodingInOldVersion", "HTTP/1.0 200 OK\r\n" + fields_ + name + " chunked\r\n\r\n" + chunks_ + "\r\n" },
             { "CodingWithLength", Chunked(name + " chunked\r\n" + Length()) } };
  }

  /// Lengths that no answer has. A length is stated before a byte of the body has come.
  std::vector<BrokenAnswer> Lengths() const
  {
    const std::string name = "Content-Length:";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    return { { "LengthAboveTheMemory", Framed(name + " 4000000000000\r\n", body_) },
             { "LengthGreatestNumber", Framed(name + " 18446744073709551615\r\n", body_) },
             { "LengthAboveAnyNumber", Framed(name + " 99999999999999999999\r\n", body_) },
             { "LengthNegative", Framed(name + " -4\r\n", body_) },
             { "LengthSigned", Framed(name + " +4\r\n", body_) },
             { "LengthHexadecimal", Framed(name + " 0x4\r\n", body_) },
             { "LengthEmpty", Framed(name + "\r\n", body_) },
             { "LengthsThatDiffer", Framed(Length() + name + " 9999\r\n", body_) },
             { "LengthIsAList", Framed(name + " 4, 5\r\n", body_) },
             { "ChunkAboveTheMemory", Framed(chunked, "3a352944000\r\n" + body_) },
             { "ChunkAboveAnyNumber", Framed(chunked, "fffffffffffffffff\r\n" + body_) } };
  }

  std::vector<BrokenAnswer> All() const
  {
    std::vector<BrokenAnswer> all;
    for (const auto& kind : { Statuses(), Names(), Folds(), Codings(), Lengths() }) {
      all.insert(all.end(), kind.begin(), kind.end());
    }
    return all;
  }

private:
  std::string Length() const { return "Content-Length: " + std::to_string(body_.size()) + "\r\n"; }
  std::string WithByteInName(char aByte) const { return WithFields(std::string("X-B") + aByte + "d: 1\r\n"); }

  const std::string fields_;
  const std::string body_;
  std::string chunks_;
};

} // namespace ibisrock

#endif
