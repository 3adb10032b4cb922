#ifndef IBISROCK_ENTRY_ENTRY_SETTINGS_H
#define IBISROCK_ENTRY_ENTRY_SETTINGS_H

#include "base/units.h"

#include <optional>
#include <string>
#include <vector>

namespace ibisrock::entry {

/// Settings of an entry instance, read from a file of "name = value" lines.
struct EntrySettings
{
  std::string instance_;
  std::string dataCentre_;
  std::string callerAddress_;
  std::string readyAddress_;
  std::string metricsAddress_;
  /// Address at which other instances reach this one; empty for any free port at the IP of callerAddress_.
  std::string peerAddress_;
  std::string storeAddress_;
  /// Time from the stop signal until the process is killed.
  Micros stopTime_{};
  Micros callerDelay_{};
  /// Time within which an accepted configuration must be active.
  Micros applyTime_{};
  /// Time within which a leaving target must stop receiving requests.
  Micros leaveTime_{};
  /// Time between two check-ins of a target in the store.
  Micros checkInTime_{};
  double extraShare_ = 0;
  double extraSlack_ = 0;
};

/// An error in a settings file.
struct SettingError
{
  /// Line number in the file; 0 if the setting is missing.
  size_t line_ = 0;
  std::string setting_;
  std::string text_;
};

/// Parses the settings. A setting that is missing or empty has its default. Returns no value and reports all errors if
/// a required setting is missing or a value is invalid. Unknown names are added to aUnknown and otherwise ignored.
std::optional<EntrySettings>
ParseEntrySettings(const std::string& aText, std::vector<SettingError>& aErrors, std::vector<std::string>& aUnknown);

/// Formats an error as one line that begins with its location in aFile.
std::string
FormatSettingError(const std::string& aFile, const SettingError& aError);

/// Returns the name, description and default of every setting.
std::string
EntrySettingsHelp();

} // namespace ibisrock::entry

#endif
