#include "connection/replica_dispatcher.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace ibisrock {
namespace {

/// Keeps every attempt running until the test completes it.
class ManualTargetClient final : public TargetClient
{
public:
  void Start(const TargetAttempt& aAttempt, Callback aCallback) override
  {
    EXPECT_GT(aAttempt.budget_, Micros::zero());
    EXPECT_EQ(aAttempt.maxConnections_, 12U);
    startOrder_.push_back(aAttempt.id_.number_);
    newConnection_[aAttempt.id_.number_] = aAttempt.newConnection_;
    running_[aAttempt.id_.number_] = std::move(aCallback);
  }
  void Cancel(const AttemptId& aId) override { cancelled_.push_back(aId.number_); }
  void Probe(const TargetName&, const TargetAddress&, Callback aCallback) override
  {
    probes_++;
    TargetReply health = health_;
    health.verdict_ = Verdict::Ran;
    aCallback(health);
  }

  void Complete(uint32_t aNumber, TargetReply aReply)
  {
    Callback callback = std::move(running_.at(aNumber));
    running_.erase(aNumber);
    callback(std::move(aReply));
  }

  std::vector<uint32_t> startOrder_;
  std::map<uint32_t, Callback> running_;
  std::map<uint32_t, bool> newConnection_;
  std::vector<uint32_t> cancelled_;
  TargetReply health_;
  unsigned probes_ = 0;
};

TargetReply
MakeReply(Verdict aVerdict, Reason aReason, TargetState aState = TargetState::Unknown, const char* aBoot = "")
{
  TargetReply reply;
  reply.verdict_ = aVerdict;
  reply.reason_ = aReason;
  reply.state_ = aState;
  reply.boot_ = BootId(aBoot);
  return reply;
}

TargetReply
MakeReadyReply(const char* aBoot = "b1")
{
  return MakeReply(Verdict::Ran, Reason::None, TargetState::Ready, aBoot);
}

const TargetReply kConnectionLost = MakeReply(Verdict::MayHaveRun, Reason::ConnectionLost);
const TargetReply kConnectFailed = MakeReply(Verdict::NotRun, Reason::ConnectFailed);

class Dispatcher : public testing::Test
{
protected:
  static TargetConfig Target(uint32_t aSlots)
  {
    TargetConfig target;
    target.slots_ = aSlots;
    target.connections_ = 25;
    return target;
  }

  void Submit(uint32_t aNumber, Micros aBudget = Seconds(100), const char* aCaller = "a", bool aAlone = false)
  {
    wire::SubRequest request;
    request.id_.number_ = aNumber;
    request.caller_ = CallerName(aCaller);
    request.budget_ = aBudget;
    request.alone_ = aAlone;
    dispatcher_->Submit(request, [this, aNumber](const wire::SubReply& aReply) {
      EXPECT_FALSE(replies_.contains(aNumber));
      replies_[aNumber] = aReply;
    });
  }

  /// Runs one attempt per reply, each after the previous one has completed, with ids from aFirst on.
  void RunSequentially(uint32_t aFirst, const std::vector<TargetReply>& aReplies)
  {
    for (const TargetReply& reply : aReplies) {
      Submit(aFirst);
      targets_.Complete(aFirst++, reply);
    }
  }

  void ExpectRefusal(uint32_t aNumber, Reason aReason)
  {
    ASSERT_TRUE(replies_.contains(aNumber));
    EXPECT_EQ(replies_[aNumber].reply_.verdict_, Verdict::NotRun);
    EXPECT_EQ(replies_[aNumber].reply_.reason_, aReason);
    EXPECT_FALSE(replies_[aNumber].touchedTarget_);
  }

