#include "relay_fleet.h"

namespace ibisrock::platform {
namespace {

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
