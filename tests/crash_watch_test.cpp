#include "router_fixture.h"

namespace ibisrock {
namespace {

using tests::Failure;
using tests::RouterFixture;
using tests::Success;

/// How a run ends before its target crashes.
enum class EarlyEnd : uint8_t
{
  CallerLeaves,
  TimeBudgetIsOver,
};

struct EarlyEndCase
{
  const char* name_;
  std::string path_;
  EarlyEnd end_;
  /// Whether the link still sees the loss of the connection.
  bool isLossSeen_;
};

class CrashAfterTheRun : public testing::TestWithParam<EarlyEndCase>
{};

/// Guards against a request that crashes each target after the run has ended, because its caller has left or its time
/// budget is over: it came again and again and reached a target each time.
TEST_P(CrashAfterTheRun, CountsAsOneOfItsRequest)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent), RouterFixture::GatherRoute(2, 0.5) });
  fixture.SetTargets({ "pool", "shard-0", "shard-1" }, 6);
  for (int copy = 0; copy < 10; copy++) {
    const size_t before = fixture.link_.sent_.size();
    const RunId run = fixture.Submit(GetParam().path_, Millis(30));
    if (GetParam().end_ == EarlyEnd::CallerLeaves) {
      fixture.timers_.Advance(Millis(10));
      fixture.router_.OnCallerLeft(run);
    }
    fixture.timers_.Advance(Millis(50));
    for (size_t i = before; i < fixture.link_.sent_.size(); i++) {
      const std::string target = fixture.link_.sent_[i].call_.target_.Value();
      fixture.link_.unreachable_.insert(target);
      fixture.link_.connected_.erase(target);
      if (GetParam().isLossSeen_) {
        fixture.link_.End(i, Failure(Verdict::MayHaveRun, Reason::ConnectionLost));
      }
    }
    fixture.timers_.Advance(Seconds(4));
    fixture.link_.unreachable_.clear();
  }
  const size_t shards = GetParam().path_ == "/gather/x" ? 2 : 1;
  // The first copy goes to all shards, the next ones to one target each.
  EXPECT_LE(fixture.link_.sent_.size(), shards + CrashHistory::kMaxCrashes - 1);
  ASSERT_FALSE(fixture.replies_.empty());
  EXPECT_EQ(fixture.replies_.back().status_, 503U);
}

INSTANTIATE_TEST_SUITE_P(
  CrashWatch,
  CrashAfterTheRun,
  testing::Values(EarlyEndCase{ "CallerLeaves", "/relay/x", EarlyEnd::CallerLeaves, false },
                  EarlyEndCase{ "TimeBudgetIsOver", "/relay/x", EarlyEnd::TimeBudgetIsOver, false },
                  EarlyEndCase{ "TimeBudgetIsOverAndLossIsSeen", "/relay/x", EarlyEnd::TimeBudgetIsOver, true },
                  EarlyEndCase{ "CallerLeavesGather", "/gather/x", EarlyEnd::CallerLeaves, false },
                  EarlyEndCase{ "TimeBudgetOfGatherIsOver", "/gather/x", EarlyEnd::TimeBudgetIsOver, false }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// What the check of a target shows after the caller of its run has left.
struct CheckCase
{
  const char* name_;
  bool hasIdleConnection_;
  bool isUnreachable_;
  bool isSilent_;
  size_t checks_;
  size_t known_;
};

class CheckAfterTheRun : public testing::TestWithParam<CheckCase>
{};

/// Guards against sound requests that are held for crashing ones because their callers left or their targets are cut
/// off, and against a connection for each caller that leaves.
TEST_P(CheckAfterTheRun, TellsACrashFromALivingTarget)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent) });
  fixture.SetTargets({ "pool" }, 1);
  const RunId run = fixture.Submit("/relay/x");
  fixture.timers_.Advance(Millis(10));
  fixture.router_.OnCallerLeft(run);
  if (GetParam().hasIdleConnection_) {
    fixture.link_.connected_.insert("pool/0");
  }
  if (GetParam().isUnreachable_) {
    fixture.link_.unreachable_.insert("pool/0");
  }
  if (GetParam().isSilent_) {
    fixture.link_.silent_.insert("pool/0");
  }
  fixture.timers_.Advance(Seconds(5));
  EXPECT_EQ(fixture.link_.checked_.size(), GetParam().checks_);
  EXPECT_EQ(fixture.router_.Crashes().Size(), GetParam().known_);
}

INSTANTIATE_TEST_SUITE_P(CrashWatch,
                         CheckAfterTheRun,
                         testing::Values(CheckCase{ "Crashed", false, true, false, 1, 1 },
                                         CheckCase{ "Alive", false, false, false, 2, 0 },
                                         CheckCase{ "IdleConnection", true, false, false, 0, 0 },
                                         CheckCase{ "CutOff", false, false, true, 2, 0 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a crash that is passed over because the loss of one connection shows before that of an idle one.
TEST(CrashWatch, LossIsCheckedWithANewConnection)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::NonIdempotent) });
  fixture.SetTargets({ "pool" }, 1);
  fixture.Submit("/relay/x");
  fixture.link_.connected_.insert("pool/0");
  fixture.link_.unreachable_.insert("pool/0");
  fixture.link_.End(0, Failure(Verdict::MayHaveRun, Reason::ConnectionLost));
  EXPECT_EQ(fixture.router_.Crashes().Size(), 1U);
}

/// Guards against the count of one crash for a run that crashes two targets one after the other.
TEST(CrashWatch, EachAttemptOfARunCountsAlone)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent) });
  fixture.SetTargets({ "pool" }, 4);
  for (int copy = 0; copy < 3; copy++) {
    fixture.Submit("/relay/x");
    for (size_t i = 0; i < fixture.link_.sent_.size(); i++) {
      if (!fixture.link_.sent_[i].ended_) {
        fixture.link_.unreachable_.insert(fixture.link_.sent_[i].call_.target_.Value());
        fixture.timers_.Advance(Millis(5));
        fixture.link_.End(i, Failure(Verdict::MayHaveRun, Reason::ConnectionLost));
      }
    }
    fixture.timers_.Advance(Seconds(4));
    fixture.link_.unreachable_.clear();
  }
  // Two attempts of the first copy, one of the second; the third is refused.
  EXPECT_EQ(fixture.link_.sent_.size(), 3U);
}

/// Guards against a sound request that stays under suspicion because the check of its first target ends after the
/// answer of the second.
TEST(CrashWatch, AnswerOfARetryClearsTheRequest)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent) });
  fixture.SetTargets({ "pool" }, 2);
  fixture.Submit("/relay/x");
  fixture.link_.unreachable_.insert(fixture.link_.sent_.at(0).call_.target_.Value());
  fixture.link_.End(0, Failure(Verdict::MayHaveRun, Reason::ConnectionLost));
  ASSERT_EQ(fixture.link_.sent_.size(), 2U);
  fixture.link_.End(1, Success("a"));
  EXPECT_EQ(fixture.router_.Crashes().Size(), 0U);
}

} // namespace
} // namespace ibisrock
