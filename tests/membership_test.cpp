#include "fakes/control_counter.h"
#include "fakes/fake_fleet.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::FakeFleet;

constexpr uint64_t kSeed = 1;
constexpr size_t kNodes = 7;
constexpr Micros kLimit = Seconds(60);

/// A fault injected into a running fleet, and the instances that must be missing from all views afterwards.
struct FaultCase
{
  const char* name_;
  void (*inject_)(FakeFleet&);
  std::vector<size_t> removed_;
};

void
Crash(FakeFleet& aFleet)
{
  aFleet.Kill(2);
}

void
CrashWithStaleList(FakeFleet& aFleet)
{
  aFleet.Kill(2);
  aFleet.AdvanceUntil([&] { return aFleet.AllSee(aFleet.AllBut({ 2 })); }, kLimit);
  aFleet.timers_.Advance(Seconds(30));
}

void
CutBothWaysAndHeal(FakeFleet& aFleet)
{
  aFleet.SetSplit(3, true, true);
  aFleet.timers_.Advance(Seconds(30));
  EXPECT_TRUE(aFleet.Sees(0, 2));
  EXPECT_FALSE(aFleet.Sees(0, 3));
  EXPECT_FALSE(aFleet.Sees(6, 2));
  EXPECT_TRUE(aFleet.Sees(6, 3));
  aFleet.SetSplit(3, false, false);
}

void
CutOneWayAndHeal(FakeFleet& aFleet)
{
  aFleet.SetSplit(3, true, false);
  aFleet.timers_.Advance(Seconds(30));
  aFleet.SetSplit(3, false, false);
}

void
FreezeAndResume(FakeFleet& aFleet)
{
  aFleet.SetFrozen(4, true);
  aFleet.timers_.Advance(Seconds(20));
  EXPECT_FALSE(aFleet.Sees(0, 4));
  aFleet.SetFrozen(4, false);
}

void
RestartWithSameId(FakeFleet& aFleet)
{
  aFleet.Kill(5);
  aFleet.Launch(5);
}

void
RestartAfterDeath(FakeFleet& aFleet)
{
  aFleet.Kill(5);
  aFleet.timers_.Advance(Seconds(20));
  EXPECT_FALSE(aFleet.Sees(0, 5));
  aFleet.Launch(5);
}

void
Leave(FakeFleet& aFleet)
{
  aFleet.At(1).membership_.Leave();
}

void
TwoLeaves(FakeFleet& aFleet)
{
  aFleet.At(1).membership_.Leave();
  aFleet.At(6).membership_.Leave();
}

class Faults : public testing::TestWithParam<FaultCase>
{};

// Guards against views that keep a failed or departed member, or that never readmit a member that has recovered.
TEST_P(Faults, ViewsConverge)
{
  FakeFleet fleet(kNodes, 4, kSeed);
  ASSERT_TRUE(fleet.Start(kLimit));
  GetParam().inject_(fleet);
  const std::vector<size_t> expected = fleet.AllBut(GetParam().removed_);
  EXPECT_LT(fleet.AdvanceUntil([&] { return fleet.AllSee(expected); }, kLimit), kLimit);
  fleet.timers_.Advance(Seconds(10));
  EXPECT_TRUE(fleet.AllSee(expected));
}

