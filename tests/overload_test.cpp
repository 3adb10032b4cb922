#include "process/wait_estimate.h"
#include "router_fixture.h"

namespace ibisrock::tests {
namespace {

/// Replays a load against a router on the manual clock. Each target ends a call a fixed time after it was sent.
class LoadReplay
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
    TimePoint sentAt_;
    Micros after_;
    CallerReply reply_;
  };

  LoadReplay(Route aRoute, unsigned aConnections, Micros aServiceTime)
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
    Advance(aLoad.timeLeft_ + kLongestReturn);
  }

  size_t CountWith(unsigned aStatus) const
  {
    return static_cast<size_t>(std::count_if(answers_.begin(), answers_.end(), [aStatus](const Answer& aAnswer) {
      return aAnswer.reply_.status_ == aStatus;
    }));
  }

  /// Longest time to an answer with this status, of requests sent from a time on.
  Micros LongestWith(unsigned aStatus, TimePoint aFrom) const
  {
    Micros longest{};
    for (const Answer& answer : answers_) {
      if (answer.reply_.status_ == aStatus && answer.sentAt_ >= aFrom) {
        longest = std::max(longest, answer.after_);
      }
    }
    return longest;
  }

  /// Calls sent from now on get no reply until the time has passed.
  void SilenceFor(Micros aTime) { silentUntil_ = fixture_.timers_.Now() + aTime; }
  /// Lets each refused caller come back once, when it was told to.
  void ReturnWhenTold() { returns_ = true; }

  RouterFixture fixture_;
  std::vector<Answer> answers_;

private:
  static constexpr Micros kStep = Millis(1);
  /// A refused caller is told to return within this time.
  static constexpr Micros kLongestReturn = Seconds(3);

  void Submit(const Load& aLoad, bool aIsReturn = false)
  {
    auto request = std::make_shared<CallerRequest>();
    request->method_ = "GET";
    request->target_ = aLoad.path_;
    request->host_ = "host.example";
    request->id_ = "request-" + std::to_string(++submitted_);
    request->timeLeft_ = aLoad.timeLeft_;
    const TimePoint sentAt = fixture_.timers_.Now();
    request->receivedAt_ = sentAt;
    fixture_.router_.Submit(request, [this, sentAt, aLoad, aIsReturn](CallerReply aReply) {
      if (returns_ && !aIsReturn && aReply.status_ == 503) {
        fixture_.timers_.After(*aReply.retryAfter_, [this, aLoad] { Submit(aLoad, true); });
        return;
      }
      answers_.push_back({ sentAt, fixture_.timers_.Now() - sentAt, std::move(aReply) });
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
      const Micros silent = std::max(Micros::zero(), silentUntil_ - now);
      fixture_.timers_.After(silent + serviceTime_,
                             [this, index = scheduled_] { fixture_.link_.End(index, Success("1\n", "stamp")); });
    }
  }

  const Micros serviceTime_;
  TimePoint silentUntil_{};
  bool returns_ = false;
  size_t submitted_ = 0;
  size_t scheduled_ = 0;
};

Route
SingleTryRelay()
{
  Route route = RouterFixture::RelayRoute(RequestKind::Idempotent);
  route.maxTargets_ = 1;
  return route;
}

/// Guards against requests that wait until their time has passed although the targets cannot serve them: two and a half
/// times the work that the targets can do, for two seconds.
TEST(Overload, IsRefusedWithinTheObjective)
{
  // Two targets with a call each, 50 ms long: 40 calls a second. The objective is 100 ms.
  LoadReplay replay(SingleTryRelay(), 1, Millis(50));
  replay.fixture_.SetTargets({ "pool" }, 2);
  const TimePoint start = replay.fixture_.timers_.Now();
  replay.Run({ Millis(10), 200, Millis(600) });
  ASSERT_EQ(replay.answers_.size(), 200U);
  EXPECT_EQ(replay.CountWith(200) + replay.CountWith(503), 200U);
  // In the first half second it may be a burst, after which the targets could serve all.
  EXPECT_LT(replay.LongestWith(503, {}), Millis(600));
  EXPECT_LE(replay.LongestWith(503, start + Millis(500)), Millis(100));
  // The targets are not idle meanwhile: nine tenths of what they can do in two seconds.
  EXPECT_GE(replay.CountWith(200), 72U);
  for (const LoadReplay::Answer& answer : replay.answers_) {
    EXPECT_TRUE(answer.reply_.status_ == 200 || answer.reply_.retryAfter_ > Micros::zero());
  }
}

