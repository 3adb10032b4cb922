#include "version/csv_rows.h"

#include <cxxtools/csvdeserializer.h>
#include <cxxtools/serializationinfo.h>
#include <exception>
#include <sstream>
#include <utility>

namespace ibisrock {

namespace {

constexpr char kNoQuote = '\0';

/// Bytes and line breaks of one record.
struct Extent
{
  /// End of the content, without its line break.
  size_t end_ = 0;
  /// Begin of the next record.
  size_t next_ = 0;
  size_t lineBreaks_ = 0;
  bool closed_ = true;
};

/// Length of the line break at aAt, 0 if there is none. A lone carriage return is a line break, as for cxxtools.
size_t
LineBreakLength(const std::string& aText, size_t aAt)
{
  if (aText[aAt] == '\r') {
    return aAt + 1 < aText.size() && aText[aAt + 1] == '\n' ? 2 : 1;
  }
  return aText[aAt] == '\n' ? 1 : 0;
}

/// Finds the end of the record at aBegin. As for cxxtools, a quote opens only as the first character of a field.
Extent
FindExtent(const std::string& aText, size_t aBegin, bool aQuotesSpanLines)
{
  Extent extent;
  char quote = kNoQuote;
  char justClosed = kNoQuote;
  bool atFieldStart = true;
  for (size_t at = aBegin; at < aText.size();) {
    const char current = aText[at];
    const size_t lineBreak = LineBreakLength(aText, at);
    if (lineBreak > 0) {
      extent.lineBreaks_++;
      if (quote == kNoQuote || !aQuotesSpanLines) {
        extent.end_ = at;
        extent.next_ = at + lineBreak;
        return extent;
      }
    } else if (quote != kNoQuote) {
      justClosed = current == quote ? quote : kNoQuote;
      quote = current == quote ? kNoQuote : quote;
    } else {
      // A doubled quote inside a quoted field closes the field and opens it again.
      const bool opens = (atFieldStart && (current == '"' || current == '\'')) || current == justClosed;
      quote = opens ? current : kNoQuote;
      atFieldStart = current == ',';
      justClosed = kNoQuote;
    }
    at += lineBreak > 0 ? lineBreak : 1;
  }
  extent.end_ = extent.next_ = aText.size();
  extent.closed_ = quote == kNoQuote;
  return extent;
}

/// True for characters that cxxtools reads without loss; it silently stops reading at malformed UTF-8.
bool
IsPlain(char aCharacter)
{
  return (aCharacter >= ' ' && aCharacter <= '~') || aCharacter == '\t' || aCharacter == '\r' || aCharacter == '\n';
}

void
ParseRecord(const std::string& aText, CsvRecord& aRecord)
{
  for (const char character : aText) {
    if (!IsPlain(character)) {
      aRecord.error_ = "the line holds a character that is not printable ASCII";
      return;
    }
  }
  try {
    std::istringstream in(aText);
    cxxtools::CsvDeserializer deserializer;
    deserializer.readTitle(false);
    deserializer.delimiter(',');
    deserializer.read(in);
    std::vector<CsvRow> rows;
    deserializer.deserialize(rows);
    if (rows.size() == 1) {
      aRecord.row_ = std::move(rows.front());
    } else if (!aText.empty()) {
      aRecord.error_ = "the line is not one CSV record";
    }
  } catch (const std::exception& error) {
    aRecord.error_ = std::string("the line is not CSV: ") + error.what();
  }
}

} // namespace

std::vector<CsvRecord>
SplitCsvRecords(const std::string& aText)
{
  std::vector<CsvRecord> records;
  size_t line = 1;
  for (size_t begin = 0; begin < aText.size();) {
    CsvRecord record;
    record.line_ = line;
    Extent extent = FindExtent(aText, begin, true);
    if (extent.closed_) {
      ParseRecord(aText.substr(begin, extent.end_ - begin), record);
    } else {
      // Without a closing quote the rest of the text would count as one field; only its first line is given up.
      extent = FindExtent(aText, begin, false);
      record.error_ = "a quoted field is not closed";
    }
    records.push_back(std::move(record));
    line += extent.lineBreaks_;
    begin = extent.next_;
  }
  return records;
}

} // namespace ibisrock
