#include "connection/replica_dispatcher.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace ibisrock {
namespace {

/// Holds every attempt until the test ends it.
class HeldTargets final : public TargetClient
{
public:
  void Start(const TargetAttempt& aAttempt, Callback aCallback) override
  {
    EXPECT_GT(aAttempt.budget_, Micros::zero());
    EXPECT_EQ(aAttempt.maxConnections_, 12U);
    order_.push_back(aAttempt.id_.number_);
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

  void End(uint32_t aNumber, TargetReply aReply)
  {
    Callback callback = std::move(running_.at(aNumber));
    running_.erase(aNumber);
    callback(std::move(aReply));
  }

  std::vector<uint32_t> order_;
  std::map<uint32_t, Callback> running_;
  std::map<uint32_t, bool> newConnection_;
  std::vector<uint32_t> cancelled_;
  TargetReply health_;
  unsigned probes_ = 0;
};

TargetReply
Said(Verdict aVerdict, Reason aReason, TargetState aState = TargetState::Unknown, const char* aBoot = "")
{
  TargetReply reply;
  reply.verdict_ = aVerdict;
  reply.reason_ = aReason;
  reply.state_ = aState;
  reply.boot_ = BootId(aBoot);
  return reply;
}

TargetReply
Ready(const char* aBoot = "b1")
{
  return Said(Verdict::Ran, Reason::None, TargetState::Ready, aBoot);
}

const TargetReply kLost = Said(Verdict::MayHaveRun, Reason::ConnectionLost);
const TargetReply kNotConnected = Said(Verdict::NotRun, Reason::ConnectFailed);

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