/// Guards against a Retry-After at which the caller is refused again: a burst, and then little work.
TEST(Overload, ServesRefusedCallersThatReturnWhenTold)
{
  LoadReplay replay(SingleTryRelay(), 1, Millis(50));
  replay.fixture_.SetTargets({ "pool" }, 2);
  replay.ReturnWhenTold();
  replay.Run({ Millis(2), 40, Millis(600) });
  ASSERT_EQ(replay.answers_.size(), 40U);
  EXPECT_EQ(replay.CountWith(200), 40U);
}

/// Guards against refusals in a pause of all targets, after which everything can be served in time.
TEST(Overload, IsNotSeenInAShortPause)
{
  LoadReplay replay(SingleTryRelay(), 4, Millis(20));
  replay.fixture_.SetTargets({ "pool" }, 2);
  replay.Run({ Millis(10), 50, Millis(600) });
  replay.answers_.clear();
  replay.SilenceFor(Millis(200));
  replay.Run({ Millis(10), 50, Millis(600) });
  EXPECT_EQ(replay.CountWith(200), 50U);
}

/// Guards against refusals of requests that are only short of time: nothing waits, and the target may be faster than
/// usual.
TEST(Overload, IsNotSeenInAShortTimeLeft)
{
  RouterFixture fixture;
  fixture.SetRoutes({ SingleTryRelay() });
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

/// Guards against work at all shards for a request that too few of them can answer, and against refusals of one that
/// enough of them can.
TEST_P(HotShards, RefuseOnlyWhatTheyDecide)
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
  // Fills the hot shards with waiting requests, until those are refused themselves.
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
                                         HotShardCase{ "OneThatMayBeLeftOut", 1, 0.9, false },
                                         HotShardCase{ "OneThatIsNeeded", 1, 1, true },
                                         HotShardCase{ "MoreThanMayBeLeftOut", 2, 0.9, true },
                                         HotShardCase{ "All", 10, 0.1, true }),
                         [](const auto& aCase) { return aCase.param.name_; });

struct EstimateCase
{
  const char* name_;
  /// Waiting calls of each priority, added at the same time, and when the objective of the less urgent ones ends.
  size_t urgent_;
  size_t others_;
  Micros othersObjective_;
  /// Calls that arrive at the moment of the estimate.
  size_t arrivals_;
  /// When the estimate is made, and the objective that the call has left then.
  Micros at_;
  Micros ownObjective_;
  std::optional<Micros> reply_;
};

class WaitOfACall : public testing::TestWithParam<EstimateCase>
{};

/// Guards against estimates that count calls which get room later than the one asked for. One target with one call at a
/// time of 10 ms.
TEST_P(WaitOfACall, FollowsFromTheCallsAhead)
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
  WaitOfACall,
  testing::Values(
    EstimateCase{ "NothingAhead", 0, 0, Millis(100), 0, Millis(50), Millis(100), Millis(20) },
    EstimateCase{ "UrgentAhead", 3, 0, Millis(100), 0, Millis(50), Millis(100), Millis(50) },
    EstimateCase{ "EqualAhead", 0, 3, Millis(100), 0, Millis(50), Millis(100), Millis(50) },
    EstimateCase{ "LateOnesGoBehind", 0, 3, Millis(40), 0, Millis(50), Millis(100), Millis(20) },
    EstimateCase{ "LateInABurst", 5, 5, Millis(40), 50, Millis(50), Millis(20), Millis(120) },
    // 500 calls a second arrive and 100 end.
    EstimateCase{ "LateInAnOverload", 5, 5, Millis(40), 50, Millis(400), Millis(20), std::nullopt },
    // 50 calls a second arrive and 100 end.
    EstimateCase{ "LateAtTheEndOfAnOverload", 5, 5, Millis(40), 5, Millis(2000), Millis(20), Millis(120) }),
  [](const auto& aCase) { return aCase.param.name_; });

} // namespace
} // namespace ibisrock::tests
