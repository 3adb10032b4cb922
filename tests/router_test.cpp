#include "router_fixture.h"

#include <set>

namespace ibisrock::tests {
namespace {

/// How a request ends after one outcome of its only attempt, when no other target is there.
struct OutcomeCase
{
  const char* name_;
  RequestKind kind_;
  TargetOutcome outcome_;
  unsigned status_;
  /// Whether the reply carries the target's stamp.
  bool stamped_;
};

class OutcomeOfTheOnlyTarget : public testing::TestWithParam<OutcomeCase>
{};

/// Guards against replies that claim more than the target said: a success without proof, or "not run" for a request
/// that may have run.
TEST_P(OutcomeOfTheOnlyTarget, GivesTheStatus)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(GetParam().kind_) });
  fixture.SetTargets({ "pool" }, 1);
  fixture.Submit("/relay/x");
  ASSERT_EQ(fixture.link_.sent_.size(), 1U);
  fixture.link_.End(0, GetParam().outcome_);
  ASSERT_EQ(fixture.replies_.size(), 1U);
  const CallerReply& reply = fixture.replies_[0];
  EXPECT_EQ(reply.status_, GetParam().status_);
  const bool stamped = std::any_of(reply.fields_.begin(), reply.fields_.end(), [](const HeaderField& aField) {
    return aField.name_ == "Ibisrock-Stamp" && !aField.value_.empty();
  });
  EXPECT_EQ(stamped, GetParam().stamped_);
  EXPECT_EQ(reply.retryAfter_.has_value(), reply.status_ == 503);
}

INSTANTIATE_TEST_SUITE_P(
  Router,
  OutcomeOfTheOnlyTarget,
  testing::Values(
    OutcomeCase{ "Success", RequestKind::NonIdempotent, Success("body"), 200, true },
    OutcomeCase{ "SuccessWithoutStamp", RequestKind::Idempotent, Success("body", ""), 502, false },
    OutcomeCase{ "NotFound", RequestKind::Idempotent, Status(404), 404, true },
    OutcomeCase{ "ServerError", RequestKind::NonIdempotent, Status(500), 500, true },
    OutcomeCase{ "UnavailableButMayHaveRun", RequestKind::NonIdempotent, Status(503), 502, false },
    OutcomeCase{ "TooManyButMayHaveRun", RequestKind::Idempotent, Status(429), 502, false },
    OutcomeCase{ "Shed", RequestKind::NonIdempotent, Failure(Verdict::NotRun, Reason::Overloaded), 503, false },
    OutcomeCase{ "Unreachable",
                 RequestKind::NonIdempotent,
                 Failure(Verdict::NotRun, Reason::ConnectFailed),
                 503,
                 false },
    OutcomeCase{ "ConnectionLost",
                 RequestKind::Idempotent,
                 Failure(Verdict::MayHaveRun, Reason::ConnectionLost),
                 502,
                 false }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a second run of a request that may run once only.
TEST(Router, RepeatsOnlyWhatMayRunAgain)
{
  struct Case
  {
    RequestKind kind_;
    Verdict verdict_;
    size_t attempts_;
  };
  for (const Case& each : { Case{ RequestKind::Idempotent, Verdict::MayHaveRun, 2 },
                            Case{ RequestKind::NonIdempotent, Verdict::MayHaveRun, 1 },
                            Case{ RequestKind::NonIdempotent, Verdict::NotRun, 2 } }) {
    RouterFixture fixture;
    fixture.SetRoutes({ RouterFixture::RelayRoute(each.kind_) });
    fixture.SetTargets({ "pool" }, 3);
    fixture.Submit("/relay/x");
    fixture.link_.End(0, Failure(each.verdict_, Reason::ConnectionLost));
    fixture.timers_.Advance(Millis(200));
    EXPECT_EQ(fixture.link_.sent_.size(), each.attempts_);
  }
}

/// Guards against asking more targets than the route allows.
TEST(Router, AsksNoMoreTargetsThanTheRouteAllows)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent) });
  fixture.SetTargets({ "pool" }, 5);
  fixture.Submit("/relay/x");
  fixture.timers_.Advance(Millis(300));
  fixture.link_.End(0, Failure(Verdict::MayHaveRun, Reason::ConnectionLost));
  fixture.link_.End(1, Failure(Verdict::MayHaveRun, Reason::ConnectionLost));
  EXPECT_EQ(fixture.link_.sent_.size(), 2U);
  const std::vector<std::string> targets = fixture.link_.Targets();
  EXPECT_NE(targets[0], targets[1]);
  ASSERT_EQ(fixture.replies_.size(), 1U);
  EXPECT_EQ(fixture.replies_[0].status_, 502U);
}

