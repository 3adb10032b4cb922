#include "platform/entry_process.h"

#include "free_port.h"

#include <array>
#include <gtest/gtest.h>
#include <optional>
#include <thread>

namespace ibisrock::platform {
namespace {

/// Settings with addresses that are free.
entry::EntrySettings
FreeSettings()
{
  // Reserved together, so that they differ.
  const std::array<ReservedPort, 5> ports;
  entry::EntrySettings settings;
  settings.instance_ = "entry-1";
  settings.dataCentre_ = "z";
  settings.callerAddress_ = ports[0].Address();
  settings.readyAddress_ = ports[1].Address();
  settings.metricsAddress_ = ports[2].Address();
  settings.peerAddress_ = ports[3].Address();
  settings.storeAddress_ = ports[4].Address();
  settings.stopTime_ = Seconds(1);
  settings.applyTime_ = Seconds(3);
  settings.leaveTime_ = Seconds(3);
  return settings;
}

struct AddressCase
{
  const char* name_;
  std::string entry::EntrySettings::*address_;
};

class StartOnAnAddressInUse : public testing::TestWithParam<AddressCase>
{};

/// Guards against a process that ends at its start because the one before it, which is still in its planned stop, or a
/// connection of another process holds one of its addresses for a moment.
TEST_P(StartOnAnAddressInUse, WaitsUntilItIsFree)
{
  entry::EntrySettings settings = FreeSettings();
  std::optional<ReservedPort> taken(std::in_place);
  settings.*GetParam().address_ = taken->Address();
  EntryProcess process(settings, "/nonexistent");
  std::thread other([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    taken.reset();
  });
  LastReason reason;
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_TRUE(process.Start(reason)) << reason.Text();
  EXPECT_GE(std::chrono::steady_clock::now() - begin, std::chrono::milliseconds(300));
  other.join();
}

/// Guards against a start that waits for ever for an address that never becomes free.
TEST_P(StartOnAnAddressInUse, GivesUpInTime)
{
  entry::EntrySettings settings = FreeSettings();
  const ReservedPort taken;
  settings.*GetParam().address_ = taken.Address();
  EntryProcess process(settings, "/nonexistent");
  LastReason reason;
  EXPECT_FALSE(process.Start(reason, Millis(300)));
  EXPECT_NE(reason.Text().find(taken.Address()), std::string::npos) << reason.Text();
}

INSTANTIATE_TEST_SUITE_P(EntryProcess,
                         StartOnAnAddressInUse,
                         testing::Values(AddressCase{ "Callers", &entry::EntrySettings::callerAddress_ },
                                         AddressCase{ "Readiness", &entry::EntrySettings::readyAddress_ },
                                         AddressCase{ "Metrics", &entry::EntrySettings::metricsAddress_ },
                                         AddressCase{ "Peers", &entry::EntrySettings::peerAddress_ }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a new version that does not start on the settings of an older one, which had no address for peers.
TEST(EntryProcess, StartsWithoutAnAddressForPeers)
{
  entry::EntrySettings settings = FreeSettings();
  settings.peerAddress_ = "";
  EntryProcess process(settings, "/nonexistent");
  LastReason reason;
  EXPECT_TRUE(process.Start(reason, Millis(300))) << reason.Text();
}

} // namespace
} // namespace ibisrock::platform
