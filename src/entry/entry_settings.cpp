#include "entry/entry_settings.h"

#include "adapters/socket_address.h"
#include "base/unit_text.h"

#include <array>
#include <charconv>
#include <map>
#include <sstream>

namespace ibisrock::entry {

namespace {

constexpr const char* kAnyPort = "any-port";

struct SettingSpec;

/// Parses a value into its member of aSettings. Returns false and sets aReason if the value is invalid.
using ParseFunction = bool (*)(const SettingSpec&,
                               const std::string& aText,
                               EntrySettings& aSettings,
                               LastReason& aReason);

/// Definition of a setting. Only the member pointer used by its parser is set.
struct SettingSpec
{
  const char* name_;
  /// Empty if the setting is required.
  const char* default_;
  const char* help_;
  ParseFunction parse_;
  std::string EntrySettings::*text_ = nullptr;
  Micros EntrySettings::*time_ = nullptr;
  double EntrySettings::*number_ = nullptr;
  double minimum_ = 0;
  double maximum_ = 0;
};

bool
ParseText(const SettingSpec& aSpec, const std::string& aText, EntrySettings& aSettings, LastReason& aReason)
{
  constexpr size_t kMaxNameLength = 128;
  if (aText.size() > kMaxNameLength || aText.find_first_of(" \t\"/?#%") != std::string::npos) {
    aReason.Set("must be at most 128 characters long and contain no spaces, quotes or any of / ? # %");
    return false;
  }
  aSettings.*aSpec.text_ = aText;
  return true;
}

bool
ParseAddress(const SettingSpec& aSpec, const std::string& aText, EntrySettings& aSettings, LastReason& aReason)
{
  if (!adapters::ParseSocketAddress(aText, aReason)) {
    aReason.Set("is not an address with a port from 1 to 65535, such as 127.0.0.1:8080");
    return false;
  }
  aSettings.*aSpec.text_ = aText;
  return true;
}

/// The default leaves the address empty.
bool
ParsePeerAddress(const SettingSpec& aSpec, const std::string& aText, EntrySettings& aSettings, LastReason& aReason)
{
  return aText == kAnyPort || ParseAddress(aSpec, aText, aSettings, aReason);
}

bool
ParseDuration(const SettingSpec& aSpec, const std::string& aText, EntrySettings& aSettings, LastReason& aReason)
{
  auto time = ParseTime(aText, aReason);
  if (!time) {
    return false;
  }
  const double seconds = std::chrono::duration<double>(*time).count();
  if (seconds < aSpec.minimum_ || seconds > aSpec.maximum_) {
    std::ostringstream text;
    text << "is not in the range from " << aSpec.minimum_ << " s to " << aSpec.maximum_ << " s";
    aReason.Set(text.str());
    return false;
  }
  aSettings.*aSpec.time_ = *time;
  return true;
}

bool
ParseNumber(const SettingSpec& aSpec, const std::string& aText, EntrySettings& aSettings, LastReason& aReason)
{
  double number = 0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc() || end != aText.data() + aText.size() || !(number >= aSpec.minimum_) ||
      number > aSpec.maximum_) {
    std::ostringstream text;
    text << "is not a number from " << aSpec.minimum_ << " to " << aSpec.maximum_;
    aReason.Set(text.str());
    return false;
  }
  aSettings.*aSpec.number_ = number;
  return true;
}

constexpr std::array<SettingSpec, 14> kSettingSpecs{ {
  { "instance",
    "",
    "name of this instance; must be unique among live instances",
    ParseText,
    &EntrySettings::instance_ },
  { "data-centre", "", "data centre of this instance", ParseText, &EntrySettings::dataCentre_ },
  { "listen", "", "address for callers", ParseAddress, &EntrySettings::callerAddress_ },
  { "ready-listen", "", "address for readiness checks", ParseAddress, &EntrySettings::readyAddress_ },
  { "metrics-listen", "", "address for metrics", ParseAddress, &EntrySettings::metricsAddress_ },
  { "peer-listen",
    kAnyPort,
    "address for other instances; any-port: a free port at the IP of listen",
    ParsePeerAddress,
    &EntrySettings::peerAddress_ },
  { "store", "", "address of the platform's store", ParseAddress, &EntrySettings::storeAddress_ },
  { "stop-time",
    "6s",
    "time from SIGTERM until the process is killed",
    ParseDuration,
    nullptr,
    &EntrySettings::stopTime_,
    nullptr,
    1,
    600 },
  { "caller-delay",
    "3ms",
    "one-way delay between callers and this instance",
    ParseDuration,
    nullptr,
    &EntrySettings::callerDelay_,
    nullptr,
    0,
    10 },
  { "apply-time",
    "3s",
    "time within which an accepted configuration must be active",
    ParseDuration,
    nullptr,
    &EntrySettings::applyTime_,
    nullptr,
    0.5,
    600 },
  { "leave-time",
    "3s",
    "time within which a target announced as leaving must stop receiving requests",
    ParseDuration,
    nullptr,
    &EntrySettings::leaveTime_,
    nullptr,
    0.5,
    600 },
  { "check-in-time",
    "1200ms",
    "time between two check-ins of a target in the store",
    ParseDuration,
    nullptr,
    &EntrySettings::checkInTime_,
    nullptr,
    0.1,
    60 },
  { "extra-share",
    "0.2",
    "maximum share of the requests to a pool that may be sent again, across all instances",
    ParseNumber,
    nullptr,
    nullptr,
    &EntrySettings::extraShare_,
    0,
    1 },
  { "extra-slack",
    "0",
    "number of requests that may be sent again in 10 s beyond that share, across all instances",
    ParseNumber,
    nullptr,
    nullptr,
    &EntrySettings::extraSlack_,
    0,
    1e6 },
} };

std::string
Trim(const std::string& aText)
{
  constexpr const char* kWhitespace = " \t\r";
  const size_t first = aText.find_first_not_of(kWhitespace);
  return first == std::string::npos ? "" : aText.substr(first, aText.find_last_not_of(kWhitespace) - first + 1);
}

struct SettingLine
{
  size_t number_ = 0;
  std::string value_;
};

/// Splits the text into names and values. If a name occurs more than once, the last line wins.
std::map<std::string, SettingLine>
SplitLines(const std::string& aText, std::vector<SettingError>& aErrors)
{
  std::map<std::string, SettingLine> lines;
  std::istringstream stream(aText);
  std::string text;
  for (size_t number = 1; std::getline(stream, text); number++) {
    text = Trim(text);
    if (text.empty() || text.front() == '#') {
      continue;
    }
    const size_t equals = text.find('=');
    if (equals == std::string::npos) {
      aErrors.push_back({ number, text, "is not of the form name = value" });
      continue;
    }
    lines[Trim(text.substr(0, equals))] = { number, Trim(text.substr(equals + 1)) };
  }
  return lines;
}

/// A platform that knows no value for a setting leaves it empty, or leaves only the unit that stands in the template.
bool
IsWithoutValue(const SettingSpec& aSpec, const std::string& aText)
{
  return aText.empty() || (aSpec.time_ != nullptr && (aText == "s" || aText == "ms"));
}

} // namespace

