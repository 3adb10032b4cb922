#include "process/crash_guard.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

const Fingerprint kCrashingQuery(1);
const Fingerprint kHarmlessQuery(2);

RequestId
RunId(uint64_t aSequence)
{
  RequestId run;
  run.sequence_ = aSequence;
  return run;
}

class CrashGuardTest : public testing::Test
{
protected:
  ManualTimerService timers_;
  std::vector<wire::CrashUpdate> published_;
  CrashGuard guard_{ timers_, [this](const wire::Update& aUpdate) {
                      published_.push_back(std::get<wire::CrashUpdate>(aUpdate));
                    } };
};

// Guards against running a crashing query again, and against blocking it without a time limit.
TEST_F(CrashGuardTest, BlocksQueryThatCrashedAloneForTenMinutes)
{
  EXPECT_EQ(guard_.Check(kCrashingQuery), CrashDecision::Run);
  guard_.OnConnectionLost(RunId(1), kCrashingQuery, 1);
  guard_.OnConnectionLost(RunId(1), kCrashingQuery, 1);
  EXPECT_EQ(published_.size(), 1U);
  timers_.Advance(Seconds(599));
  EXPECT_EQ(guard_.Check(kCrashingQuery), CrashDecision::Refuse);
  timers_.Advance(Seconds(1));
  EXPECT_EQ(guard_.Check(kCrashingQuery), CrashDecision::RunCanaryFirst);
  guard_.OnConnectionLost(RunId(2), kCrashingQuery, 1);
  timers_.Advance(Seconds(2));
  EXPECT_EQ(guard_.Check(kCrashingQuery), CrashDecision::Refuse);
}

// Guards against blocking a harmless query that shared several targets with a crashing one, and against not blocking
// the crashing one.
TEST_F(CrashGuardTest, CanaryDistinguishesHarmlessFromCrashingQuery)
{
  for (unsigned target = 0; target < 3; target++) {
    guard_.OnConnectionLost(RunId(1), kCrashingQuery, 2);
    guard_.OnConnectionLost(RunId(2), kHarmlessQuery, 2);
  }
  EXPECT_EQ(published_.size(), 2U);
  EXPECT_EQ(guard_.Check(kHarmlessQuery), CrashDecision::RunCanaryFirst);
  EXPECT_EQ(guard_.Check(kHarmlessQuery), CrashDecision::Refuse);
  guard_.OnCanarySucceeded(kHarmlessQuery);
  EXPECT_EQ(guard_.Check(kHarmlessQuery), CrashDecision::Run);
  EXPECT_EQ(guard_.Check(kCrashingQuery), CrashDecision::RunCanaryFirst);
  guard_.OnConnectionLost(RunId(3), kCrashingQuery, 1);
  EXPECT_EQ(guard_.Check(kCrashingQuery), CrashDecision::Refuse);
}

// Guards against a fingerprint that stays refused because its canary ended without a reply or a loss.
TEST_F(CrashGuardTest, CanaryWithoutOutcomeIsRetried)
{
  guard_.OnConnectionLost(RunId(1), kCrashingQuery, 2);
  EXPECT_EQ(guard_.Check(kCrashingQuery), CrashDecision::RunCanaryFirst);
  timers_.Advance(Seconds(1));
  EXPECT_EQ(guard_.Check(kCrashingQuery), CrashDecision::RunCanaryFirst);
}

struct UpdateCase
{
  const char* name_;
  std::vector<wire::CrashUpdate> updates_;
  std::vector<bool> applied_;
  CrashDecision decision_;
};

void
PrintTo(const UpdateCase& aCase, std::ostream* aOut)
{
  *aOut << aCase.name_;
}

class CrashGuardGossip : public testing::TestWithParam<UpdateCase>
{};

// Guards against contradicting updates that circulate endlessly, and against a delayed update that lifts a block.
TEST_P(CrashGuardGossip, AppliesUpdatesByTimeAndPrecedence)
{
  ManualTimerService timers;
  timers.Advance(Seconds(1000));
  CrashGuard guard(timers,
                   [](const wire::Update&) { FAIL() << "a gossip update was published as a local observation"; });
  std::vector<bool> applied;
  for (const wire::CrashUpdate& update : GetParam().updates_) {
    applied.push_back(guard.OnUpdate(update));
  }
  EXPECT_EQ(applied, GetParam().applied_);
  EXPECT_EQ(guard.Check(kCrashingQuery), GetParam().decision_);
}

constexpr auto kSuspect = wire::CrashState::Suspect;
constexpr auto kCleared = wire::CrashState::Cleared;
constexpr auto kBlocked = wire::CrashState::Blocked;

INSTANTIATE_TEST_SUITE_P(
  Updates,
  CrashGuardGossip,
  testing::Values(
    UpdateCase{ "Suspect", { { kCrashingQuery, kSuspect, {} } }, { true }, CrashDecision::RunCanaryFirst },
    UpdateCase{ "Repeated",
                { { kCrashingQuery, kBlocked, {} }, { kCrashingQuery, kBlocked, {} } },
                { true, false },
                CrashDecision::Refuse },
    UpdateCase{ "SuspectAfterCleared",
                { { kCrashingQuery, kCleared, {} }, { kCrashingQuery, kSuspect, {} } },
                { true, false },
                CrashDecision::Run },
    UpdateCase{ "NewCrashAfterCleared",
                { { kCrashingQuery, kCleared, Seconds(10) }, { kCrashingQuery, kSuspect, {} } },
                { true, true },
                CrashDecision::RunCanaryFirst },
    UpdateCase{ "DelayedClearedAfterBlocked",
                { { kCrashingQuery, kBlocked, Seconds(10) }, { kCrashingQuery, kCleared, {} } },
                { true, false },
                CrashDecision::Refuse },
    UpdateCase{ "ExpiredBlock",
                { { kCrashingQuery, kBlocked, Seconds(600) } },
                { true },
                CrashDecision::RunCanaryFirst }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against unbounded growth of the table, and against evicting a blocked entry in favour of suspect ones.
TEST_F(CrashGuardTest, TableSizeIsBounded)
{
  guard_.OnConnectionLost(RunId(1), kCrashingQuery, 1);
  for (uint64_t fingerprint = 100; fingerprint < 40000; fingerprint++) {
    guard_.OnUpdate({ Fingerprint(fingerprint), kSuspect, {} });
  }
  EXPECT_EQ(guard_.Size(), 16000U);
  EXPECT_EQ(guard_.Check(kCrashingQuery), CrashDecision::Refuse);
}

} // namespace
} // namespace ibisrock
