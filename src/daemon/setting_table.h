#ifndef IBISROCK_DAEMON_SETTING_TABLE_H
#define IBISROCK_DAEMON_SETTING_TABLE_H

#include "base/last_reason.h"
#include "daemon/settings.h"

#include <cstdint>
#include <span>
#include <string>

namespace ibisrock::daemon {

struct SettingSpec;

/// Parses a value into its member of Settings. Returns false and the reason when the value is refused.
using SettingParser = bool (*)(const SettingSpec& aSpec, const std::string& aText, Settings& aSettings, LastReason&);

/// One setting. Only the member pointer that its parser uses is set.
struct SettingSpec
{
  const char* flag_;
  const char* argument_;
  const char* help_;
  /// Empty when the setting must be given.
  const char* default_;
  SettingParser parse_;
  /// Limits of counts, of sizes in bytes and of times in microseconds.
  uint64_t minimum_ = 0;
  uint64_t maximum_ = 0;
  std::string Settings::*text_ = nullptr;
  unsigned Settings::*count_ = nullptr;
  size_t Settings::*size_ = nullptr;
  Micros Settings::*time_ = nullptr;
};

/// All settings in the order of the help text.
std::span<const SettingSpec>
SettingTable();

/// Name of the variable of a flag: --peer-listen becomes IBISROCK_PEER_LISTEN.
std::string
VariableName(const std::string& aFlag);

/// Refuses settings that are valid alone but not together.
void
CheckCombinations(const Settings& aSettings, std::vector<SettingFault>& aFaults);

/// Flag and variable as shown in a fault.
std::string
SettingTitle(const std::string& aFlag);

} // namespace ibisrock::daemon

#endif
