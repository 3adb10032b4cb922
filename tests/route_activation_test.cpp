#include "fake_target_link.h"
#include "process/route_activation.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

constexpr Millis kMaxDelay(1000);

std::shared_ptr<const RouteTable>
MakeTable(uint64_t aVersion, const std::vector<std::string>& aShards)
{
  RouteTable::Content content;
  content.version_ = ConfigVersion(aVersion);
  Route route;
  route.name_ = RouteName("r");
  route.host_ = "h";
  route.pathPrefix_ = "/a/";
  route.kind_ = RequestKind::Idempotent;
  route.timeout_ = Seconds(1);
  route.objective_ = Millis(100);
  route.gather_ = GatherRule{ {}, 5, 0.9 };
  for (const std::string& shard : aShards) {
    route.gather_->shards_.push_back(PoolName(shard));
  }
  content.routes_.push_back(std::move(route));
  LastReason reason;
  auto table = RouteTable::Create(std::move(content), reason);
  EXPECT_TRUE(table) << reason.Text();
  return table;
}

class RouteActivationFixture
{
public:
  RouteActivationFixture()
  {
    AddTarget("old1");
    AddTarget("old2");
    activation_.Offer(MakeTable(1, { "old1", "old2" }));
  }

  void AddTarget(const std::string& aShard)
  {
    TargetRecord record;
    record.name_ = TargetName("t-" + aShard);
    record.pool_ = PoolName(aShard);
    record.address_ = TargetAddress("10.0.0.1:80");
    router_.UpsertTarget(record);
    activation_.OnTargetsChanged();
  }

  uint64_t ActiveVersion() const { return router_.Routes()->Version().Value(); }

  ManualTimerService timers_;
  Random random_{ 1 };
  tests::FakeTargetLink link_;
  Router router_{ {}, timers_, random_, link_, nullptr };
  int activated_ = 0;
  RouteActivation activation_{ timers_, router_, kMaxDelay, [this] { activated_++; } };
};

/// Guards against requests that fail because the index was cut anew and the configuration arrived before the targets of
/// the new shards: it comes into force with the last of them.
TEST(RouteActivation, WaitsForTargetsOfNewShards)
{
  RouteActivationFixture fixture;
  EXPECT_EQ(fixture.ActiveVersion(), 1U);
  EXPECT_TRUE(fixture.activation_.Offer(MakeTable(2, { "new1", "new2" })));
  fixture.AddTarget("new1");
  EXPECT_EQ(fixture.ActiveVersion(), 1U);
  fixture.AddTarget("new2");
  EXPECT_EQ(fixture.ActiveVersion(), 2U);
  EXPECT_EQ(fixture.activated_, 2);
}

/// Guards against a configuration that never comes into force because a shard has no target.
TEST(RouteActivation, EndsTheWaitInTime)
{
  RouteActivationFixture fixture;
  EXPECT_TRUE(fixture.activation_.Offer(MakeTable(2, { "new1" })));
  fixture.timers_.Advance(kMaxDelay - Millis(1));
  EXPECT_EQ(fixture.ActiveVersion(), 1U);
  fixture.timers_.Advance(Millis(1));
  EXPECT_EQ(fixture.ActiveVersion(), 2U);
}

/// Guards against a series of configurations that extends the wait, and against an older one that replaces a newer one.
TEST(RouteActivation, NewestConfigurationOfASeriesIsInForceInTime)
{
  RouteActivationFixture fixture;
  EXPECT_TRUE(fixture.activation_.Offer(MakeTable(2, { "new1" })));
  fixture.timers_.Advance(kMaxDelay / 2);
  EXPECT_TRUE(fixture.activation_.Offer(MakeTable(4, { "new2" })));
  EXPECT_TRUE(fixture.activation_.Offer(MakeTable(3, { "old1" })));
  fixture.timers_.Advance(kMaxDelay / 2);
  EXPECT_EQ(fixture.ActiveVersion(), 4U);
  EXPECT_FALSE(fixture.activation_.Offer(MakeTable(3, { "old1" })));
  EXPECT_EQ(fixture.ActiveVersion(), 4U);
}

/// Guards against a delay of ordinary changes: a shard of the active configuration that has lost its targets holds
/// nothing up.
TEST(RouteActivation, DoesNotWaitForKnownShards)
{
  RouteActivationFixture fixture;
  fixture.router_.RemoveTarget(TargetName("t-old1"));
  EXPECT_FALSE(fixture.activation_.Offer(MakeTable(2, { "old1", "old2" })));
  EXPECT_EQ(fixture.ActiveVersion(), 2U);
}

} // namespace
} // namespace ibisrock