/// Guards against answers that say less or more than their parts.
TEST(Router, GathersTheGreatestRecordsOfAllShards)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::GatherRoute(3, 1.0, 2) });
  fixture.SetShardTargets(3, 1);
  fixture.Submit("/gather/x");
  ASSERT_EQ(fixture.link_.sent_.size(), 3U);
  fixture.link_.End(0, Success("aaaaaaaaaaaaaaaacccccccccccccccc", "s0"));
  fixture.link_.End(1, Success("", "s1"));
  EXPECT_TRUE(fixture.replies_.empty());
  fixture.link_.End(2, Success("bbbbbbbbbbbbbbbbcccccccccccccccczz", "s2"));
  ASSERT_EQ(fixture.replies_.size(), 1U);
  const CallerReply& reply = fixture.replies_[0];
  EXPECT_EQ(reply.status_, 200U);
  EXPECT_EQ(*reply.body_, "cccccccccccccccccccccccccccccccc");
  EXPECT_EQ(reply.stamps_, (std::vector<std::string>{ "s0", "s1", "s2" }));
  EXPECT_EQ(reply.missingShards_, 0U);
}

/// Guards against a fleet so large that no instance may hedge at all: with 80 instances each may save 1.9 tokens of
/// 198.
TEST(Router, HedgesAsPartOfALargeFleet)
{
  RouterFixture fixture({ InstanceId("entry-1"), DataCentre("dc-a"), { Millis(3), 0.2, 198 } });
  fixture.SetRoutes({ RouterFixture::GatherRoute(2, 1.0) });
  fixture.SetShardTargets(2, 3);
  fixture.router_.SetInstanceCount(79);
  fixture.Submit("/gather/x");
  fixture.timers_.Advance(Millis(60));
  EXPECT_EQ(fixture.link_.sent_.size(), 4U);
}

/// Guards against waiting for a shard beyond the objective when enough of the others are in.
TEST(Router, AnswersWithoutASilentShardBeforeTheObjectivePasses)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::GatherRoute(4, 0.75) });
  fixture.SetShardTargets(4, 1);
  fixture.Submit("/gather/x");
  for (size_t i = 0; i < 3; i++) {
    fixture.link_.End(i, Success("", "s" + std::to_string(i)));
  }
  EXPECT_TRUE(fixture.replies_.empty());
  fixture.timers_.Advance(Millis(97));
  ASSERT_EQ(fixture.replies_.size(), 1U);
  EXPECT_EQ(fixture.replies_[0].missingShards_, 1U);
  EXPECT_EQ(fixture.replies_[0].stamps_.size(), 3U);
}

/// Guards against holding back a request that can no longer be served.
TEST(Router, EndsAGatherAtOnceWhenTooManyShardsAreLost)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::GatherRoute(4, 0.75) });
  fixture.SetShardTargets(2, 1);
  fixture.Submit("/gather/x");
  ASSERT_EQ(fixture.replies_.size(), 1U);
  EXPECT_NE(fixture.replies_[0].status_, 200U);
}

/// Guards against mixing the shards of two versions of the configuration.
TEST(Router, FinishesAGatherWithTheShardsOfItsVersion)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::GatherRoute(2, 1.0) }, 1);
  fixture.SetShardTargets(3, 1);
  fixture.Submit("/gather/x");
  fixture.SetRoutes({ RouterFixture::GatherRoute(3, 1.0) }, 2);
  fixture.link_.End(0, Success("", "s0"));
  fixture.link_.End(1, Success("", "s1"));
  ASSERT_EQ(fixture.replies_.size(), 1U);
  EXPECT_EQ(fixture.replies_[0].stamps_.size(), 2U);
}

/// Guards against work that goes on for a caller that has left.
TEST(Router, StopsTargetsWhenTheCallerLeaves)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::GatherRoute(2, 1.0) });
  fixture.SetShardTargets(2, 1);
  const RunId run = fixture.Submit("/gather/x");
  fixture.router_.OnCallerLeft(run);
  EXPECT_TRUE(fixture.link_.sent_[0].stopped_);
  EXPECT_TRUE(fixture.link_.sent_[1].stopped_);
  fixture.timers_.Advance(Seconds(2));
  EXPECT_TRUE(fixture.replies_.empty());
}

/// Guards against a configuration that goes back to an older version.
TEST(Router, IgnoresAnOlderConfiguration)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent, "new") }, 7);
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent, "old") }, 6);
  fixture.SetTargets({ "old", "new" }, 1);
  fixture.Submit("/relay/x");
  EXPECT_EQ(fixture.link_.Targets(), std::vector<std::string>{ "new/0" });
}