std::optional<EntrySettings>
ParseEntrySettings(const std::string& aText, std::vector<SettingError>& aErrors, std::vector<std::string>& aUnknown)
{
  std::map<std::string, SettingLine> lines = SplitLines(aText, aErrors);
  EntrySettings settings;
  for (const SettingSpec& spec : kSettingSpecs) {
    auto found = lines.find(spec.name_);
    SettingLine line;
    if (found != lines.end()) {
      line = found->second;
      lines.erase(found);
    }
    if (IsWithoutValue(spec, line.value_)) {
      line.value_ = spec.default_;
    }
    LastReason reason;
    if (line.value_.empty()) {
      aErrors.push_back({ line.number_, spec.name_, "must be given" });
    } else if (!spec.parse_(spec, line.value_, settings, reason)) {
      aErrors.push_back({ line.number_, spec.name_, "\"" + line.value_ + "\" " + reason.Text() });
    }
  }
  for (const auto& [name, line] : lines) {
    aUnknown.push_back(name);
  }
  if (!aErrors.empty()) {
    return std::nullopt;
  }
  return settings;
}

std::string
FormatSettingError(const std::string& aFile, const SettingError& aError)
{
  const std::string location = aError.line_ > 0 ? aFile + ":" + std::to_string(aError.line_) : aFile;
  return location + ": " + aError.setting_ + ": " + aError.text_;
}

std::string
EntrySettingsHelp()
{
  std::string text;
  for (const SettingSpec& spec : kSettingSpecs) {
    text += std::string("  ") + spec.name_ + "\n      " + spec.help_;
    text += spec.default_[0] == '\0' ? " (must be given)\n" : std::string(" (default ") + spec.default_ + ")\n";
  }
  return text;
}

} // namespace ibisrock::entry
