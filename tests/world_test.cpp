#include "platform/emulator/world.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

constexpr const char* kFirstTarget = "shard-0/0";
constexpr const char* kSecondTarget = "shard-0/1";

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

/// Guards against a store that never comes back from a copy, or from one that is not some seconds old.
TEST(World, KeepsCopiesOfTheStoreOfTheLastSeconds)
{
  WorldFixture fixture;
  ASSERT_TRUE(fixture.world_);
  EXPECT_EQ(fixture.world_->AnyCopyOfStore(), nullptr);
  fixture.timers_.Advance(Millis(20'500));
  uint64_t least = UINT64_MAX;
  uint64_t most = 0;
  for (int i = 0; i < 100; i++) {
    const uint64_t lost = fixture.world_->Store().Revision() - fixture.world_->AnyCopyOfStore()->revision_;
    least = std::min(least, lost);
    most = std::max(most, lost);
  }
  EXPECT_GE(least, 30U);
  EXPECT_LE(most, 230U);
  EXPECT_GE(most, 150U);
}

/// A world in which, after a copy of the store, a version was published, the first target has begun to drain and the
/// second is gone.
class ReturnedWorld : public WorldFixture
{
public:
  ReturnedWorld()
  {
    timers_.Advance(Seconds(10));
    const StoreEmulator::Copy copy = world_->Store().TakeCopy();
    world_->PublishConfiguration();
    publishedAt_ = world_->PublishedAt();
    world_->SetState(0, "draining");
    checkIns_ = SpecOf(kFirstTarget)["seqNo"].get<uint64_t>();
    world_->Unregister(1);
    timers_.Advance(Seconds(1));
    world_->ReturnStore(copy);
  }

  nlohmann::json Version() { return world_->Store().TakeCopy().objects_.at("config").at("main")["spec"]["version"]; }

  TimePoint publishedAt_{};
  uint64_t checkIns_ = 0;
};

/// Guards against an emulated operator that leaves an older configuration in the store, and against a confirmation that
/// counts anew from the store's return.
TEST(World, ConfigurationIsWrittenAgainAfterTheStoresReturn)
{
  ReturnedWorld world;
  EXPECT_EQ(world.Version(), 1);
  world.timers_.Advance(Millis(500));
  EXPECT_EQ(world.Version(), 2);
  EXPECT_EQ(world.world_->PublishedAt(), world.publishedAt_);
}

/// Guards against emulated targets that come back as the copy has them and not as they are.
TEST(World, TargetsWriteTheirPresentStateAfterTheStoresReturn)
{
  ReturnedWorld world;
  EXPECT_EQ(world.SpecOf(kFirstTarget)["state"], "ready");
  world.timers_.Advance(Seconds(2));
  EXPECT_EQ(world.SpecOf(kFirstTarget)["state"], "draining");
  EXPECT_GT(world.SpecOf(kFirstTarget)["seqNo"], world.checkIns_);
}

/// Guards against targets that are gone and stay in the store for good after its return.
TEST(World, EntryOfTargetThatIsGoneLapsesAfterTheStoresReturn)
{
  ReturnedWorld world;
  world.timers_.Advance(Millis(2900));
  EXPECT_EQ(world.SpecOf(kSecondTarget)["state"], "ready");
  world.timers_.Advance(Millis(200));
  EXPECT_TRUE(world.SpecOf(kSecondTarget).is_null());
  EXPECT_FALSE(world.SpecOf(kFirstTarget).is_null());
}

/// Guards against the removal of a target that has started again since the store's return.
TEST(World, EntryOfTargetThatIsBackDoesNotLapse)
{
  ReturnedWorld world;
  world.timers_.Advance(Seconds(1));
  world.world_->Restart(1);
  world.timers_.Advance(Seconds(5));
  EXPECT_EQ(world.SpecOf(kSecondTarget)["state"], "ready");
}

} // namespace
} // namespace ibisrock::platform
