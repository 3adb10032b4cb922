#include "router_fixture.h"

#include <set>

namespace ibisrock::tests {
namespace {

/// Expected reply to a request after one outcome of its only attempt; the pool has no other target.
struct OutcomeCase
{
  const char* name_;
  RequestKind kind_;
  TargetOutcome outcome_;
  unsigned status_;
  /// Whether the reply carries the target's stamp.
  bool stamped_;
};

class SingleTargetOutcome : public testing::TestWithParam<OutcomeCase>
{};

/// Guards against replies that claim more than the target reported: a success without a stamp, or "not run" for a
/// request that may have run.
TEST_P(SingleTargetOutcome, DeterminesTheReplyStatus)
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
  SingleTargetOutcome,
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

/// Guards against executing a non-idempotent request twice.
TEST(Router, RetriesOnlyWhatIsSafeToRepeat)
{
  struct Case
  {
    RequestKind kind_;
    Verdict verdict_;
    size_t attempts_;
  };
  for (const Case& testCase : { Case{ RequestKind::Idempotent, Verdict::MayHaveRun, 2 },
                                Case{ RequestKind::NonIdempotent, Verdict::MayHaveRun, 1 },
                                Case{ RequestKind::NonIdempotent, Verdict::NotRun, 2 } }) {
    RouterFixture fixture;
    fixture.SetRoutes({ RouterFixture::RelayRoute(testCase.kind_) });
    fixture.SetTargets({ "pool" }, 3);
    fixture.Submit("/relay/x");
    fixture.link_.End(0, Failure(testCase.verdict_, Reason::ConnectionLost));
    fixture.timers_.Advance(Millis(200));
    EXPECT_EQ(fixture.link_.sent_.size(), testCase.attempts_);
  }
}

/// Guards against sending a request to more targets than the route allows.
TEST(Router, SendsToNoMoreTargetsThanTheRouteAllows)
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

/// Guards against a merged answer that contains less or more than its parts.
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

/// Guards against a share of the budget that is too small for any hedge in a large fleet. With 79 instances, each may
/// save 1.9 of the 198 tokens.
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

/// Guards against a fleet that does not hedge at all because instances are counted twice for a while, after they have
/// changed their relay: with 145 instances each may save 1.02 of the 198 tokens, and a full budget allows a hedge.
TEST(Router, HedgesWithLittleMoreThanOneToken)
{
  RouterFixture fixture({ InstanceId("entry-1"), DataCentre("dc-a"), { Millis(3), 0.2, 198 } });
  fixture.SetRoutes({ RouterFixture::GatherRoute(2, 1.0) });
  fixture.SetShardTargets(2, 3);
  fixture.router_.SetInstanceCount(145);
  fixture.Submit("/gather/x");
  fixture.timers_.Advance(Millis(60));
  EXPECT_EQ(fixture.link_.sent_.size(), 4U);
}

/// Guards against missing the objective by waiting for a shard when enough other shards have replied.
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

/// Guards against delaying the refusal of a gather that can no longer reach its minimum coverage.
TEST(Router, EndsAGatherAtOnceWhenTooManyShardsAreLost)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::GatherRoute(4, 0.75) });
  fixture.SetShardTargets(2, 1);
  fixture.Submit("/gather/x");
  ASSERT_EQ(fixture.replies_.size(), 1U);
  EXPECT_NE(fixture.replies_[0].status_, 200U);
}

/// Guards against mixing the shards of two configuration versions in one gather.
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

/// Guards against calls that continue after their caller has disconnected.
TEST(Router, CancelsCallsWhenTheCallerDisconnects)
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

/// Guards against replacing the configuration by an older version.
TEST(Router, IgnoresAnOlderConfiguration)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent, "new") }, 7);
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent, "old") }, 6);
  fixture.SetTargets({ "old", "new" }, 1);
  fixture.Submit("/relay/x");
  EXPECT_EQ(fixture.link_.Targets(), std::vector<std::string>{ "new/0" });
}

