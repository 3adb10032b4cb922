#include "process/service_table.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

constexpr uint64_t kSeed = 5;
const TimePoint kStart{ Seconds(1) };
const TargetName kFirst("s0-r0");
const TargetName kSecond("s0-r1");

// Guards against a hedge delay that does not follow a service that becomes slower, or that is below the floor.
TEST(LatencyTracker, FollowsRecentLatency)
{
  LatencyTracker tracker(0.95);
  EXPECT_EQ(tracker.HedgeDelay(kStart, Millis(70)), Millis(70));
  TimePoint now = kStart;
  const auto record = [&](Micros aLatency) {
    for (unsigned count = 0; count < 4000; count++) {
      now += Millis(10);
      tracker.Record(now, count % 10 == 0 ? aLatency : aLatency / 2);
    }
    return tracker.HedgeDelay(now, Millis(70));
  };
  EXPECT_EQ(record(Micros(200)), LatencyTracker::kMinHedgeDelay);
  EXPECT_NEAR(static_cast<double>(record(Millis(10)).count()), 10000, 500);
  EXPECT_NEAR(static_cast<double>(record(Millis(40)).count()), 40000, 2000);
}

// Guards against extra attempts beyond 5% of the first attempts, and against a budget that accumulates without bound
// while no extra attempts are made.
TEST(ExtraAttemptBudget, IsAShareOfFirstAttempts)
{
  ExtraAttemptBudget budget;
  unsigned taken = 0;
  for (unsigned first = 0; first < 10000; first++) {
    budget.OnFirstAttempt();
    taken += budget.TryTake() ? 1 : 0;
  }
  EXPECT_LE(taken, 510U);
  EXPECT_GE(taken, 500U);
  for (unsigned first = 0; first < 10000; first++) {
    budget.OnFirstAttempt();
  }
  for (taken = 0; budget.TryTake(); taken++) {
  }
  EXPECT_EQ(taken, 10U);
}

// Guards against a slow replica that receives as many first attempts as a fast one.
TEST(PowerOfTwoSelector, PrefersTheFasterReplica)
{
  Random random(kSeed);
  PowerOfTwoSelector selector(random);
  unsigned slow = 0;
  TimePoint now = kStart;
  for (unsigned attempt = 0; attempt < 1000; attempt++) {
    const TargetName chosen = *selector.Choose({ kFirst, kSecond }, AttemptKind::First, true, now);
    slow += chosen == kFirst ? 1 : 0;
    now += Millis(10);
    selector.OnEnd(chosen, { Verdict::Ran, Reason::None, chosen == kFirst ? Millis(20) : Millis(2) }, now);
  }
  EXPECT_GT(slow, 0U);
  EXPECT_LT(slow, 50U);
}

// Guards against an unreachable replica that keeps receiving attempts, and against one that is never probed again.
TEST(PowerOfTwoSelector, EjectsALostReplicaAndProbesItWithOneAttempt)
{
  Random random(kSeed);
  PowerOfTwoSelector selector(random);
  TimePoint now = kStart;
  const auto choose = [&](AttemptKind aKind, bool aMayProbe) {
    return selector.Choose({ kFirst, kSecond }, aKind, aMayProbe, now);
  };
  ASSERT_TRUE(selector.Choose({ kFirst }, AttemptKind::First, true, now));
  selector.OnEnd(kFirst, { Verdict::NotRun, Reason::ConnectFailed, Millis(1) }, now);
  for (const Micros backOff : { Millis(200), Millis(400), Millis(800) }) {
    now += backOff - Micros(1);
    EXPECT_EQ(choose(AttemptKind::First, true), kSecond);
    EXPECT_FALSE(selector.Choose({ kFirst }, AttemptKind::Hedge, true, now));
    now += Micros(1);
    EXPECT_EQ(choose(AttemptKind::First, false), kSecond);
    EXPECT_EQ(choose(AttemptKind::First, true), kFirst);
    EXPECT_EQ(choose(AttemptKind::First, true), kSecond);
    selector.OnEnd(kFirst, { Verdict::NotRun, Reason::ConnectFailed, Millis(1) }, now);
  }
  now += Millis(1600);
  EXPECT_EQ(choose(AttemptKind::First, true), kFirst);
  selector.OnEnd(kFirst, { Verdict::Ran, Reason::None, Millis(2) }, now);
  EXPECT_TRUE(selector.Choose({ kFirst }, AttemptKind::Hedge, true, now));
}

} // namespace
} // namespace ibisrock
