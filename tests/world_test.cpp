#include "platform/emulator/world.h"

#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

constexpr const char* kFirstTarget = "shard-0/0";

/// A small emulated platform on a manual clock.
class WorldFixture
{
public:
  WorldFixture()
  {
    LastReason reason;
    world_ = World::Create(loop_, timers_, random_, { .shards_ = 1 }, reason);
  }

  /// What the store holds of a target; null if it holds nothing.
  nlohmann::json SpecOf(const std::string& aTarget)
  {
    const StoreEmulator::Copy copy = world_->Store().TakeCopy();
    const auto& targets = copy.objects_.at("servers");
    const auto found = targets.find(aTarget);
    return found == targets.end() ? nlohmann::json() : found->second["spec"];
  }

  boost::asio::io_context loop_{ 1 };
  ManualTimerService timers_;
  Random random_{ 1 };
  std::unique_ptr<World> world_;
};

/// Guards against emulated entries that cannot be ordered by start and check-ins as those of the platform can.
TEST(World, EntriesCountCheckInsFromTheStartOfTheirTarget)
{
  WorldFixture fixture;
  ASSERT_TRUE(fixture.world_);
  const nlohmann::json first = fixture.SpecOf(kFirstTarget);
  fixture.timers_.Advance(Seconds(10));
  fixture.world_->SetState(0, "draining");
  const nlohmann::json later = fixture.SpecOf(kFirstTarget);
  EXPECT_EQ(later["born"], first["born"]);
  EXPECT_GE(later["seqNo"].get<uint64_t>(), first["seqNo"].get<uint64_t>() + 10);
  fixture.world_->Restart(0);
  EXPECT_GT(fixture.SpecOf(kFirstTarget)["born"], first["born"]);
  EXPECT_EQ(fixture.SpecOf(kFirstTarget)["seqNo"], 1);
}

/// Guards against a store whose revision stands still while nothing changes that the instances watch.
TEST(World, RevisionRisesBetweenChanges)
{
  WorldFixture fixture;
  ASSERT_TRUE(fixture.world_);
  const uint64_t before = fixture.world_->Store().Revision();
  fixture.timers_.Advance(Seconds(10));
  EXPECT_GE(fixture.world_->Store().Revision(), before + 250);
}

} // namespace
} // namespace ibisrock::platform
