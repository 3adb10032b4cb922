#ifndef IBISROCK_DAEMON_SETTINGS_H
#define IBISROCK_DAEMON_SETTINGS_H

#include "base/last_reason.h"
#include "base/units.h"

#include <optional>
#include <string>
#include <vector>

namespace ibisrock::daemon {

/// Settings of ibisrockd. Each is a flag and an environment variable; the flag goes first.
struct Settings
{
  std::string instance_;
  std::string dataCentre_;
  std::string callerAddress_;
  std::string peerAddress_;
  std::string platformAddress_;
  unsigned maxCallers_ = 0;
  unsigned targetThreads_ = 0;
  Micros drainTime_{};
};

/// Reads the settings. Returns no value and names the setting when one is unknown, missing or invalid.
std::optional<Settings>
ReadSettings(const std::vector<std::string>& aArguments, LastReason& aReason);

} // namespace ibisrock::daemon

#endif
