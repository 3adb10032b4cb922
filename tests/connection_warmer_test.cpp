#include "router_fixture.h"

#include <gtest/gtest.h>
#include <set>

namespace ibisrock {
namespace {

using tests::RouterFixture;

struct WarmingCase
{
  const char* name_;
  size_t instances_;
  /// Time after which each shard must have a connection: 10 ms of a slot for each instance, within 5% of the 6 slots of
  /// a shard, but at least 1 s.
  Millis expected_;
};

class ConnectionWarming : public testing::TestWithParam<WarmingCase>
{};

/// Guards against first requests that wait for a connection to each shard, and against all instances connecting to the
/// targets at once after a restart.
TEST_P(ConnectionWarming, ConnectsToEachShardAtABoundedRate)
{
  constexpr size_t kShards = 40;
  RouterFixture fixture;
  fixture.router_.SetInstanceCount(GetParam().instances_);
  fixture.SetShardTargets(kShards, 3);
  fixture.SetRoutes({ RouterFixture::GatherRoute(kShards, 0.9) });
  fixture.timers_.Advance(GetParam().expected_ / 2);
  EXPECT_GE(fixture.link_.opened_.size(), kShards / 4);
  EXPECT_LE(fixture.link_.opened_.size(), kShards / 2);
  fixture.timers_.Advance(GetParam().expected_ / 2 + Millis(500));
  std::set<std::string> shards;
  for (const std::string& target : fixture.link_.opened_) {
    shards.insert(target.substr(0, target.find('/')));
  }
  EXPECT_EQ(shards.size(), kShards);
  // Open connections are left alone.
  fixture.timers_.Advance(10 * GetParam().expected_);
  EXPECT_EQ(fixture.link_.opened_.size(), kShards);
}

INSTANTIATE_TEST_SUITE_P(ConnectionWarmer,
                         ConnectionWarming,
                         testing::Values(WarmingCase{ "Small", 7, Millis(1000) },
                                         WarmingCase{ "Grown", 79, Millis(2633) },
                                         WarmingCase{ "Large", 295, Millis(9833) }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against connections to targets that leave, and to pools of which a request uses only one target.
TEST(ConnectionWarmer, LeavesOtherTargetsAlone)
{
  RouterFixture fixture;
  TargetRecord leaving = RouterFixture::MakeTarget("shard-0/0", "shard-0");
  leaving.isLeaving_ = true;
  fixture.router_.ReplaceTargets({ leaving, RouterFixture::MakeTarget("pool/0", "pool") }, false);
  fixture.SetRoutes(
    { RouterFixture::GatherRoute(1, 1.0), RouterFixture::RelayRoute(RequestKind::NonIdempotent, "pool") });
  fixture.timers_.Advance(Seconds(5));
  EXPECT_TRUE(fixture.link_.opened_.empty());
}

/// Guards against hedges that double the work of an instance that is itself too slow: while most shards are pending
/// none is hedged, and afterwards only those that are left.
TEST(GatherHedges, WaitWhileMostShardsArePending)
{
  constexpr size_t kShards = 20;
  constexpr size_t kReplied = 15;
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::GatherRoute(kShards, 0.9) });
  fixture.SetShardTargets(kShards, 2);
  fixture.Submit("/gather/x");
  // The first hedge delay is 35 ms.
  fixture.timers_.Advance(Millis(45));
  EXPECT_EQ(fixture.link_.sent_.size(), kShards);
  for (size_t i = 0; i < kReplied; i++) {
    TargetOutcome outcome;
    outcome.verdict_ = Verdict::Ran;
    outcome.status_ = 200;
    outcome.stamp_ = "s" + std::to_string(i);
    outcome.body_ = std::make_shared<std::string>();
    fixture.link_.End(i, std::move(outcome));
  }
  fixture.timers_.Advance(Millis(20));
  EXPECT_EQ(fixture.link_.sent_.size(), kShards + kShards - kReplied);
}

} // namespace
} // namespace ibisrock
