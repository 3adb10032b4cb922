#include "version/sheet.h"

#include "version/manifest.h"
#include "wire/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace ibisrock {
namespace {

const std::string kValidSheet = "service,a,latency,1000,300,2000,64,1\n"
                                "shard,a,s0\n"
                                "target,a,s0,t0,10.0.0.1:80,dc,2,25,6\n";

struct SheetErrorCase
{
  const char* name_;
  std::string text_;
  /// Line and column of each expected error, in the order reported.
  std::vector<std::pair<size_t, size_t>> positions_;
};

class SheetErrorTest : public testing::TestWithParam<SheetErrorCase>
{};

// Guards against an invalid sheet that is accepted, and against errors that are masked by others or reported at a wrong
// position.
TEST_P(SheetErrorTest, ReportsAllErrorsWithPositions)
{
  std::vector<SheetFault> faults;
  EXPECT_FALSE(ParseSheet(GetParam().text_, faults));
  std::vector<std::pair<size_t, size_t>> positions;
  std::string texts;
  for (const SheetFault& fault : faults) {
    positions.emplace_back(fault.line_, fault.column_);
    texts += fault.text_ + "\n";
    EXPECT_FALSE(fault.text_.empty());
  }
  EXPECT_EQ(positions, GetParam().positions_) << texts;
}

std::string
SheetWithManyTargets()
{
  std::ostringstream out;
  out << "service,a,latency,1000,300,2000,64,1\nshard,a,s0\n";
  for (int index = 0; index < 10000; index++) {
    out << "target,a,s0," << std::string(100, 't') << index << ",10.0." << index / 250 << "." << index % 250 + 1
        << ":80,dc,2,25,6\n";
  }
  return out.str();
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  SheetErrorTest,
  testing::Values(
    SheetErrorCase{ "Empty", "", { { 0, 0 } } },
    SheetErrorCase{ "BlankLines", "\n\r\n" + kValidSheet + "\n\nfoo\n", { { 8, 1 } } },
    SheetErrorCase{ "QuotedLineBreak", "sheet,\"two\nlines\",0\n" + kValidSheet + "foo\n", { { 6, 1 } } },
    SheetErrorCase{ "CrLf", "\r\nsheet,x,0\r\n\r\nfoo\r\n" + kValidSheet + "bar", { { 4, 1 }, { 8, 1 } } },
    SheetErrorCase{ "UnclosedQuote", "sheet,\"x,0\n" + kValidSheet + "foo\n", { { 1, 0 }, { 5, 1 } } },
    SheetErrorCase{ "TextAfterQuote", kValidSheet + "sheet,\"x\"y,0\nfoo\n", { { 4, 0 }, { 5, 1 } } },
    SheetErrorCase{ "MalformedUtf8", kValidSheet + "sheet,\xff,0\nfoo\n", { { 4, 0 }, { 5, 1 } } },
    SheetErrorCase{ "Columns", kValidSheet + "shard,a\n", { { 4, 0 } } },
    SheetErrorCase{ "TwoSheetRows", "sheet,x,0\nsheet,y,0\n" + kValidSheet, { { 2, 1 } } },
    SheetErrorCase{ "Numbers",
                    "service,a,fast,0,-1,x,99999999999,1.5\n",
                    { { 1, 0 }, { 1, 3 }, { 1, 4 }, { 1, 5 }, { 1, 6 }, { 1, 7 }, { 1, 8 } } },
    SheetErrorCase{ "SoftDeadline",
                    kValidSheet + "service,b,latency,10,11,1,1,1\nshard,b,s\n",
                    { { 4, 5 }, { 5, 0 } } },
    SheetErrorCase{ "Duplicates",
                    kValidSheet + "caller,a,c,1\ncaller,a,c,1\nshard,a,s0\ntarget,a,s0,t0,10.0.0.1:80,dc,2,25,6\n" +
                      kValidSheet,
                    { { 5, 3 }, { 6, 3 }, { 7, 4 }, { 8, 2 }, { 9, 3 }, { 10, 4 } } },
    SheetErrorCase{ "ShardWithoutTarget", kValidSheet + "shard,a,s1\n", { { 4, 0 } } },
    SheetErrorCase{ "UnknownService", kValidSheet + "shard,b,s1\ncaller,b,c,1\n", { { 4, 2 }, { 5, 2 } } },
    SheetErrorCase{ "UnknownShard", kValidSheet + "target,a,s1,t1,10.0.0.2:80,dc,2,25,6\n", { { 4, 3 } } },
    SheetErrorCase{ "Names",
                    kValidSheet + "caller,a,,1\ncaller,a,x/y,1\ncaller,a,..,1\ncaller,a,x y,1\nshard,a," +
                      std::string(129, 's') + "\n",
                    { { 4, 3 }, { 5, 3 }, { 6, 3 }, { 7, 3 }, { 8, 0 }, { 8, 3 } } },
    SheetErrorCase{ "Connections", kValidSheet + "target,a,s0,t1,10.0.0.2:80,dc,2,3,6\n", { { 4, 8 } } },
    SheetErrorCase{ "ConnectTime", kValidSheet + "target,a,s0,t1,10.0.0.2:80,dc,2,4,1000\n", { { 4, 9 } } },
    SheetErrorCase{ "TooLarge",
                    kValidSheet + "target,a,s0,t1,10.0.0.2:80,dc,65536,4294967298,6\n",
                    { { 4, 7 }, { 4, 8 } } },
    SheetErrorCase{ "CallerAboveService", kValidSheet + "caller,a,c,2001\n", { { 4, 4 } } },
    SheetErrorCase{ "OneAddressTwice", kValidSheet + "target,a,s0,t1,10.0.0.1:80,dc,2,4,6\n", { { 4, 5 } } },
    SheetErrorCase{ "Addresses",
                    kValidSheet + "target,a,s0,t1,host:80,dc,2,4,6\ntarget,a,s0,t2,10.0.0.1,dc,2,4,6\n"
                                  "target,a,s0,t3,10.0.0.1:65536,dc,2,4,6\ntarget,a,s0,t4,10.0.0.256:1,dc,2,4,6\n",
                    { { 4, 5 }, { 5, 5 }, { 6, 5 }, { 7, 5 } } },
    SheetErrorCase{ "OneTargetTwoSettings",
                    kValidSheet +
                      "service,b,latency,1000,300,2000,64,1\nshard,b,s0\ntarget,b,s0,t0,10.0.0.1:80,dc,3,25,6\n",
                    { { 6, 4 } } },
    SheetErrorCase{ "PartTooLarge", SheetWithManyTargets(), { { 1, 0 } } }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a check that rejects a target shared by two services with the same settings.
TEST(SheetTest, AcceptsSharedTarget)
{
  std::vector<SheetFault> faults;
  EXPECT_TRUE(ParseSheet(
    kValidSheet + "service,b,coverage,1000,300,2000,64,1\nshard,b,x\ntarget,b,x,t0,10.0.0.1:80,dc,2,25,6\n", faults));
}

/// Generates a valid sheet with random numbers.
std::string
GenerateSheet()
{
  const auto services = *rc::gen::inRange(1, 5);
  std::ostringstream out;
  out << "sheet,\"generated, quoted\"," << *rc::gen::inRange(0, 1000) << "\r\n";
  for (int service = 0; service < services; service++) {
    const std::string name = "v" + std::to_string(service);
    const int deadline = *rc::gen::inRange(100, 10000);
    out << "\nservice," << name << (*rc::gen::arbitrary<bool>() ? ",latency," : ",coverage,") << deadline << ","
        << *rc::gen::inRange(1, deadline) << ",500,64," << *rc::gen::inRange(1, 99) << "\ncaller," << name << ",jetty,"
        << *rc::gen::inRange(1, 500) << "\n";
    const int shards = *rc::gen::inRange(1, 6);
    for (int shard = 0; shard < shards; shard++) {
      const int slots = *rc::gen::inRange(1, 100);
      out << "shard," << name << ",s" << shard << "\ntarget," << name << ",s" << shard << "," << name << "-" << shard
          << ",10.0." << service << "." << shard << ":80,dc," << slots << "," << 2 * slots << ","
          << *rc::gen::inRange(0, 99) << "\n";
    }
  }
  return out.str();
}

// Guards against a field that is lost when a service is encoded and decoded.
RC_GTEST_PROP(SheetProperty, EncodingRoundTrip, ())
{
  std::vector<SheetFault> faults;
  const auto sheet = ParseSheet(GenerateSheet(), faults);
  RC_ASSERT(sheet.has_value());
  for (const auto& [name, service] : sheet->services_) {
    LastReason reason;
    const auto decoded = DecodeService(EncodeService(service), reason);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == service);
  }
}

/// Calls the decoders of sheets, stored values and peer messages.
void
DecodeAll(const std::string& aBytes)
{
  LastReason reason;
  std::vector<SheetFault> faults;
  const bool isValid = ParseSheet(aBytes, faults).has_value();
  RC_ASSERT(isValid == faults.empty());
  DecodeService(aBytes, reason);
  DecodeManifest(aBytes, reason);
  wire::Decode(aBytes, reason);
}

// Guards against a crash on arbitrary bytes.
RC_GTEST_PROP(DecoderProperty, ArbitraryBytesNeverCrash, (const std::string& aBytes))
{
  DecodeAll(aBytes);
}

// Guards against a crash on corrupted or truncated encodings, which arbitrary bytes rarely resemble.
RC_GTEST_PROP(DecoderProperty, CorruptedValuesNeverCrash, (uint8_t aByte, bool aTruncate))
{
  std::vector<SheetFault> faults;
  const std::string sheet = GenerateSheet();
  const auto parsed = ParseSheet(sheet, faults);
  RC_ASSERT(parsed.has_value());
  wire::Envelope envelope;
  envelope.body_ = wire::GossipMessage{ { wire::VersionUpdate{ "config/head", 7, PeerAddress("10.0.0.1:1") } } };
  for (std::string text : { sheet, EncodeService(parsed->services_.begin()->second), wire::Encode(envelope) }) {
    const auto position = *rc::gen::inRange<size_t>(0, text.size());
    text[position] = static_cast<char>(aByte);
    DecodeAll(aTruncate ? text.substr(0, position) : text);
  }
}

// Guards against memory being allocated for the declared size of an array or map whose elements are missing.
TEST(DecoderTest, RejectsDeclaredSizeWithoutElements)
{
  LastReason reason;
  EXPECT_FALSE(wire::Decode(std::string("\xdd\xff\xff\xff\xff", 5), reason));
  EXPECT_FALSE(wire::Decode(std::string("\xdf\xff\xff\xff\xff", 5), reason));
}

} // namespace
} // namespace ibisrock
