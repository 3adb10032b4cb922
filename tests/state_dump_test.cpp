#include "fakes/fake_cluster.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace ibisrock {
namespace {

using fakes::FakeCluster;
using nlohmann::json;

struct StateCase
{
  const char* name_;
  const char* pointer_;
  json value_;
};

class StateDump : public testing::TestWithParam<StateCase>
{};

// Guards against component state that is missing from the dump, after one member has died and one query was answered.
TEST_P(StateDump, ReportsField)
{
  FakeCluster cluster({}, 1);
  cluster.Start();
  cluster.Ask(0, FakeCluster::MakeQuery("a"));
  cluster.Kill(6);
  cluster.timers_.Advance(Seconds(30));
  const json state = json::parse(cluster.At(0).DumpState());
  EXPECT_EQ(state.at(json::json_pointer(GetParam().pointer_)), GetParam().value_) << state.dump(2);
}

INSTANTIATE_TEST_SUITE_P(Parts,
                         StateDump,
                         testing::Values(StateCase{ "Ready", "/ready", true },
                                         StateCase{ "Config", "/config/version", 1 },
                                         StateCase{ "Refused", "/refused/other_content", 0 },
                                         StateCase{ "Catalogue", "/catalogue_versions/dockdesk", 0 },
                                         StateCase{ "Self", "/members/0/state", "alive" },
                                         StateCase{ "DeadMember", "/members/6/state", "dead" },
                                         StateCase{ "SilentPeers", "/silent_peers", json::array() },
                                         StateCase{ "AdmissionLimit", "/services/dockdesk/admission/limit", 16 },
                                         StateCase{ "Admitted", "/services/dockdesk/admission/in_flight", 0 },
                                         StateCase{ "CrashGuard", "/crash_guard_entries", 0 },
                                         StateCase{ "Attempts", "/services/dockdesk/attempts", 20 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a replica that is reported as owned by no instance or by two instances.
TEST(ReplicaDump, EachReplicaHasOneOwner)
{
  FakeCluster cluster({}, 1);
  cluster.Start();
  cluster.timers_.Advance(Seconds(5));
  std::map<std::string, unsigned> owners;
  for (size_t index = 0; index < cluster.Size(); index++) {
    const json state = json::parse(cluster.At(index).DumpState());
    for (const auto& [target, replica] : state.at("replicas").items()) {
      owners[target] += replica.at("owned").get<bool>() ? 1 : 0;
      EXPECT_EQ(replica.at("waiting"), 0);
      EXPECT_EQ(replica.at("running"), 0);
    }
  }
  EXPECT_EQ(owners.size(), 40U);
  for (const auto& [target, count] : owners) {
    EXPECT_EQ(count, 1U) << target;
  }
}

// Guards against waiting and running counts that omit attempts in flight.
TEST(ReplicaDump, CountsAttemptsInFlight)
{
  fakes::ClusterShape shape;
  shape.tuning_.hedges_ = false;
  FakeCluster cluster(shape, 1);
  cluster.Start();
  for (unsigned target = 0; target < 2 * shape.shards_; target++) {
    const TargetName name = FakeCluster::TargetOf(target / 2, target % 2);
    auto behaviour = cluster.targets_.Get(name);
    behaviour.serviceTime_ = Millis(100);
    cluster.targets_.Set(name, behaviour);
  }
  cluster.Submit(0, FakeCluster::MakeQuery("a"), [](const Answer&) {});
  cluster.timers_.Advance(Millis(20));
  unsigned inFlight = 0;
  for (size_t index = 0; index < cluster.Size(); index++) {
    const json state = json::parse(cluster.At(index).DumpState());
    for (const auto& replica : state.at("replicas")) {
      inFlight += replica.at("running").get<unsigned>() + replica.at("waiting").get<unsigned>();
    }
  }
  EXPECT_EQ(inFlight, shape.shards_);
}

} // namespace
} // namespace ibisrock