  ManualTimerService timers_;
  ManualTargetClient targets_;
  std::shared_ptr<ReplicaDispatcher> dispatcher_ = ReplicaDispatcher::Create(Target(2), timers_, targets_, nullptr);
  std::map<uint32_t, wire::SubReply> replies_;
};

using Numbers = std::vector<uint32_t>;

// Guards against more attempts in flight than slots, and against starting an attempt before one with an earlier
// deadline.
TEST_F(Dispatcher, KeepsSlotsAndDeadlineOrder)
{
  Submit(1);
  Submit(2);
  Submit(3, Seconds(9));
  Submit(4, Seconds(7));
  EXPECT_EQ(targets_.startOrder_, (Numbers{ 1, 2 }));
  timers_.Advance(Millis(5));
  targets_.Complete(1, MakeReadyReply());
  EXPECT_EQ(replies_[1].queueLength_, 2U);
  targets_.Complete(2, MakeReadyReply());
  EXPECT_EQ(targets_.startOrder_, (Numbers{ 1, 2, 4, 3 }));
  targets_.Complete(4, MakeReadyReply());
  EXPECT_EQ(replies_[4].queueWait_, Millis(5));
  EXPECT_TRUE(replies_[4].touchedTarget_);
}

// Guards against queueing an attempt whose expected wait exceeds its budget, and against refusing one that would finish
// in time.
TEST_F(Dispatcher, RefusesAttemptThatWouldExceedItsBudget)
{
  Submit(1);
  timers_.Advance(Millis(10));
  targets_.Complete(1, MakeReadyReply());
  Submit(2);
  Submit(3);
  Submit(4);
  Submit(5, Millis(15));
  Submit(6, Millis(14));
  ExpectRefusal(6, Reason::Overloaded);
  EXPECT_FALSE(replies_.contains(5));
}

// Guards against starting expired or cancelled attempts, and against leaving a cancelled attempt running on the target.
TEST_F(Dispatcher, DropsExpiredAndCancelledAttempts)
{
  Submit(1);
  Submit(2);
  Submit(3, Millis(1));
  Submit(4);
  dispatcher_->Cancel(AttemptId{ {}, 4 });
  ExpectRefusal(4, Reason::Cancelled);
  timers_.Advance(Millis(2));
  dispatcher_->Cancel(AttemptId{ {}, 1 });
  EXPECT_EQ(targets_.cancelled_, Numbers{ 1 });
  targets_.Complete(1, MakeReply(Verdict::MayHaveRun, Reason::Cancelled));
  ExpectRefusal(3, Reason::Expired);
  EXPECT_EQ(replies_[3].queueWait_, Millis(2));
  EXPECT_EQ(replies_[1].reply_.verdict_, Verdict::MayHaveRun);
  Submit(5, Micros(0));
  ExpectRefusal(5, Reason::Expired);
}

// Guards against a canary that runs on its target together with another attempt, started before or after it.
TEST_F(Dispatcher, RunsCanaryAlone)
{
  Submit(1);
  Submit(2, Seconds(1), "a", true);
  Submit(3, Seconds(2));
  EXPECT_EQ(targets_.startOrder_, Numbers{ 1 });
  targets_.Complete(1, MakeReadyReply());
  EXPECT_EQ(targets_.startOrder_, (Numbers{ 1, 2 }));
  targets_.Complete(2, MakeReadyReply());
  EXPECT_EQ(targets_.startOrder_, (Numbers{ 1, 2, 3 }));
}

// Guards against attempts that stay in the queue forever behind a cancelled canary.
TEST_F(Dispatcher, CancelledCanaryUnblocksQueue)
{
  Submit(1);
  Submit(2, Seconds(1), "a", true);
  Submit(3, Seconds(2));
  dispatcher_->Cancel(AttemptId{ {}, 2 });
  EXPECT_EQ(targets_.startOrder_, (Numbers{ 1, 3 }));
}

// Guards against a caller that starves another one with many attempts, even when their deadlines are earlier.
TEST_F(Dispatcher, NoisyCallerDoesNotStarveOthers)
{
  for (uint32_t number = 1; number <= 50; number++) {
    Submit(number, Seconds(10), "noisy");
  }
  Submit(51, Seconds(90), "quiet");
  Submit(52, Seconds(90), "quiet");
  for (uint32_t number = 1; number <= 4; number++) {
    targets_.Complete(targets_.running_.begin()->first, MakeReadyReply());
  }
  EXPECT_EQ(std::count_if(
              targets_.startOrder_.begin(), targets_.startOrder_.end(), [](uint32_t aNumber) { return aNumber > 50; }),
            2);
}

struct LossCase
{
  const char* name_;
  unsigned inFlight_;
  /// Time between the reports of the first loss and of the others.
  Micros interval_;
  /// Count reported with the last loss.
  uint32_t lastCount_;
};

class DispatcherLoss
  : public Dispatcher
  , public testing::WithParamInterface<LossCase>
{};

// Guards against attributing a crash with several attempts in flight to the one whose loss was reported last.
TEST_P(DispatcherLoss, CountsAttemptsInFlight)
{
  const LossCase& param = GetParam();
  for (uint32_t number = 1; number <= param.inFlight_; number++) {
    Submit(number);
  }
  for (uint32_t number = 1; number <= param.inFlight_; number++) {
    targets_.Complete(number, kConnectionLost);
    timers_.Advance(param.interval_);
  }
  EXPECT_EQ(replies_[1].inFlightAtLoss_, param.inFlight_);
  EXPECT_EQ(replies_[param.inFlight_].inFlightAtLoss_, param.lastCount_);
}

INSTANTIATE_TEST_SUITE_P(Crashes,
                         DispatcherLoss,
                         testing::Values(LossCase{ "One", 1, Micros(0), 1 },
                                         LossCase{ "TwoAtOnce", 2, Micros(0), 2 },
                                         LossCase{ "TwoReportedApart", 2, Seconds(5), 2 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against attributing a crash to an attempt that was sent while the target was already failing.
TEST_F(Dispatcher, LossSoonAfterAnotherIsShared)
{
  RunSequentially(1, { kConnectionLost, kConnectionLost });
  EXPECT_EQ(replies_[1].inFlightAtLoss_, 1U);
  EXPECT_EQ(replies_[2].inFlightAtLoss_, 2U);
  timers_.Advance(Seconds(2));
  RunSequentially(3, { kConnectionLost });
  EXPECT_EQ(replies_[3].inFlightAtLoss_, 1U);
}

// Guards against sending every attempt to an unreachable target, and against never trying the target again.
TEST_F(Dispatcher, BacksOffWithOneProbe)
{
  Submit(1);
  Submit(2);
  Submit(3);
  targets_.Complete(1, kConnectFailed);
  ExpectRefusal(3, Reason::ConnectFailed);
  targets_.Complete(2, kConnectFailed);
  timers_.Advance(Millis(199));
  Submit(4);
  ExpectRefusal(4, Reason::ConnectFailed);
  timers_.Advance(Millis(1));
  Submit(5);
  Submit(6);
  ExpectRefusal(6, Reason::ConnectFailed);
  targets_.Complete(5, MakeReadyReply());
  EXPECT_EQ(replies_[5].reply_.verdict_, Verdict::Ran);
  Submit(7);
  EXPECT_TRUE(targets_.running_.contains(7));
}

// Guards against full load on a target that has just restarted.
TEST_F(Dispatcher, SlowStartsRestartedTarget)
{
  dispatcher_ = ReplicaDispatcher::Create(Target(4), timers_, targets_, nullptr);
  RunSequentially(1, { MakeReadyReply("b1"), MakeReadyReply("b2") });
  for (uint32_t number = 11; number <= 20; number++) {
    Submit(number);
  }
  EXPECT_EQ(targets_.running_.size(), 1U);
  timers_.Advance(Seconds(5));
  targets_.Complete(11, MakeReadyReply("b2"));
  EXPECT_EQ(targets_.running_.size(), 2U);
  timers_.Advance(Seconds(5));
  targets_.Complete(12, MakeReadyReply("b2"));
  EXPECT_EQ(targets_.running_.size(), 4U);
}

// Guards against new attempts on a leaving target, also when its health endpoint reports the ready state or an earlier
// boot id, and against a target that gets no attempts after its restart.
TEST_F(Dispatcher, LeavingStateHoldsUntilNewBootId)
{
  RunSequentially(1, { MakeReadyReply("b0") });
  Submit(2);
  Submit(3);
  Submit(4);
  targets_.Complete(2, MakeReply(Verdict::NotRun, Reason::Draining, TargetState::Draining, "b1"));
  ExpectRefusal(4, Reason::Draining);
  targets_.Complete(3, MakeReadyReply("b1"));
  for (const char* boot : { "b1", "b0", "" }) {
    targets_.health_ = MakeReadyReply(boot);
    timers_.Advance(Seconds(1));
  }
  Submit(5);
  ExpectRefusal(5, Reason::Draining);
  EXPECT_EQ(targets_.probes_, 3U);
  targets_.health_ = MakeReadyReply("b2");
  timers_.Advance(Seconds(1));
  Submit(6);
  EXPECT_TRUE(targets_.running_.contains(6));
  timers_.Advance(Seconds(5));
  EXPECT_EQ(targets_.probes_, 4U);
}

// Guards against blocking a query as a crash suspect because its target closed a reused keep-alive connection, and
// against a canary on such a connection: its loss would not show that the query crashed the target.
TEST_F(Dispatcher, LossOfReusedConnectionCountsAsShared)
{
  TargetReply reply = kConnectionLost;
  reply.lostKeptConnection_ = true;
  Submit(1);
  targets_.Complete(1, reply);
  EXPECT_EQ(replies_[1].inFlightAtLoss_, 2U);
  EXPECT_FALSE(targets_.newConnection_[1]);

  timers_.Advance(Seconds(5));
  Submit(2, Seconds(100), "a", true);
  EXPECT_TRUE(targets_.newConnection_[2]);
  targets_.Complete(2, kConnectionLost);
  EXPECT_EQ(replies_[2].inFlightAtLoss_, 1U);
}

} // namespace
} // namespace ibisrock
