#ifndef IBISROCK_TESTS_ROUTER_FIXTURE_H
#define IBISROCK_TESTS_ROUTER_FIXTURE_H

#include "fake_target_link.h"
#include "process/router.h"

#include <gtest/gtest.h>

namespace ibisrock::tests {

/// A router on a manual clock with fake targets. Routes have an objective of 100 ms and a timeout of 1 s.
class RouterFixture
{
public:
  explicit RouterFixture(RouterSettings aSettings = DefaultSettings())
    : router_(std::move(aSettings), timers_, random_, link_, nullptr)
  {
    router_.SetDiscoveryCurrent(true);
    // The budgets of extra attempts are whole after the first window.
    timers_.Advance(kExtraAttemptWindow);
  }

  static RouterSettings DefaultSettings()
  {
    return { InstanceId("entry-1"), DataCentre("dc-a"), { Millis(3), 0.2, 54 } };
  }

  static Route MakeRoute(const std::string& aPrefix, RequestKind aKind)
  {
    Route route;
    route.name_ = RouteName("route" + aPrefix);
    route.host_ = "host.example";
    route.pathPrefix_ = aPrefix;
    route.kind_ = aKind;
    route.maxTargets_ = 2;
    route.timeout_ = Seconds(1);
    route.objective_ = Millis(100);
    return route;
  }

  static Route RelayRoute(RequestKind aKind, const std::string& aPool = "pool")
  {
    Route route = MakeRoute("/relay/", aKind);
    route.pools_ = { { PoolName(aPool), 1 } };
    return route;
  }

  /// Returns a gather route over the shards "shard-0" to "shard-(n-1)".
  static Route GatherRoute(size_t aShards, double aMinCoverage, size_t aMaxRecords = 3)
  {
    Route route = MakeRoute("/gather/", RequestKind::Idempotent);
    route.gather_ = GatherRule{ {}, aMaxRecords, aMinCoverage };
    for (size_t i = 0; i < aShards; i++) {
      route.gather_->shards_.emplace_back("shard-" + std::to_string(i));
    }
    return route;
  }

  void SetRoutes(std::vector<Route> aRoutes, uint64_t aVersion = 1, unsigned aMaxConnections = 80)
  {
    RouteTable::Content content;
    content.version_ = ConfigVersion(aVersion);
    for (const Route& route : aRoutes) {
      for (const WeightedPool& pool : route.pools_) {
        content.pools_[pool.pool_] = { aMaxConnections };
      }
      for (const PoolName& shard : route.gather_ ? route.gather_->shards_ : std::vector<PoolName>()) {
        content.pools_[shard] = { aMaxConnections };
      }
    }
    content.routes_ = std::move(aRoutes);
    LastReason reason;
    auto table = RouteTable::Create(std::move(content), reason);
    ASSERT_TRUE(table) << reason.Text();
    router_.SetRoutes(table);
  }

  static TargetRecord MakeTarget(const std::string& aName, const std::string& aPool)
  {
    TargetRecord record;
    record.name_ = TargetName(aName);
    record.pool_ = PoolName(aPool);
    record.address_ = TargetAddress("10.0.0.1:80");
    record.dataCentre_ = DataCentre("dc-a");
    record.slots_ = 2;
    return record;
  }

  /// Adds aPerPool targets to each pool, named "<pool>/0", "<pool>/1" and so on.
  void SetTargets(const std::vector<std::string>& aPools, size_t aPerPool)
  {
    std::vector<TargetRecord> records;
    for (const std::string& pool : aPools) {
      for (size_t i = 0; i < aPerPool; i++) {
        records.push_back(MakeTarget(pool + "/" + std::to_string(i), pool));
      }
    }
    router_.ReplaceTargets(records, false);
  }

  void SetShardTargets(size_t aShards, size_t aPerShard)
  {
    std::vector<std::string> pools;
    for (size_t i = 0; i < aShards; i++) {
      pools.push_back("shard-" + std::to_string(i));
    }
    SetTargets(pools, aPerShard);
  }

  RunId Submit(const std::string& aPath, Micros aTimeLeft = Millis(600))
  {
    auto request = std::make_shared<CallerRequest>();
    request->method_ = "GET";
    request->target_ = aPath;
    request->host_ = "host.example";
    request->id_ = "request-" + std::to_string(++requests_);
    request->timeLeft_ = aTimeLeft;
    request->receivedAt_ = timers_.Now();
    return router_.Submit(request, [this](CallerReply aReply) { replies_.push_back(std::move(aReply)); });
  }

  ManualTimerService timers_;
  Random random_{ 1 };
  FakeTargetLink link_;
  Router router_;
  std::vector<CallerReply> replies_;

private:
  size_t requests_ = 0;
};

} // namespace ibisrock::tests

#endif
