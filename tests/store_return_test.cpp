#include "relay_fleet.h"

namespace ibisrock::platform {
namespace {

/// How much of its history the store loses when it returns from an older copy.
struct StoreReturnCase
{
  const char* name_;
  bool isFromCopy_;
  unsigned lostRevisions_;
};

/// Changes an entry that nobody watches, as check-ins raise the store's revision.
void
WriteNote(RelayFleet& aFleet)
{
  aFleet.store_->Put("notes", "n", { { "value", aFleet.store_->Revision() } });
}

/// Advances the clock until aIsDone returns true while the store's revision rises by about 30 a second. Returns false
/// after aLimit.
template<typename Condition>
bool
AdvanceWithWrites(RelayFleet& aFleet, Condition aIsDone, Micros aLimit)
{
  constexpr Micros kWritePeriod = Millis(33);
  TimePoint nextWrite = aFleet.timers_.Now();
  return aFleet.AdvanceUntil(
    [&] {
      if (aFleet.timers_.Now() >= nextWrite) {
        WriteNote(aFleet);
        nextWrite += kWritePeriod;
      }
      return aIsDone();
    },
    aLimit);
}

/// An entry of a target with the count of its check-ins.
json
CheckedIn(uint64_t aSequence, const char* aState)
{
  json spec = TargetSpec();
  spec["seqNo"] = aSequence;
  spec["state"] = aState;
  return spec;
}

/// The store goes away for 1.5 s and returns from aCopy, or as it was. Half a second later the operator and the targets
/// have written their entries again.
void
ReturnStore(RelayFleet& aFleet, const std::optional<StoreEmulator::Copy>& aCopy)
{
  aFleet.store_->SetMode(StoreMode::Unavailable);
  aFleet.Advance(Millis(1500));
  if (aCopy) {
    aFleet.store_->ReturnFrom(*aCopy);
  }
  aFleet.store_->SetMode(StoreMode::Up);
  aFleet.Advance(Millis(500));
  aFleet.store_->Put("config", "main", Configuration(2));
  aFleet.store_->Put("servers", "t1", CheckedIn(20, "ready"));
  aFleet.store_->Put("servers", "t2", CheckedIn(20, "ready"));
}

class StoreReturn : public testing::TestWithParam<StoreReturnCase>
{};

/// Guards against instances that take no change from a store that has returned from an older copy until its revisions
/// have passed those that they know.
TEST_P(StoreReturn, ChangesArriveInTime)
{
  const StoreReturnCase& test = GetParam();
  RelayFleet fleet(8);
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  fleet.Advance(Seconds(5));
  std::optional<StoreEmulator::Copy> copy;
  if (test.isFromCopy_) {
    copy = fleet.store_->TakeCopy();
  }
  fleet.store_->Put("config", "main", Configuration(2));
  for (unsigned i = 0; i < test.lostRevisions_; i++) {
    WriteNote(fleet);
  }
  const auto hasVersion = [&](uint64_t aVersion) {
    return fleet.All([aVersion](auto& aNode) { return RelayFleet::Version(aNode) == aVersion; });
  };
  // The watches that wait meanwhile end, and tell how far the store's revision has risen.
  fleet.Advance(kApplyTime);
  ASSERT_TRUE(hasVersion(2));
  ReturnStore(fleet, copy);
  // After this time without a disturbance the instances count as in touch.
  AdvanceWithWrites(
    fleet, [] { return false; }, Seconds(4));
  EXPECT_TRUE(hasVersion(2));
  fleet.store_->Put("config", "main", Configuration(3));
  fleet.store_->Put("servers", "t1", CheckedIn(30, "draining"));
  fleet.store_->Delete("servers", "t2");
  const TimePoint changed = fleet.timers_.Now();
  const auto isKnown = [&] {
    return hasVersion(3) && fleet.All([](auto& aNode) {
      return aNode.router_->TargetCount() == 1 && !aNode.router_->HasTargets(PoolName("s"));
    });
  };
  EXPECT_TRUE(AdvanceWithWrites(fleet, isKnown, kApplyTime));
  RecordProperty("milliseconds",
                 std::to_string(std::chrono::duration_cast<Millis>(fleet.timers_.Now() - changed).count()));
}

INSTANTIATE_TEST_SUITE_P(Store,
                         StoreReturn,
                         testing::Values(StoreReturnCase{ "AsItWas", false, 400 },
                                         StoreReturnCase{ "FewRevisionsLost", true, 400 },
                                         StoreReturnCase{ "ManyRevisionsLost", true, 3000 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a source that answers with less than is known, and leaves no trace of it: a list that is not taken
/// shows in the log, in a counter and in the age of what is known.
TEST(Discovery, RefusedListsLeaveATrace)
{
  RelayFleet fleet(1);
  RelayFleet::Node& instance = *fleet.nodes_[0];
  fleet.store_->SetEraText("");
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  const StoreEmulator::Copy copy = fleet.store_->TakeCopy();
  fleet.store_->Put("config", "main", Configuration(2));
  fleet.Advance(Seconds(5));
  fleet.store_->ReturnFrom(copy);
  fleet.Advance(Seconds(5));
  EXPECT_GT(fleet.log_.Count("event=list_refused kind=config source=store listed_revision="), 0);
  EXPECT_GT(instance.discovery_->ListsRefused(), 0U);
  EXPECT_GT(instance.discovery_->ConfigurationAge(), Seconds(4));
  EXPECT_GT(instance.discovery_->ConfigurationRevision(), fleet.store_->Revision());
}

} // namespace
} // namespace ibisrock::platform