  /// Runs one attempt for each reply, one after another.
  void RunEach(uint32_t aFirst, const std::vector<TargetReply>& aReplies)
  {
    for (const TargetReply& reply : aReplies) {
      Submit(aFirst);
      targets_.End(aFirst++, reply);
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
  HeldTargets targets_;
  std::shared_ptr<ReplicaDispatcher> dispatcher_ = ReplicaDispatcher::Create(Target(2), timers_, targets_, nullptr);
  std::map<uint32_t, wire::SubReply> replies_;
};

using Numbers = std::vector<uint32_t>;

// Guards against more attempts in flight than slots, and against a later deadline that overtakes an earlier one.
TEST_F(Dispatcher, KeepsSlotsAndDeadlineOrder)
{
  Submit(1);
  Submit(2);
  Submit(3, Seconds(9));
  Submit(4, Seconds(7));
  EXPECT_EQ(targets_.order_, (Numbers{ 1, 2 }));
  timers_.Advance(Millis(5));
  targets_.End(1, Ready());
  EXPECT_EQ(replies_[1].queueLength_, 2U);
  targets_.End(2, Ready());
  EXPECT_EQ(targets_.order_, (Numbers{ 1, 2, 4, 3 }));
  targets_.End(4, Ready());
  EXPECT_EQ(replies_[4].queueWait_, Millis(5));
  EXPECT_TRUE(replies_[4].touchedTarget_);
}

// Guards against a queue that is longer than its attempts can wait, and against a refusal of work that fits.
TEST_F(Dispatcher, RefusesWhatWouldWaitTooLong)
{
  Submit(1);
  timers_.Advance(Millis(10));
  targets_.End(1, Ready());
  Submit(2);
  Submit(3);
  Submit(4);
  Submit(5, Millis(15));
  Submit(6, Millis(14));
  ExpectRefusal(6, Reason::Overloaded);
  EXPECT_FALSE(replies_.contains(5));
}

// Guards against running expired work, and against a target that is asked for work nobody waits for.
TEST_F(Dispatcher, DropsExpiredAndCancelledWork)
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
  targets_.End(1, Said(Verdict::MayHaveRun, Reason::Cancelled));
  ExpectRefusal(3, Reason::Expired);
  EXPECT_EQ(replies_[3].queueWait_, Millis(2));
  EXPECT_EQ(replies_[1].reply_.verdict_, Verdict::MayHaveRun);
  Submit(5, Micros(0));
  ExpectRefusal(5, Reason::Expired);
}

// Guards against a canary that shares its target with an innocent attempt, before or after its start.
TEST_F(Dispatcher, RunsCanaryAlone)
{
  Submit(1);
  Submit(2, Seconds(1), "a", true);
  Submit(3, Seconds(2));
  EXPECT_EQ(targets_.order_, Numbers{ 1 });
  targets_.End(1, Ready());
  EXPECT_EQ(targets_.order_, (Numbers{ 1, 2 }));
  targets_.End(2, Ready());
  EXPECT_EQ(targets_.order_, (Numbers{ 1, 2, 3 }));
}

// Guards against attempts that wait for ever behind a canary that was cancelled.
TEST_F(Dispatcher, CancelledCanaryReleasesTheQueue)
{
  Submit(1);
  Submit(2, Seconds(1), "a", true);
  Submit(3, Seconds(2));
  dispatcher_->Cancel(AttemptId{ {}, 2 });
  EXPECT_EQ(targets_.order_, (Numbers{ 1, 3 }));
}

// Guards against a caller whose many attempts, even with earlier deadlines, starve another caller.
TEST_F(Dispatcher, NoisyCallerDoesNotStarveOthers)
{
  for (uint32_t number = 1; number <= 50; number++) {
    Submit(number, Seconds(10), "noisy");
  }
  Submit(51, Seconds(90), "quiet");
  Submit(52, Seconds(90), "quiet");
  for (uint32_t number = 1; number <= 4; number++) {
    targets_.End(targets_.running_.begin()->first, Ready());
  }
  EXPECT_EQ(
    std::count_if(targets_.order_.begin(), targets_.order_.end(), [](uint32_t aNumber) { return aNumber > 50; }), 2);
}

struct LossCase
{
  const char* name_;
  unsigned inFlight_;
  /// Time between the reports of the first loss and of the others.
  Micros between_;
  uint32_t last_;
};

class DispatcherLoss
  : public Dispatcher
  , public testing::WithParamInterface<LossCase>
{};

// Guards against blaming an innocent attempt alone because its loss was reported last.
TEST_P(DispatcherLoss, CountsAttemptsInFlight)
{
  const LossCase& param = GetParam();
  for (uint32_t number = 1; number <= param.inFlight_; number++) {
    Submit(number);
  }
  for (uint32_t number = 1; number <= param.inFlight_; number++) {
    targets_.End(number, kLost);
    timers_.Advance(param.between_);
  }
  EXPECT_EQ(replies_[1].inFlightAtLoss_, param.inFlight_);
  EXPECT_EQ(replies_[param.inFlight_].inFlightAtLoss_, param.last_);
}

INSTANTIATE_TEST_SUITE_P(Crashes,
                         DispatcherLoss,
                         testing::Values(LossCase{ "One", 1, Micros(0), 1 },
                                         LossCase{ "TwoAtOnce", 2, Micros(0), 2 },
                                         LossCase{ "TwoReportedApart", 2, Seconds(5), 2 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against blaming an attempt that was sent while the target was already failing.
TEST_F(Dispatcher, LossSoonAfterAnotherIsShared)
{
  RunEach(1, { kLost, kLost });
  EXPECT_EQ(replies_[1].inFlightAtLoss_, 1U);
  EXPECT_EQ(replies_[2].inFlightAtLoss_, 2U);
  timers_.Advance(Seconds(2));
  RunEach(3, { kLost });
  EXPECT_EQ(replies_[3].inFlightAtLoss_, 1U);
}

// Guards against a lost target that is tried by every attempt, and against one that is never tried again.
TEST_F(Dispatcher, BacksOffWithOneProbe)
{
  Submit(1);
  Submit(2);
  Submit(3);
  targets_.End(1, kNotConnected);
  ExpectRefusal(3, Reason::ConnectFailed);
  targets_.End(2, kNotConnected);
  timers_.Advance(Millis(199));
  Submit(4);
  ExpectRefusal(4, Reason::ConnectFailed);
  timers_.Advance(Millis(1));
  Submit(5);
  Submit(6);
  ExpectRefusal(6, Reason::ConnectFailed);
  targets_.End(5, Ready());
  EXPECT_EQ(replies_[5].reply_.verdict_, Verdict::Ran);
  Submit(7);
  EXPECT_TRUE(targets_.running_.contains(7));
}

// Guards against full load on a target that has just restarted.
TEST_F(Dispatcher, RampsRestartedTarget)
{
  dispatcher_ = ReplicaDispatcher::Create(Target(4), timers_, targets_, nullptr);
  RunEach(1, { Ready("b1"), Ready("b2") });
  for (uint32_t number = 11; number <= 20; number++) {
    Submit(number);
  }
  EXPECT_EQ(targets_.running_.size(), 1U);
  timers_.Advance(Seconds(5));
  targets_.End(11, Ready("b2"));
  EXPECT_EQ(targets_.running_.size(), 2U);
  timers_.Advance(Seconds(5));
  targets_.End(12, Ready("b2"));
  EXPECT_EQ(targets_.running_.size(), 4U);
}

// Guards against new work for a leaving target, also when its health endpoint says ready or shows an earlier boot, and
// against a target that stays out after its restart.
TEST_F(Dispatcher, LeavingMarkHoldsUntilNewBoot)
{
  RunEach(1, { Ready("b0") });
  Submit(2);
  Submit(3);
  Submit(4);
  targets_.End(2, Said(Verdict::NotRun, Reason::Draining, TargetState::Draining, "b1"));
  ExpectRefusal(4, Reason::Draining);
  targets_.End(3, Ready("b1"));
  for (const char* boot : { "b1", "b0", "" }) {
    targets_.health_ = Ready(boot);
    timers_.Advance(Seconds(1));
  }
  Submit(5);
  ExpectRefusal(5, Reason::Draining);
  EXPECT_EQ(targets_.probes_, 3U);
  targets_.health_ = Ready("b2");
  timers_.Advance(Seconds(1));
  Submit(6);
  EXPECT_TRUE(targets_.running_.contains(6));
  timers_.Advance(Seconds(5));
  EXPECT_EQ(targets_.probes_, 4U);
}

// Guards against a query that is blocked as crash suspect because its target closed a kept connection, and against a
// canary on such a connection, whose loss would prove nothing.
TEST_F(Dispatcher, LossOfKeptConnectionIsNotBlamedOnTheAttemptAlone)
{
  TargetReply lost = kLost;
  lost.lostKeptConnection_ = true;
  Submit(1);
  targets_.End(1, lost);
  EXPECT_EQ(replies_[1].inFlightAtLoss_, 2U);
  EXPECT_FALSE(targets_.newConnection_[1]);

  timers_.Advance(Seconds(5));
  Submit(2, Seconds(100), "a", true);
  EXPECT_TRUE(targets_.newConnection_[2]);
  targets_.End(2, kLost);
  EXPECT_EQ(replies_[2].inFlightAtLoss_, 1U);
}

} // namespace
} // namespace ibisrock
