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

struct Seen
{
  Source source_;
  const char* boot_;
  TargetState state_;
  std::vector<IndexVersion> held_;
};

struct StatesCase
{
  const char* name_;
  std::vector<Seen> seen_;
  bool leaving_;
  bool mayHoldOne_;
  double share_;
};

void
PrintTo(const StatesCase& aCase, std::ostream* aOut)
{
  *aOut << aCase.name_;
}

const std::vector<IndexVersion> kOne = { IndexVersion(1) };
const std::vector<IndexVersion> kTwo = { IndexVersion(2) };

class TargetStatesOf : public testing::TestWithParam<StatesCase>
{};

// Guards against a leaving mark that is lifted by a source that lags, against a version ruled out by mistake, and
// against full load on a restarted target.
TEST_P(TargetStatesOf, FollowsWhatWasSeen)
{
  const StatesCase& param = GetParam();
  ManualTimerService timers;
  TargetStates states(timers, [](const wire::Update&) {});
  for (const Seen& seen : param.seen_) {
    TargetReply reply;
    reply.verdict_ = Verdict::Ran;
    reply.boot_ = BootId(seen.boot_);
    reply.state_ = seen.state_;
    reply.held_ = seen.held_;
    if (seen.source_ == Source::Reply) {
      states.OnReply(kTarget, reply);
    } else if (seen.source_ == Source::Health) {
      states.OnHealth(kTarget, reply);
    } else {
      states.OnUpdate({ kTarget, reply.boot_, reply.state_, reply.held_ });
    }
  }
  EXPECT_EQ(states.IsLeaving(kTarget), param.leaving_);
  EXPECT_EQ(states.MayHold(kTarget, IndexVersion(1)), param.mayHoldOne_);
  timers.Advance(Seconds(5));
  EXPECT_DOUBLE_EQ(states.RampShare(kTarget), param.share_);
}

constexpr TargetState kReady = TargetState::Ready;
constexpr TargetState kDraining = TargetState::Draining;

INSTANTIATE_TEST_SUITE_P(
  Sources,
  TargetStatesOf,
  testing::Values(StatesCase{ "Nothing", {}, false, true, 1 },
                  StatesCase{ "Ready", { { Source::Reply, "a", kReady, kOne } }, false, true, 1 },
                  StatesCase{ "Warming", { { Source::Reply, "a", TargetState::Warming, {} } }, false, true, 0.5 },
                  StatesCase{ "DrainingInReply", { { Source::Reply, "a", kDraining, kOne } }, true, true, 1 },
                  StatesCase{ "DrainingInHealth", { { Source::Health, "a", kDraining, {} } }, true, true, 1 },
                  StatesCase{ "DrainingByGossip", { { Source::Gossip, "a", kDraining, {} } }, true, true, 1 },
                  StatesCase{ "ReadyHealthDoesNotOverride",
                              { { Source::Reply, "a", kDraining, {} }, { Source::Health, "a", kReady, {} } },
                              true,
                              true,
                              1 },
                  StatesCase{ "LateReplyDoesNotOverride",
                              { { Source::Reply, "a", kDraining, {} }, { Source::Reply, "a", kReady, {} } },
                              true,
                              true,
                              1 },
                  StatesCase{ "NewBootEndsLeaving",
                              { { Source::Reply, "a", kDraining, {} }, { Source::Health, "b", kReady, {} } },
                              false,
                              true,
                              0.5 },
                  StatesCase{ "OldBootInHealth",
                              { { Source::Reply, "a", kReady, {} },
                                { Source::Reply, "b", kDraining, {} },
                                { Source::Health, "a", kReady, {} } },
                              true,
                              true,
                              0.5 },
                  StatesCase{ "LateGossipOfOldBoot",
                              { { Source::Reply, "a", kReady, {} },
                                { Source::Reply, "b", kReady, kOne },
                                { Source::Gossip, "a", kDraining, kTwo } },
                              false,
                              true,
                              0.5 },
                  StatesCase{ "LacksVersion", { { Source::Reply, "a", kReady, kTwo } }, false, false, 1 },
                  StatesCase{ "GossipAddsVersions",
                              { { Source::Gossip, "a", kReady, kTwo }, { Source::Gossip, "a", kReady, kOne } },
                              false,
                              true,
                              1 },
                  StatesCase{ "RestartForgetsVersions",
                              { { Source::Reply, "a", kReady, kTwo }, { Source::Reply, "b", kReady, {} } },
                              false,
                              true,
                              0.5 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against gossip that never ends and against observations that are not spread.
TEST(TargetStatesGossip, SpreadsOnlyNews)
{
  ManualTimerService timers;
  std::vector<wire::Update> spread;
  TargetStates states(timers, [&spread](const wire::Update& aUpdate) { spread.push_back(aUpdate); });
  TargetReply reply;
  reply.boot_ = BootId("a");
  reply.state_ = kDraining;
  reply.held_ = kOne;
  states.OnReply(kTarget, reply);
  states.OnReply(kTarget, reply);
  ASSERT_EQ(spread.size(), 1U);
  TargetStates other(timers, [](const wire::Update&) {});
  const auto& update = std::get<wire::TargetUpdate>(spread.front());
  EXPECT_TRUE(other.OnUpdate(update));
  EXPECT_FALSE(other.OnUpdate(update));
  EXPECT_FALSE(other.OnUpdate({ kTarget, BootId("a"), kReady, kOne }));
  EXPECT_TRUE(other.IsLeaving(kTarget));
}

} // namespace
} // namespace ibisrock
