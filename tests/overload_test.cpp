#include "process/wait_estimate.h"
#include "router_fixture.h"

namespace ibisrock::tests {
namespace {

/// Applies a load to a router on the manual clock. Each target completes a call a fixed time after it was sent.
class LoadSimulation
{
public:
  struct Load
  {
    Micros interval_;
    size_t requests_;
    Micros timeLeft_;
    std::string path_ = "/relay/x";
  };

  struct Answer
  {
    TimePoint submittedAt_;
    Micros latency_;
    CallerReply reply_;
  };

  LoadSimulation(Route aRoute, unsigned aConnections, Micros aServiceTime)
    : serviceTime_(aServiceTime)
  {
    fixture_.SetRoutes({ std::move(aRoute) }, 1, aConnections);
  }

  void Run(const Load& aLoad)
  {
    for (size_t i = 0; i < aLoad.requests_; i++) {
      Submit(aLoad);
      Advance(aLoad.interval_);
    }
    Advance(aLoad.timeLeft_ + kMaxRetryAfter);
  }

  size_t CountWith(unsigned aStatus) const
  {
    return static_cast<size_t>(std::count_if(answers_.begin(), answers_.end(), [aStatus](const Answer& aAnswer) {
      return aAnswer.reply_.status_ == aStatus;
    }));
  }

  /// Longest time to an answer with aStatus among requests sent at or after aFrom.
  Micros LongestWith(unsigned aStatus, TimePoint aFrom) const
  {
    Micros longest{};
    for (const Answer& answer : answers_) {
      if (answer.reply_.status_ == aStatus && answer.submittedAt_ >= aFrom) {
        longest = std::max(longest, answer.latency_);
      }
    }
    return longest;
  }

  /// Withholds the replies to calls sent from now on until aTime has passed.
  void WithholdRepliesFor(Micros aTime) { repliesWithheldUntil_ = fixture_.timers_.Now() + aTime; }
  /// Makes each refused caller retry once, after its Retry-After delay.
  void RetryRefusedRequests() { retriesRefused_ = true; }

  RouterFixture fixture_;
  std::vector<Answer> answers_;

private:
  static constexpr Micros kStep = Millis(1);
  /// Upper limit of the Retry-After delays in these tests.
  static constexpr Micros kMaxRetryAfter = Seconds(3);

  void Submit(const Load& aLoad, bool aIsRetry = false)
  {
    auto request = std::make_shared<CallerRequest>();
    request->method_ = "GET";
    request->target_ = aLoad.path_;
    request->host_ = "host.example";
    request->id_ = "request-" + std::to_string(++submitted_);
    request->timeLeft_ = aLoad.timeLeft_;
    const TimePoint submittedAt = fixture_.timers_.Now();
    request->receivedAt_ = submittedAt;
    fixture_.router_.Submit(request, [this, submittedAt, aLoad, aIsRetry](CallerReply aReply) {
      if (retriesRefused_ && !aIsRetry && aReply.status_ == 503) {
        fixture_.timers_.After(*aReply.retryAfter_, [this, aLoad] { Submit(aLoad, true); });
        return;
      }
      answers_.push_back({ submittedAt, fixture_.timers_.Now() - submittedAt, std::move(aReply) });
    });
  }

  void Advance(Micros aTime)
  {
    for (Micros passed{}; passed < aTime; passed += kStep) {
      ScheduleNewCalls();
      fixture_.timers_.Advance(kStep);
    }
  }

  void ScheduleNewCalls()
  {
    for (; scheduled_ < fixture_.link_.sent_.size(); scheduled_++) {
      const TimePoint now = fixture_.timers_.Now();
      const Micros withheld = std::max(Micros::zero(), repliesWithheldUntil_ - now);
      fixture_.timers_.After(withheld + serviceTime_,
                             [this, index = scheduled_] { fixture_.link_.End(index, Success("1\n", "stamp")); });
    }
  }

