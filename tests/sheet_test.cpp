#include "version/sheet.h"

#include "version/manifest.h"
#include "wire/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace ibisrock {
namespace {

const std::string kValid = "service,a,latency,1000,300,2000,64,1\n"
                           "shard,a,s0\n"
                           "target,a,s0,t0,10.0.0.1:80,dc,2,25,6\n";

struct FaultCase
{
  const char* name_;
  std::string text_;
  /// Line and column of each fault, in the order reported.
  std::vector<std::pair<size_t, size_t>> places_;
};

class SheetFaults : public testing::TestWithParam<FaultCase>
{};

// Guards against a faulty sheet that passes, and against faults that are hidden by others or reported elsewhere.
TEST_P(SheetFaults, AreAllReportedInPlace)
{
  std::vector<SheetFault> faults;
  EXPECT_FALSE(ParseSheet(GetParam().text_, faults));
  std::vector<std::pair<size_t, size_t>> places;
  std::string texts;
  for (const SheetFault& fault : faults) {
    places.emplace_back(fault.line_, fault.column_);
    texts += fault.text_ + "\n";
    EXPECT_FALSE(fault.text_.empty());
  }
  EXPECT_EQ(places, GetParam().places_) << texts;
}

std::string
ManyTargets()
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
  SheetFaults,
  testing::Values(
    FaultCase{ "Empty", "", { { 0, 0 } } },
    FaultCase{ "BlankLines", "\n\r\n" + kValid + "\n\nfoo\n", { { 8, 1 } } },
    FaultCase{ "QuotedLineBreak", "sheet,\"two\nlines\",0\n" + kValid + "foo\n", { { 6, 1 } } },
    FaultCase{ "CrLf", "\r\nsheet,x,0\r\n\r\nfoo\r\n" + kValid + "bar", { { 4, 1 }, { 8, 1 } } },
    FaultCase{ "UnclosedQuote", "sheet,\"x,0\n" + kValid + "foo\n", { { 1, 0 }, { 5, 1 } } },
    FaultCase{ "TextAfterQuote", kValid + "sheet,\"x\"y,0\nfoo\n", { { 4, 0 }, { 5, 1 } } },
    FaultCase{ "MalformedUtf8", kValid + "sheet,\xff,0\nfoo\n", { { 4, 0 }, { 5, 1 } } },
    FaultCase{ "Columns", kValid + "shard,a\n", { { 4, 0 } } },
    FaultCase{ "TwoSheetRows", "sheet,x,0\nsheet,y,0\n" + kValid, { { 2, 1 } } },
    FaultCase{ "Numbers",
               "service,a,fast,0,-1,x,99999999999,1.5\n",
               { { 1, 0 }, { 1, 3 }, { 1, 4 }, { 1, 5 }, { 1, 6 }, { 1, 7 }, { 1, 8 } } },
    FaultCase{ "SoftDeadline", kValid + "service,b,latency,10,11,1,1,1\nshard,b,s\n", { { 4, 5 }, { 5, 0 } } },
    FaultCase{ "Duplicates",
               kValid + "caller,a,c,1\ncaller,a,c,1\nshard,a,s0\ntarget,a,s0,t0,10.0.0.1:80,dc,2,25,6\n" + kValid,
               { { 5, 3 }, { 6, 3 }, { 7, 4 }, { 8, 2 }, { 9, 3 }, { 10, 4 } } },
    FaultCase{ "ShardWithoutTarget", kValid + "shard,a,s1\n", { { 4, 0 } } },
    FaultCase{ "UnknownService", kValid + "shard,b,s1\ncaller,b,c,1\n", { { 4, 2 }, { 5, 2 } } },
    FaultCase{ "UnknownShard", kValid + "target,a,s1,t1,10.0.0.2:80,dc,2,25,6\n", { { 4, 3 } } },
    FaultCase{ "Names",
               kValid + "caller,a,,1\ncaller,a,x/y,1\ncaller,a,..,1\ncaller,a,x y,1\nshard,a," + std::string(129, 's') +
                 "\n",
               { { 4, 3 }, { 5, 3 }, { 6, 3 }, { 7, 3 }, { 8, 0 }, { 8, 3 } } },
    FaultCase{ "Connections", kValid + "target,a,s0,t1,10.0.0.2:80,dc,2,3,6\n", { { 4, 8 } } },
    FaultCase{ "ConnectTime", kValid + "target,a,s0,t1,10.0.0.2:80,dc,2,4,1000\n", { { 4, 9 } } },
    FaultCase{ "TooLarge", kValid + "target,a,s0,t1,10.0.0.2:80,dc,65536,4294967298,6\n", { { 4, 7 }, { 4, 8 } } },
    FaultCase{ "CallerAboveService", kValid + "caller,a,c,2001\n", { { 4, 4 } } },
    FaultCase{ "OneAddressTwice", kValid + "target,a,s0,t1,10.0.0.1:80,dc,2,4,6\n", { { 4, 5 } } },
    FaultCase{ "Addresses",
               kValid + "target,a,s0,t1,host:80,dc,2,4,6\ntarget,a,s0,t2,10.0.0.1,dc,2,4,6\n"
                        "target,a,s0,t3,10.0.0.1:65536,dc,2,4,6\ntarget,a,s0,t4,10.0.0.256:1,dc,2,4,6\n",
               { { 4, 5 }, { 5, 5 }, { 6, 5 }, { 7, 5 } } },
    FaultCase{ "OneTargetTwoSettings",
               kValid + "service,b,latency,1000,300,2000,64,1\nshard,b,s0\ntarget,b,s0,t0,10.0.0.1:80,dc,3,25,6\n",
               { { 6, 4 } } },
    FaultCase{ "PartTooLarge", ManyTargets(), { { 1, 0 } } }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a check that refuses a target shared by two services with the same settings.
TEST(SheetTest, AcceptsASharedTarget)
{
  std::vector<SheetFault> faults;
  EXPECT_TRUE(ParseSheet(
    kValid + "service,b,coverage,1000,300,2000,64,1\nshard,b,x\ntarget,b,x,t0,10.0.0.1:80,dc,2,25,6\n", faults));
}

/// Builds a valid sheet from generated numbers.
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

// Guards against a field that the stored form loses.
RC_GTEST_PROP(SheetProperty, SurvivesTheStoredForm, ())
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

/// Calls every decoder that takes bytes from outside the process.
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

// Guards against a crash on bytes that no encoder made.
RC_GTEST_PROP(DecoderProperty, ArbitraryBytesNeverCrash, (const std::string& aBytes))
{
  DecodeAll(aBytes);
}

// Guards against a crash on text that is nearly right, which arbitrary bytes hardly ever are.
RC_GTEST_PROP(DecoderProperty, DamagedValuesNeverCrash, (uint8_t aByte, bool aCut))
{
  std::vector<SheetFault> faults;
  const std::string sheet = GenerateSheet();
  const auto parsed = ParseSheet(sheet, faults);
  RC_ASSERT(parsed.has_value());
  wire::Envelope envelope;
  envelope.body_ = wire::GossipMessage{ { wire::VersionUpdate{ "config/head", 7, PeerAddress("10.0.0.1:1") } } };
  for (std::string text : { sheet, EncodeService(parsed->services_.begin()->second), wire::Encode(envelope) }) {
    const auto place = *rc::gen::inRange<size_t>(0, text.size());
    text[place] = static_cast<char>(aByte);
    DecodeAll(aCut ? text.substr(0, place) : text);
  }
}

// Guards against memory reserved for a number of elements that the message only announces.
TEST(DecoderTest, RefusesAnAnnouncedSize)
{
  LastReason reason;
  EXPECT_FALSE(wire::Decode(std::string("\xdd\xff\xff\xff\xff", 5), reason));
  EXPECT_FALSE(wire::Decode(std::string("\xdf\xff\xff\xff\xff", 5), reason));
}

} // namespace
} // namespace ibisrock