/// Guards against opening more connections than this instance's share; the target resets the excess ones. Occurs when a
/// new set of shards starts: all instances send at once, replies are slow, and gathers end before their calls.
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
  // Both calls to shard-1 are abandoned but still occupy the two connections.
  fixture.Submit("/gather/x");
  EXPECT_EQ(fixture.link_.sent_.size(), 5U);
  fixture.link_.End(1, Success("", "late"));
  EXPECT_EQ(fixture.link_.sent_.size(), 6U);
  EXPECT_EQ(fixture.link_.Targets().back(), "shard-1/0");
}

/// Guards against ending a request after a failed attempt although another target will have capacity in time. Occurs
/// when some targets are unreachable while the others are busy.
TEST(Router, WaitsForCapacityAfterAFailedAttempt)
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

/// Guards against a reconnection storm: a target with a full queue resets connections, and each reset triggers a new
/// connection.
TEST(Router, LowersTheLimitOfATargetThatLosesConnections)
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
  // One call is in flight, which is the reduced limit of the target.
  fixture.Submit("/relay/x");
  fixture.Submit("/relay/x");
  EXPECT_EQ(fixture.link_.sent_.size(), 8U);
  // Successful replies raise the limit again.
  for (size_t i = 7; i < fixture.link_.sent_.size() && i < 12; i++) {
    fixture.link_.End(i, Success("x"));
    fixture.Submit("/relay/x");
    fixture.Submit("/relay/x");
  }
  const auto inFlight = std::count_if(
    fixture.link_.sent_.begin(), fixture.link_.sent_.end(), [](const auto& aSent) { return !aSent.ended_; });
  EXPECT_GE(inFlight, 2);
}

/// Guards against every instance of a fleet connecting to every target, which exceeds the connection limits of the
/// targets.
TEST(Router, PrefersTargetsWithAnOpenConnection)
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
  // The open connection is no reason to wait for a busy target.
  fixture.Submit("/relay/x");
  fixture.Submit("/relay/x");
  fixture.Submit("/relay/x");
  EXPECT_NE(fixture.link_.Targets().back(), "pool/1");
}

/// Guards against failing a request immediately when its targets are only temporarily out of connections. Occurs when
/// all instances of a fleet connect at the same time after a restart.
TEST(Router, WaitsForTargetsWithoutAFreeConnection)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::NonIdempotent) });
  fixture.SetTargets({ "pool" }, 2);
  fixture.Submit("/relay/x");
  size_t refused = 0;
  // Each of the two targets refuses twice. These attempts exceed the maximum number of targets of the route, which
  // counts only targets that may have run the request.
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

/// Guards against extra attempts without a token: the replacement of a hedge that found no free connection is itself a
/// hedge.
TEST(Router, TakesATokenForTheReplacementOfAHedge)
{
  // 1.5 saved tokens and none earned: enough for one hedge while a quarter of the tokens is kept for retries.
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

/// Guards against a FIFO queue, which serves only requests that are already late. Occurs in the first seconds after a
/// restart of all instances, when requests arrive faster than the targets can serve them.
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

/// Expected refusal of a request for which no run can be started.
struct RefusalCase
{
  const char* name_;
  bool hasRoutes_;
  bool discoveryIsCurrent_;
  unsigned status_;
};

class RequestRefusal : public testing::TestWithParam<RefusalCase>
{};

/// Guards against replying 404 while this instance may lack the newest routes.
TEST_P(RequestRefusal, HasTheExpectedStatus)
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
                         RequestRefusal,
                         testing::Values(RefusalCase{ "NoConfiguration", false, true, 503 },
                                         RefusalCase{ "NoRoute", true, true, 404 },
                                         RefusalCase{ "NoRouteDuringAnOutage", true, false, 503 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a traffic split that deviates from the weights.
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