/// Replays the start of a new set of shards: all instances send at once, answers are slow, and gathers end before their
/// calls. Guards against more connections than this instance's share, which the target resets.
TEST(Router, KeepsToItsShareOfConnectionsWithAbandonedCalls)
{
  RouterFixture fixture;
  fixture.router_.SetInstanceCount(10);
  fixture.SetRoutes({ RouterFixture::GatherRoute(2, 0.5) }, 1, 20);
  fixture.SetTargets({ "shard-0", "shard-1" }, 1);
  for (size_t i = 0; i < 2; i++) {
    fixture.Submit("/gather/x");
    fixture.link_.End(2 * i, Success("", "s"));
  }
  fixture.timers_.Advance(Millis(100));
  ASSERT_EQ(fixture.replies_.size(), 2U);
  // Both calls to shard-1 are abandoned and still hold the two connections.
  fixture.Submit("/gather/x");
  EXPECT_EQ(fixture.link_.sent_.size(), 5U);
  fixture.link_.End(1, Success("", "late"));
  EXPECT_EQ(fixture.link_.sent_.size(), 6U);
  EXPECT_EQ(fixture.link_.Targets().back(), "shard-1/0");
}

/// Replays dark targets while the others are busy. Guards against a request that is given up although another target
/// would have room in time.
TEST(Router, WaitsForRoomAfterAFailedAttempt)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::NonIdempotent) }, 1, 1);
  fixture.SetTargets({ "pool" }, 2);
  fixture.Submit("/relay/first");
  fixture.Submit("/relay/second");
  ASSERT_EQ(fixture.link_.sent_.size(), 2U);
  fixture.link_.End(0, Failure(Verdict::NotRun, Reason::ConnectFailed));
  EXPECT_TRUE(fixture.replies_.empty());
  fixture.link_.End(1, Success("x"));
  ASSERT_EQ(fixture.link_.sent_.size(), 3U);
  EXPECT_EQ(fixture.link_.sent_[2].call_.request_->target_, "/relay/first");
  fixture.link_.End(2, Success("x"));
  ASSERT_EQ(fixture.replies_.size(), 2U);
  EXPECT_EQ(fixture.replies_[1].status_, 200U);
}

/// Replays a target whose queue is full and that resets connections. Guards against a storm in which each reset brings
/// the next connection.
TEST(Router, SendsLessToATargetThatLosesCalls)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::NonIdempotent) }, 1, 8);
  fixture.SetTargets({ "pool" }, 1);
  for (size_t i = 0; i < 8; i++) {
    fixture.Submit("/relay/x");
  }
  ASSERT_EQ(fixture.link_.sent_.size(), 8U);
  for (size_t i = 0; i < 7; i++) {
    fixture.link_.End(i, Failure(Verdict::MayHaveRun, Reason::ConnectionLost));
  }
  // One call is in flight, and one is what the target is still given.
  fixture.Submit("/relay/x");
  fixture.Submit("/relay/x");
  EXPECT_EQ(fixture.link_.sent_.size(), 8U);
  // Replies raise it again.
  for (size_t i = 7; i < fixture.link_.sent_.size() && i < 12; i++) {
    fixture.link_.End(i, Success("x"));
    fixture.Submit("/relay/x");
    fixture.Submit("/relay/x");
  }
  const auto inFlight = std::count_if(
    fixture.link_.sent_.begin(), fixture.link_.sent_.end(), [](const auto& aSent) { return !aSent.ended_; });
  EXPECT_GE(inFlight, 2);
}

/// Guards against fleets in which every instance opens a connection to every target, more than the targets take.
TEST(Router, StaysWithTargetsThatItIsConnectedTo)
{
  constexpr size_t kRequests = 20;
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent) });
  fixture.SetTargets({ "pool" }, 3);
  fixture.link_.connected_ = { "pool/1" };
  for (size_t i = 0; i < kRequests; i++) {
    fixture.Submit("/relay/x");
    EXPECT_EQ(fixture.link_.Targets().back(), "pool/1");
    fixture.timers_.Advance(Millis(20));
    fixture.link_.End(i, Success("x"));
  }
  // A target that is busy is not waited for because of its connection.
  fixture.Submit("/relay/x");
  fixture.Submit("/relay/x");
  fixture.Submit("/relay/x");
  EXPECT_NE(fixture.link_.Targets().back(), "pool/1");
}

/// Guards against requests that fail at once although their targets have only no connection free for a moment: all
/// instances of a fleet connect together after a restart.
TEST(Router, WaitsForTargetsWithoutAFreeConnection)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::NonIdempotent) });
  fixture.SetTargets({ "pool" }, 2);
  fixture.Submit("/relay/x");
  size_t refused = 0;
  // Both targets, and each of them twice: more often than the route allows targets that may have run a request.
  for (int round = 0; round < 4; round++) {
    while (refused == fixture.link_.sent_.size()) {
      ASSERT_TRUE(fixture.timers_.RunNext());
    }
    fixture.link_.End(refused, Failure(Verdict::NotRun, Reason::OverLimit));
    refused++;
    EXPECT_TRUE(fixture.replies_.empty());
  }
  while (refused == fixture.link_.sent_.size()) {
    ASSERT_TRUE(fixture.timers_.RunNext());
  }
  fixture.link_.End(refused, Success("x"));
  ASSERT_EQ(fixture.replies_.size(), 1U);
  EXPECT_EQ(fixture.replies_[0].status_, 200U);
}

