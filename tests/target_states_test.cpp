#include "process/target_states.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

const TargetName kTarget("t");

enum class Source
{
  Reply,
  Health,
  Gossip,
};

struct Observation
{
  Source source_;
  const char* boot_;
  TargetState state_;
  std::vector<IndexVersion> held_;
};

struct TargetStatesCase
{
  const char* name_;
  std::vector<Observation> observations_;
  bool draining_;
  bool mayHaveVersionOne_;
  double weight_;
};

void
PrintTo(const TargetStatesCase& aCase, std::ostream* aOut)
{
  *aOut << aCase.name_;
}

const std::vector<IndexVersion> kVersionOne = { IndexVersion(1) };
const std::vector<IndexVersion> kVersionTwo = { IndexVersion(2) };

class TargetStatesSources : public testing::TestWithParam<TargetStatesCase>
{};

// Guards against a Draining state that a lagging source clears, a version that is wrongly ruled out, and full load on a
// target that has just restarted.
TEST_P(TargetStatesSources, AppliesObservationsBySource)
{
  const TargetStatesCase& param = GetParam();
  ManualTimerService timers;
  TargetStates states(timers, [](const wire::Update&) {});
  for (const Observation& observation : param.observations_) {
    TargetReply reply;
    reply.verdict_ = Verdict::Ran;
    reply.boot_ = BootId(observation.boot_);
    reply.state_ = observation.state_;
    reply.held_ = observation.held_;
    if (observation.source_ == Source::Reply) {
      states.OnReply(kTarget, reply);
    } else if (observation.source_ == Source::Health) {
      states.OnHealth(kTarget, reply);
    } else {
      states.OnUpdate({ kTarget, reply.boot_, reply.state_, reply.held_ });
    }
  }
  EXPECT_EQ(states.IsDraining(kTarget), param.draining_);
  EXPECT_EQ(states.MayHaveVersion(kTarget, IndexVersion(1)), param.mayHaveVersionOne_);
  timers.Advance(Seconds(5));
  EXPECT_DOUBLE_EQ(states.SlowStartWeight(kTarget), param.weight_);
}

constexpr TargetState kReady = TargetState::Ready;
constexpr TargetState kDraining = TargetState::Draining;

INSTANTIATE_TEST_SUITE_P(
  Sources,
  TargetStatesSources,
  testing::Values(
    TargetStatesCase{ "Nothing", {}, false, true, 1 },
    TargetStatesCase{ "Ready", { { Source::Reply, "a", kReady, kVersionOne } }, false, true, 1 },
    TargetStatesCase{ "Warming", { { Source::Reply, "a", TargetState::Warming, {} } }, false, true, 0.5 },
    TargetStatesCase{ "DrainingInReply", { { Source::Reply, "a", kDraining, kVersionOne } }, true, true, 1 },
    TargetStatesCase{ "DrainingInHealth", { { Source::Health, "a", kDraining, {} } }, true, true, 1 },
    TargetStatesCase{ "DrainingByGossip", { { Source::Gossip, "a", kDraining, {} } }, true, true, 1 },
    TargetStatesCase{ "ReadyHealthDoesNotOverride",
                      { { Source::Reply, "a", kDraining, {} }, { Source::Health, "a", kReady, {} } },
                      true,
                      true,
                      1 },
    TargetStatesCase{ "LateReplyDoesNotOverride",
                      { { Source::Reply, "a", kDraining, {} }, { Source::Reply, "a", kReady, {} } },
                      true,
                      true,
                      1 },
    TargetStatesCase{ "NewBootEndsDraining",
                      { { Source::Reply, "a", kDraining, {} }, { Source::Health, "b", kReady, {} } },
                      false,
                      true,
                      0.5 },
    TargetStatesCase{ "OldBootInHealth",
                      { { Source::Reply, "a", kReady, {} },
                        { Source::Reply, "b", kDraining, {} },
                        { Source::Health, "a", kReady, {} } },
                      true,
                      true,
                      0.5 },
    TargetStatesCase{ "LateGossipOfOldBoot",
                      { { Source::Reply, "a", kReady, {} },
                        { Source::Reply, "b", kReady, kVersionOne },
                        { Source::Gossip, "a", kDraining, kVersionTwo } },
                      false,
                      true,
                      0.5 },
    TargetStatesCase{ "LacksVersion", { { Source::Reply, "a", kReady, kVersionTwo } }, false, false, 1 },
    TargetStatesCase{ "GossipAddsVersions",
                      { { Source::Gossip, "a", kReady, kVersionTwo }, { Source::Gossip, "a", kReady, kVersionOne } },
                      false,
                      true,
                      1 },
    TargetStatesCase{ "RestartClearsVersions",
                      { { Source::Reply, "a", kReady, kVersionTwo }, { Source::Reply, "b", kReady, {} } },
                      false,
                      true,
                      0.5 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against updates that circulate forever and against observations that are not published.
TEST(TargetStatesGossip, PublishesOnlyChanges)
{
  ManualTimerService timers;
  std::vector<wire::Update> published;
  TargetStates states(timers, [&published](const wire::Update& aUpdate) { published.push_back(aUpdate); });
  TargetReply reply;
  reply.boot_ = BootId("a");
  reply.state_ = kDraining;
  reply.held_ = kVersionOne;
  states.OnReply(kTarget, reply);
  states.OnReply(kTarget, reply);
  ASSERT_EQ(published.size(), 1U);
  TargetStates other(timers, [](const wire::Update&) {});
  const auto& update = std::get<wire::TargetUpdate>(published.front());
  EXPECT_TRUE(other.OnUpdate(update));
  EXPECT_FALSE(other.OnUpdate(update));
  EXPECT_FALSE(other.OnUpdate({ kTarget, BootId("a"), kReady, kVersionOne }));
  EXPECT_TRUE(other.IsDraining(kTarget));
}

} // namespace
} // namespace ibisrock
