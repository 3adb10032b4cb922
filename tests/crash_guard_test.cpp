#include "process/crash_guard.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

const Fingerprint kCrasher(1);
const Fingerprint kInnocent(2);

RequestId
RunId(uint64_t aSequence)
{
  RequestId run;
  run.sequence_ = aSequence;
  return run;
}

class Guard : public testing::Test
{
protected:
  ManualTimerService timers_;
  std::vector<wire::CrashUpdate> spread_;
  CrashGuard guard_{ timers_,
                     [this](const wire::Update& aUpdate) { spread_.push_back(std::get<wire::CrashUpdate>(aUpdate)); } };
};

// Guards against a crashing request that runs again, and against one that is refused for ever.
TEST_F(Guard, BlocksCrashAloneForTenMinutes)
{
  EXPECT_EQ(guard_.Check(kCrasher), CrashDecision::Run);
  guard_.OnConnectionLost(RunId(1), kCrasher, 1);
  guard_.OnConnectionLost(RunId(1), kCrasher, 1);
  EXPECT_EQ(spread_.size(), 1U);
  timers_.Advance(Seconds(599));
  EXPECT_EQ(guard_.Check(kCrasher), CrashDecision::Refuse);
  timers_.Advance(Seconds(1));
  EXPECT_EQ(guard_.Check(kCrasher), CrashDecision::RunCanaryFirst);
  guard_.OnConnectionLost(RunId(2), kCrasher, 1);
  timers_.Advance(Seconds(2));
  EXPECT_EQ(guard_.Check(kCrasher), CrashDecision::Refuse);
}

// Guards against blocking an innocent query that shared several targets with a crashing one, and against letting the
// crashing one go.
TEST_F(Guard, CanaryTellsInnocentFromCrasher)
{
  for (unsigned target = 0; target < 3; target++) {
    guard_.OnConnectionLost(RunId(1), kCrasher, 2);
    guard_.OnConnectionLost(RunId(2), kInnocent, 2);
  }
  EXPECT_EQ(spread_.size(), 2U);
  EXPECT_EQ(guard_.Check(kInnocent), CrashDecision::RunCanaryFirst);
  EXPECT_EQ(guard_.Check(kInnocent), CrashDecision::Refuse);
  guard_.OnCleanCanary(kInnocent);
  EXPECT_EQ(guard_.Check(kInnocent), CrashDecision::Run);
  EXPECT_EQ(guard_.Check(kCrasher), CrashDecision::RunCanaryFirst);
  guard_.OnConnectionLost(RunId(3), kCrasher, 1);
  EXPECT_EQ(guard_.Check(kCrasher), CrashDecision::Refuse);
}

// Guards against a fingerprint that stays refused because its canary ended without a reply or a loss.
TEST_F(Guard, CanaryWithoutOutcomeIsRepeated)
{
  guard_.OnConnectionLost(RunId(1), kCrasher, 2);
  EXPECT_EQ(guard_.Check(kCrasher), CrashDecision::RunCanaryFirst);
  timers_.Advance(Seconds(1));
  EXPECT_EQ(guard_.Check(kCrasher), CrashDecision::RunCanaryFirst);
}

struct UpdateCase
{
  const char* name_;
  std::vector<wire::CrashUpdate> updates_;
  std::vector<bool> news_;
  CrashDecision decision_;
};

void
PrintTo(const UpdateCase& aCase, std::ostream* aOut)
{
  *aOut << aCase.name_;
}

class GuardGossip : public testing::TestWithParam<UpdateCase>
{};

// Guards against contradicting updates that circulate for ever, and against a late one that lifts a block.
TEST_P(GuardGossip, TakesLaterOrGraverUpdates)
{
  ManualTimerService timers;
  timers.Advance(Seconds(1000));
  CrashGuard guard(timers, [](const wire::Update&) { FAIL() << "gossip was spread as if seen first hand"; });
  std::vector<bool> news;
  for (const wire::CrashUpdate& update : GetParam().updates_) {
    news.push_back(guard.OnUpdate(update));
  }
  EXPECT_EQ(news, GetParam().news_);
  EXPECT_EQ(guard.Check(kCrasher), GetParam().decision_);
}

constexpr auto kSuspect = wire::CrashState::Suspect;
constexpr auto kCleared = wire::CrashState::Cleared;
constexpr auto kBlocked = wire::CrashState::Blocked;

INSTANTIATE_TEST_SUITE_P(
  Updates,
  GuardGossip,
  testing::Values(
    UpdateCase{ "Suspect", { { kCrasher, kSuspect, {} } }, { true }, CrashDecision::RunCanaryFirst },
    UpdateCase{ "Repeated",
                { { kCrasher, kBlocked, {} }, { kCrasher, kBlocked, {} } },
                { true, false },
                CrashDecision::Refuse },
    UpdateCase{ "SuspectAfterCleared",
                { { kCrasher, kCleared, {} }, { kCrasher, kSuspect, {} } },
                { true, false },
                CrashDecision::Run },
    UpdateCase{ "NewCrashAfterCleared",
                { { kCrasher, kCleared, Seconds(10) }, { kCrasher, kSuspect, {} } },
                { true, true },
                CrashDecision::RunCanaryFirst },
    UpdateCase{ "LateClearedOfBlocked",
                { { kCrasher, kBlocked, Seconds(10) }, { kCrasher, kCleared, {} } },
                { true, false },
                CrashDecision::Refuse },
    UpdateCase{ "ExpiredBlock", { { kCrasher, kBlocked, Seconds(600) } }, { true }, CrashDecision::RunCanaryFirst }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a table that grows with each new fingerprint, and against losing a block to suspects.
TEST_F(Guard, TableIsBounded)
{
  guard_.OnConnectionLost(RunId(1), kCrasher, 1);
  for (uint64_t fingerprint = 100; fingerprint < 40000; fingerprint++) {
    guard_.OnUpdate({ Fingerprint(fingerprint), kSuspect, {} });
  }
  EXPECT_EQ(guard_.Size(), 16000U);
  EXPECT_EQ(guard_.Check(kCrasher), CrashDecision::Refuse);
}

} // namespace
} // namespace ibisrock