/// Guards against extra arrivals without a token: the successor of a hedge that found no connection is a hedge itself.
TEST(Router, TakesATokenForTheSuccessorOfAHedge)
{
  // One and a half tokens and none to earn: enough for one hedge, which leaves a quarter of them for retries.
  RouterSettings settings = RouterFixture::DefaultSettings();
  settings.limits_.extraShare_ = 0;
  settings.limits_.extraSlack_ = 2;
  RouterFixture fixture(settings);
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent) });
  fixture.SetTargets({ "pool" }, 3);
  fixture.Submit("/relay/first");
  while (fixture.link_.sent_.size() == 1) {
    ASSERT_TRUE(fixture.timers_.RunNext());
  }
  fixture.link_.End(1, Failure(Verdict::NotRun, Reason::OverLimit));
  ASSERT_EQ(fixture.link_.sent_.size(), 3U);
  fixture.link_.End(2, Success("x"));
  fixture.link_.End(0, Success("x"));
  fixture.Submit("/relay/second");
  fixture.timers_.Advance(Seconds(2));
  EXPECT_EQ(fixture.link_.sent_.size(), 4U) << "a second hedge was sent";
}

/// Replays the first seconds after a restart of all instances, when more requests come than targets take. Guards
/// against a queue in order of arrival, which serves only requests that are late already.
TEST(Router, ServesRequestsInTimeBeforeLateOnes)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::NonIdempotent) }, 1, 1);
  fixture.SetTargets({ "pool" }, 1);
  fixture.Submit("/relay/running");
  fixture.Submit("/relay/late");
  fixture.timers_.Advance(Millis(200));
  fixture.Submit("/relay/fresh");
  fixture.link_.End(0, Success("x"));
  ASSERT_EQ(fixture.link_.sent_.size(), 2U);
  EXPECT_EQ(fixture.link_.sent_[1].call_.request_->target_, "/relay/fresh");
  fixture.link_.End(1, Success("x"));
  ASSERT_EQ(fixture.link_.sent_.size(), 3U);
  EXPECT_EQ(fixture.link_.sent_[2].call_.request_->target_, "/relay/late");
}

/// What a request gets that no run can begin for.
struct RefusalCase
{
  const char* name_;
  bool hasRoutes_;
  bool discoveryIsCurrent_;
  unsigned status_;
};

class RefusalBeforeARun : public testing::TestWithParam<RefusalCase>
{};

/// Guards against a 404 from an instance that may not know the newest routes.
TEST_P(RefusalBeforeARun, GivesTheStatus)
{
  RouterFixture fixture;
  if (GetParam().hasRoutes_) {
    fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent) });
    fixture.SetTargets({ "pool" }, 1);
  }
  fixture.router_.SetDiscoveryCurrent(GetParam().discoveryIsCurrent_);
  fixture.Submit("/unknown/x");
  ASSERT_EQ(fixture.replies_.size(), 1U);
  EXPECT_EQ(fixture.replies_[0].status_, GetParam().status_);
  EXPECT_EQ(fixture.replies_[0].retryAfter_.has_value(), GetParam().status_ == 503);
}

INSTANTIATE_TEST_SUITE_P(Router,
                         RefusalBeforeARun,
                         testing::Values(RefusalCase{ "NoConfiguration", false, true, 503 },
                                         RefusalCase{ "NoRoute", true, true, 404 },
                                         RefusalCase{ "NoRouteDuringAnOutage", true, false, 503 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a split that drifts from its weights.
TEST(Router, SplitsRequestsByWeight)
{
  RouterFixture fixture;
  Route route = RouterFixture::MakeRoute("/relay/", RequestKind::Idempotent);
  route.pools_ = { { PoolName("large"), 7 }, { PoolName("small"), 3 }, { PoolName("none"), 0 } };
  fixture.SetRoutes({ route });
  fixture.SetTargets({ "large", "small", "none" }, 1);
  constexpr size_t kRequests = 100;
  for (size_t i = 0; i < kRequests; i++) {
    fixture.Submit("/relay/x");
    fixture.link_.End(i, Success("x"));
  }
  const std::vector<std::string> targets = fixture.link_.Targets();
  EXPECT_NEAR(static_cast<double>(std::count(targets.begin(), targets.end(), "large/0")), 70, 1);
  EXPECT_EQ(std::count(targets.begin(), targets.end(), "none/0"), 0);
}

} // namespace
} // namespace ibisrock::tests