  const Micros serviceTime_;
  TimePoint repliesWithheldUntil_{};
  bool retriesRefused_ = false;
  size_t submitted_ = 0;
  size_t scheduled_ = 0;
};

Route
SingleTargetRelay()
{
  Route route = RouterFixture::RelayRoute(RequestKind::Idempotent);
  route.maxTargets_ = 1;
  return route;
}

/// Guards against requests that wait until their deadline although the targets cannot serve them. The load is 2.5 times
/// the capacity of the targets for two seconds.
TEST(Overload, IsRefusedWithinTheObjective)
{
  // Capacity: two targets with one call of 50 ms at a time, which is 40 calls per second. The objective is 100 ms.
  LoadSimulation simulation(SingleTargetRelay(), 1, Millis(50));
  simulation.fixture_.SetTargets({ "pool" }, 2);
  const TimePoint start = simulation.fixture_.timers_.Now();
  simulation.Run({ Millis(10), 200, Millis(600) });
  ASSERT_EQ(simulation.answers_.size(), 200U);
  EXPECT_EQ(simulation.CountWith(200) + simulation.CountWith(503), 200U);
  // In the first half second the load may still be a burst that the targets can serve afterwards.
  EXPECT_LT(simulation.LongestWith(503, {}), Millis(600));
  EXPECT_LE(simulation.LongestWith(503, start + Millis(500)), Millis(100));
  // The targets stay busy: at least 90% of their capacity over two seconds (80 calls) is used.
  EXPECT_GE(simulation.CountWith(200), 72U);
  for (const LoadSimulation::Answer& answer : simulation.answers_) {
    EXPECT_TRUE(answer.reply_.status_ == 200 || answer.reply_.retryAfter_ > Micros::zero());
  }
}

/// Guards against a Retry-After delay after which the caller is refused again. The load is a burst followed by the
/// retries only.
TEST(Overload, ServesRetriesAfterTheRetryAfterDelay)
{
  LoadSimulation simulation(SingleTargetRelay(), 1, Millis(50));
  simulation.fixture_.SetTargets({ "pool" }, 2);
  simulation.RetryRefusedRequests();
  simulation.Run({ Millis(2), 40, Millis(600) });
  ASSERT_EQ(simulation.answers_.size(), 40U);
  EXPECT_EQ(simulation.CountWith(200), 40U);
}

/// Guards against refusals during a pause of all targets after which every request can still be served before its
/// deadline.
TEST(Overload, IsNotDetectedDuringAShortPause)
{
  LoadSimulation simulation(SingleTargetRelay(), 4, Millis(20));
  simulation.fixture_.SetTargets({ "pool" }, 2);
  simulation.Run({ Millis(10), 50, Millis(600) });
  simulation.answers_.clear();
  simulation.WithholdRepliesFor(Millis(200));
  simulation.Run({ Millis(10), 50, Millis(600) });
  EXPECT_EQ(simulation.CountWith(200), 50U);
}

/// Guards against refusing a request only because its deadline is near. The queue is empty, and the target may reply
/// faster than average.
TEST(Overload, IsNotDetectedForANearDeadline)
{
  RouterFixture fixture;
  fixture.SetRoutes({ SingleTargetRelay() });
  fixture.SetTargets({ "pool" }, 1);
  fixture.Submit("/relay/x", Millis(3));
  EXPECT_TRUE(fixture.replies_.empty());
  EXPECT_EQ(fixture.link_.sent_.size(), 1U);
}

struct HotShardCase
{
  const char* name_;
  size_t hotShards_;
  double minCoverage_;
  bool isRefused_;
};

class HotShards : public testing::TestWithParam<HotShardCase>
{};

/// Guards against sending calls to all shards for a gather that too few of them can answer in time, and against
/// refusing a gather that enough of them can answer.
TEST_P(HotShards, RefuseOnlyGathersThatNeedThem)
{
  constexpr size_t kShards = 10;
  RouterFixture fixture;
  Route gather = RouterFixture::GatherRoute(kShards, GetParam().minCoverage_);
  gather.maxTargets_ = 1;
  std::vector<Route> routes{ gather };
  for (size_t i = 0; i < GetParam().hotShards_; i++) {
    const std::string shard = "shard-" + std::to_string(i);
    Route relay = RouterFixture::RelayRoute(RequestKind::Idempotent, shard);
    relay.name_ = RouteName(shard);
    relay.pathPrefix_ = "/" + shard + "/";
    relay.maxTargets_ = 1;
    routes.push_back(relay);
  }
  fixture.SetRoutes(routes, 1, 1);
  fixture.SetShardTargets(kShards, 1);
  // Fill the queues of the hot shards until further requests are refused.
  for (size_t i = 0; i < GetParam().hotShards_; i++) {
    for (int request = 0; request < 100; request++) {
      fixture.Submit("/shard-" + std::to_string(i) + "/x");
    }
  }
  const size_t sentBefore = fixture.link_.sent_.size();
  const size_t repliesBefore = fixture.replies_.size();
  fixture.Submit("/gather/x");
  if (GetParam().isRefused_) {
    ASSERT_EQ(fixture.replies_.size(), repliesBefore + 1);
    EXPECT_EQ(fixture.replies_.back().status_, 503U);
    EXPECT_EQ(fixture.link_.sent_.size(), sentBefore);
  } else {
    EXPECT_EQ(fixture.replies_.size(), repliesBefore);
    EXPECT_EQ(fixture.link_.sent_.size(), sentBefore + kShards - GetParam().hotShards_);
  }
}

INSTANTIATE_TEST_SUITE_P(Overload,
                         HotShards,
                         testing::Values(HotShardCase{ "None", 0, 1, false },
                                         HotShardCase{ "OneOptional", 1, 0.9, false },
                                         HotShardCase{ "OneRequired", 1, 1, true },
                                         HotShardCase{ "MoreThanOptional", 2, 0.9, true },
                                         HotShardCase{ "All", 10, 0.1, true }),
                         [](const auto& aCase) { return aCase.param.name_; });

struct EstimateCase
{
  const char* name_;
  /// Queued calls of the higher and the lower priority, all added at the same time, and the objective of those of the
  /// lower priority.
  size_t urgent_;
  size_t others_;
  Micros othersObjective_;
  /// Calls that arrive at the time of the estimate.
  size_t arrivals_;
  /// Time of the estimate, and the time left then until the objective of the call.
  Micros at_;
  Micros ownObjective_;
  std::optional<Micros> reply_;
};

class CallWaitEstimate : public testing::TestWithParam<EstimateCase>
{};

/// Guards against estimates that count calls which are dispatched after the given one. One target serves one call of
/// 10 ms at a time.
TEST_P(CallWaitEstimate, DependsOnTheCallsAhead)
{
  const EstimateCase& test = GetParam();
  const TimePoint start{ Seconds(10) };
  TargetPtr target = std::make_shared<Target>(RouterFixture::MakeTarget("t", "pool"), start);
  PendingCallQueue queue;
  const auto refuse = [] { return false; };
  for (size_t i = 0; i < test.others_; i++) {
    queue.Add(start, 2, start + test.othersObjective_, refuse);
  }
  for (size_t i = 0; i < test.urgent_; i++) {
    queue.Add(start, 1, start + Seconds(9), refuse);
  }
  queue.OnCapacityAvailable(start + test.othersObjective_);
  queue.CountArrival(start + test.at_ / 2);
  const TimePoint now = start + test.at_;
  for (size_t i = 0; i < test.arrivals_; i++) {
    queue.CountArrival(now);
  }
  const PendingCall call{ std::nullopt, 2, now + test.ownObjective_, now + Seconds(1), Millis(10) };
  EXPECT_EQ(EstimateWait(queue, std::vector{ target }, call, now).timeToReply_, test.reply_);
}

INSTANTIATE_TEST_SUITE_P(
  Overload,
  CallWaitEstimate,
  testing::Values(
    EstimateCase{ "NothingAhead", 0, 0, Millis(100), 0, Millis(50), Millis(100), Millis(20) },
    EstimateCase{ "UrgentAhead", 3, 0, Millis(100), 0, Millis(50), Millis(100), Millis(50) },
    EstimateCase{ "EqualAhead", 0, 3, Millis(100), 0, Millis(50), Millis(100), Millis(50) },
    EstimateCase{ "LateCallsAreOvertaken", 0, 3, Millis(40), 0, Millis(50), Millis(100), Millis(20) },
    EstimateCase{ "LateInABurst", 5, 5, Millis(40), 50, Millis(50), Millis(20), Millis(120) },
    // 500 calls per second arrive and 100 complete.
    EstimateCase{ "LateInAnOverload", 5, 5, Millis(40), 50, Millis(400), Millis(20), std::nullopt },
    // 50 calls per second arrive and 100 complete.
    EstimateCase{ "LateAtTheEndOfAnOverload", 5, 5, Millis(40), 5, Millis(2000), Millis(20), Millis(120) }),
  [](const auto& aCase) { return aCase.param.name_; });

} // namespace
} // namespace ibisrock::tests
