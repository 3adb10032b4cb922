#ifndef IBISROCK_ENTRY_ENTRY_SETTINGS_H
#define IBISROCK_ENTRY_ENTRY_SETTINGS_H

#include "base/units.h"

#include <optional>
#include <string>
#include <vector>

namespace ibisrock::entry {

/// Settings of an entry instance. They come from a file of lines "name = value".
struct EntrySettings
{
  std::string instance_;
  std::string dataCentre_;
  std::string callerAddress_;
  std::string readyAddress_;
  std::string metricsAddress_;
  std::string storeAddress_;
  /// Time from the request to stop until the process is killed.
  Micros stopTime_{};
  Micros callerDelay_{};
  /// Time in which an accepted configuration must be in force.
  Micros applyTime_{};
  /// Time in which a target that leaves must get no more requests.
  Micros leaveTime_{};
  double extraShare_ = 0;
  double extraSlack_ = 0;
};

/// One thing that is wrong with a settings file.
struct SettingError
{
  /// Line in the file; 0 when a setting is missing.
  size_t line_ = 0;
  std::string setting_;
  std::string text_;
};

/// Reads settings. Returns no value and every fault when a known setting is missing or its value is refused. Lines with
/// unknown names are added to aUnknown and otherwise passed over.
std::optional<EntrySettings>
ParseEntrySettings(const std::string& aText, std::vector<SettingError>& aFaults, std::vector<std::string>& aUnknown);

/// A line of text that tells a fault, with the place in aFile.
std::string
FormatSettingError(const std::string& aFile, const SettingError& aFault);

/// Name, default and meaning of every setting.
std::string
EntrySettingsHelp();

} // namespace ibisrock::entry

#endif