INSTANTIATE_TEST_SUITE_P(Membership,
                         Faults,
                         testing::Values(FaultCase{ "Crash", Crash, { 2 } },
                                         FaultCase{ "StaleList", CrashWithStaleList, { 2 } },
                                         FaultCase{ "CutBothWays", CutBothWaysAndHeal, {} },
                                         FaultCase{ "CutOneWay", CutOneWayAndHeal, {} },
                                         FaultCase{ "Freeze", FreezeAndResume, {} },
                                         FaultCase{ "Restart", RestartWithSameId, {} },
                                         FaultCase{ "RestartAfterDeath", RestartAfterDeath, {} },
                                         FaultCase{ "Leave", Leave, { 1 } },
                                         FaultCase{ "TwoLeaves", TwoLeaves, { 1, 6 } }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against members declared dead because of message loss, and against a leave announcement that is lost.
TEST(MembershipLoss, RemovesOnlyLeavingMember)
{
  FakeFleet fleet(kNodes, 4, kSeed);
  ASSERT_TRUE(fleet.Start(kLimit));
  fleet.network_.SetLoss(0.1);
  for (int second = 0; second < 120; second++) {
    fleet.timers_.Advance(Seconds(1));
    ASSERT_TRUE(fleet.AllSee(fleet.AllBut({}))) << "after " << second << " s";
  }
  fleet.At(3).membership_.Leave();
  EXPECT_LT(fleet.AdvanceUntil([&] { return fleet.AllSee(fleet.AllBut({ 3 })); }, kLimit), kLimit);
}

/// Counts the control messages of a joined fleet during one minute at the given message loss rate.
fakes::ControlCounter
CountWithLoss(size_t aNodes, double aLoss)
{
  fakes::ControlCounter counter;
  FakeFleet fleet(aNodes, 4, kSeed);
  fleet.network_.SetObserver([&counter](std::string_view aBytes) { counter.OnMessage(aBytes); });
  fleet.StartJoined();
  fleet.timers_.Advance(Seconds(30));
  counter.Reset();
  fleet.network_.SetLoss(aLoss);
  fleet.timers_.Advance(Seconds(60));
  return counter;
}

// Guards against suspicions caused by message loss alone. Each suspicion and its refutation are sent to every instance,
// so the traffic per instance grows with the fleet: 50 instances suspected each other 120 times a minute.
TEST(MembershipLoss, MessageLossRarelyCausesSuspicions)
{
  const fakes::ControlCounter counter = CountWithLoss(50, 0.1);
  EXPECT_LE(counter.Suspicions(), 3U);
  EXPECT_EQ(counter.Deaths(), 0U);
}

// Guards against live instances declared dead because gossip delivers the suspicion to them, or the refutation to their
// peers, too late: at 200 instances without message loss, 4 of 10 suspicions led to a death.
TEST(MembershipLoss, SuspectRefutesInTime)
{
  constexpr size_t kManyNodes = 200;
  constexpr size_t kSuspicions = 10;
  fakes::ControlCounter counter;
  FakeFleet fleet(kManyNodes, 4, kSeed);
  fleet.network_.SetObserver([&counter](std::string_view aBytes) { counter.OnMessage(aBytes); });
  fleet.StartJoined();
  fleet.timers_.Advance(Seconds(30));
  for (size_t reporter = 0; reporter < kSuspicions; reporter++) {
    const wire::MemberUpdate suspect = fleet.At(reporter + kSuspicions).membership_.Self();
    fleet.At(reporter).membership_.Suspect(suspect.id_, suspect.incarnation_);
    fleet.timers_.Advance(Seconds(10));
  }
  EXPECT_EQ(counter.Suspicions(), kSuspicions);
  EXPECT_EQ(counter.Refutations(), kSuspicions);
  EXPECT_EQ(counter.Deaths(), 0U);
}

// Guards against an instance declared dead because only its connection to one peer is cut.
TEST(MembershipPartition, IndirectProbesKeepMemberAlive)
{
  FakeFleet fleet(kNodes, 4, kSeed);
  ASSERT_TRUE(fleet.Start(kLimit));
  fleet.network_.SetCut(fleet.Listed(0).address_, fleet.Listed(1).address_, true);
  fleet.network_.SetCut(fleet.Listed(1).address_, fleet.Listed(0).address_, true);
  for (int second = 0; second < 60; second++) {
    fleet.timers_.Advance(Seconds(1));
    ASSERT_TRUE(fleet.AllSee(fleet.AllBut({}))) << "after " << second << " s";
  }
}

// Guards against an instance becoming an owner that is listed but has never answered.
TEST(MembershipList, UnconfirmedEntriesAreNotMembers)
{
  FakeFleet fleet(kNodes, 4, kSeed);
  ASSERT_TRUE(fleet.Start(kLimit));
  fleet.list_.Set({ fleet.Listed(0), { InstanceId("ghost"), PeerAddress("10.9.9.9:7000"), DataCentre("dc0"), false } });
  fleet.timers_.Advance(Seconds(10));
  EXPECT_TRUE(fleet.AllSee(fleet.AllBut({})));
}

// Guards against an instance that owns replicas right after a pause, before a peer has sent it the current membership.
TEST(MembershipPause, OwnsNothingUntilPeerAnswers)
{
  FakeFleet fleet(kNodes, 4, kSeed);
  ASSERT_TRUE(fleet.Start(kLimit));
  fleet.SetFrozen(4, true);
  fleet.timers_.Advance(Seconds(2));
  fleet.SetFrozen(4, false);
  EXPECT_FALSE(fleet.Sees(4, 4));
  EXPECT_TRUE(fleet.At(4).prober_.IsResuming());
  fleet.timers_.Advance(Millis(10));
  EXPECT_TRUE(fleet.Sees(4, 4));
  EXPECT_FALSE(fleet.At(4).prober_.IsResuming());
}

struct MergeCase
{
  const char* name_;
  MemberState known_;
  uint64_t knownIncarnation_;
  MemberState received_;
  uint64_t receivedIncarnation_;
  bool isNewState_;
};

class Merge : public testing::TestWithParam<MergeCase>
{};

// Guards against a stale message that overwrites a later state with an earlier one.
TEST_P(Merge, LaterStateWins)
{
  const MergeCase& param = GetParam();
  FakeFleet fleet(1, 1, kSeed);
  fleet.Launch(0);
  Membership& membership = fleet.At(0).membership_;
  wire::MemberUpdate update{ InstanceId("peer"),
                             PeerAddress("10.9.9.9:7000"),
                             DataCentre("dc0"),
                             Incarnation(param.knownIncarnation_),
                             param.known_ };
  EXPECT_TRUE(membership.Merge(update));
  update.incarnation_ = Incarnation(param.receivedIncarnation_);
  update.state_ = param.received_;
  EXPECT_EQ(membership.Merge(update), param.isNewState_);
  EXPECT_EQ(membership.Find(update.id_)->state_, param.isNewState_ ? param.received_ : param.known_);
}

INSTANTIATE_TEST_SUITE_P(
  Membership,
  Merge,
  testing::Values(MergeCase{ "Suspicion", MemberState::Alive, 5, MemberState::Suspect, 5, true },
                  MergeCase{ "LateSuspicion", MemberState::Alive, 5, MemberState::Suspect, 4, false },
                  MergeCase{ "Refutation", MemberState::Suspect, 5, MemberState::Alive, 6, true },
                  MergeCase{ "Repetition", MemberState::Suspect, 5, MemberState::Alive, 5, false },
                  MergeCase{ "DeathOfLeaver", MemberState::Leaving, 5, MemberState::Dead, 5, true },
                  MergeCase{ "SuspicionOfLeaver", MemberState::Leaving, 5, MemberState::Suspect, 5, false },
                  MergeCase{ "StaleAlive", MemberState::Dead, 5, MemberState::Alive, 5, false },
                  MergeCase{ "Restart", MemberState::Dead, 5, MemberState::Alive, 9, true }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a resumed process that keeps refuting the state of a later process with the same id.
TEST(MembershipRestart, EarlierProcessDoesNotRefuteItsReplacement)
{
  FakeFleet fleet(1, 1, kSeed);
  fleet.Launch(0);
  Membership& membership = fleet.At(0).membership_;
  wire::MemberUpdate later = membership.Self();
  later.incarnation_ = later.incarnation_.Next();
  later.address_ = PeerAddress("10.9.9.9:7000");
  EXPECT_FALSE(membership.Merge(later));
  EXPECT_TRUE(membership.View()->members_.empty());
  EXPECT_LT(membership.Self().incarnation_, later.incarnation_);
}

// Guards against fetches of the instance list that grow with the number of instances. The expected rate is two fetches
// per second in each data centre.
TEST(MembershipList, FetchRateScalesWithDataCentres)
{
  for (const size_t count : { 20U, 60U }) {
    FakeFleet fleet(count, 4, kSeed);
    ASSERT_TRUE(fleet.Start(kLimit));
    const uint64_t before = fleet.list_.Fetches();
    fleet.timers_.Advance(Seconds(10));
    EXPECT_EQ(fleet.list_.Fetches() - before, 4U * 2U * 10U) << count << " instances";
  }
}

} // namespace
} // namespace ibisrock
