#include "process/store_eras.h"

#include "platform/store_era.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using enum EraVerdict;

/// An answer that states an era, 0 for none, and what it is worth.
struct StatedEra
{
  uint64_t era_;
  EraVerdict verdict_;
  EraSource source_ = EraSource::Store;
};

struct EraCase
{
  const char* name_;
  std::vector<StatedEra> answers_;
  uint64_t newest_;
};

class EraRule : public testing::TestWithParam<EraCase>
{};

/// Guards against a delayed answer of an older era that overrides the newer one, and against one garbled answer that
/// outdates all that follow.
TEST_P(EraRule, JudgesAnswersByTheirEra)
{
  StoreEras eras;
  uint64_t begun = 0;
  eras.SetOnNew([&](StoreEra) { begun++; });
  uint64_t expectedBegun = 0;
  uint64_t expectedDisregarded = 0;
  for (const auto& [stated, verdict, source] : GetParam().answers_) {
    EXPECT_EQ(eras.Judge(StoreEra(stated), source), verdict) << "era " << stated;
    expectedBegun += verdict == New ? 1 : 0;
    expectedDisregarded += verdict == Disregarded ? 1 : 0;
  }
  EXPECT_EQ(eras.Newest(), StoreEra(GetParam().newest_));
  EXPECT_EQ(begun, expectedBegun);
  EXPECT_EQ(eras.Disregarded(), expectedDisregarded);
}

INSTANTIATE_TEST_SUITE_P(
  StoreEras,
  EraRule,
  testing::Values(
    EraCase{ "NeverStated", { { 0, Current }, { 0, Current } }, 0 },
    EraCase{ "FirstStated", { { 7, New }, { 7, Current } }, 7 },
    EraCase{ "StatedLater", { { 0, Current }, { 3, New }, { 3, Current } }, 3 },
    EraCase{ "Next", { { 1, New }, { 2, New }, { 2, Current } }, 2 },
    EraCase{ "DelayedAnswer", { { 1, New }, { 2, New }, { 1, Disregarded }, { 2, Current } }, 2 },
    EraCase{ "FirstAnswerGarbled", { { 900, New }, { 1, New }, { 1, Current }, { 900, Disregarded } }, 1 },
    EraCase{ "FirstAnswerDelayed", { { 2, New }, { 1, New }, { 2, New }, { 1, Disregarded } }, 2 },
    EraCase{ "NoEraAfterTheFirst", { { 2, New }, { 0, Disregarded }, { 2, Current }, { 1, Disregarded } }, 2 },
    EraCase{ "ManyDelayedAnswers",
             { { 2, New }, { 2, Current }, { 1, Disregarded }, { 1, Disregarded }, { 1, Disregarded } },
             2 },
    EraCase{ "NoEraAfterOne", { { 1, New }, { 0, Disregarded }, { 1, Current } }, 1 },
    EraCase{ "SeveralPassedAtOnce", { { 1, New }, { 1, Current }, { 4, Disregarded }, { 4, New }, { 4, Current } }, 4 },
    EraCase{ "RelayStatesTheOldEraBetween",
             { { 1, New }, { 1, Current }, { 4, Disregarded }, { 1, Current, EraSource::Relay }, { 4, New } },
             4 },
    EraCase{ "RelayOfAnOlderEraBetween",
             { { 2, New }, { 2, Current }, { 5, Disregarded }, { 1, Disregarded, EraSource::Relay }, { 5, New } },
             5 },
    EraCase{
      "GarbledRelay",
      { { 1, New }, { 1, Current }, { 900, Disregarded, EraSource::Relay }, { 1, Current }, { 900, Disregarded } },
      1 },
    EraCase{ "OneGarbledAnswer",
             { { 1, New }, { 1, Current }, { 900, Disregarded }, { 1, Current }, { 900, Disregarded } },
             1 },
    EraCase{ "TwoDifferentGarbledAnswers",
             { { 1, New }, { 1, Current }, { 900, Disregarded }, { 800, Disregarded } },
             1 },
    EraCase{ "GarbledThenDelayed",
             { { 2, New }, { 2, Current }, { 900, Disregarded }, { 1, Disregarded }, { 900, Disregarded } },
             2 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

struct EraTextCase
{
  const char* name_;
  std::vector<HeaderField> fields_;
  uint64_t era_;
};

class EraText : public testing::TestWithParam<EraTextCase>
{};

/// Guards against an exception or a wrong era by a header field that is no number.
TEST_P(EraText, OnlyNumbersAreRead)
{
  adapters::ServerReply reply;
  reply.fields_ = GetParam().fields_;
  EXPECT_EQ(platform::ReadEra(reply), StoreEra(GetParam().era_));
}

INSTANTIATE_TEST_SUITE_P(StoreEras,
                         EraText,
                         testing::Values(EraTextCase{ "Number", { { "Store-Era", "12" } }, 12 },
                                         EraTextCase{ "OtherCase", { { "store-era", "12" } }, 12 },
                                         EraTextCase{ "Missing", {}, 0 },
                                         EraTextCase{ "Empty", { { "Store-Era", "" } }, 0 },
                                         EraTextCase{ "Zero", { { "Store-Era", "0" } }, 0 },
                                         EraTextCase{ "Negative", { { "Store-Era", "-1" } }, 0 },
                                         EraTextCase{ "Plus", { { "Store-Era", "+1" } }, 0 },
                                         EraTextCase{ "Fraction", { { "Store-Era", "1.5" } }, 0 },
                                         EraTextCase{ "Exponent", { { "Store-Era", "1e3" } }, 0 },
                                         EraTextCase{ "Hex", { { "Store-Era", "0x10" } }, 0 },
                                         EraTextCase{ "Text", { { "Store-Era", "two" } }, 0 },
                                         EraTextCase{ "BlankInside", { { "Store-Era", "1 2" } }, 0 },
                                         EraTextCase{ "List", { { "Store-Era", "1,2" } }, 0 },
                                         EraTextCase{ "Repeated", { { "Store-Era", "1" }, { "Store-Era", "1" } }, 0 },
                                         EraTextCase{ "Largest", { { "Store-Era", "9007199254740992" } }, 1ULL << 53U },
                                         EraTextCase{ "TooLarge", { { "Store-Era", "9007199254740993" } }, 0 },
                                         EraTextCase{ "TwoTo64", { { "Store-Era", "18446744073709551616" } }, 0 },
                                         EraTextCase{ "Long", { { "Store-Era", std::string(2000, '9') } }, 0 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
