#include "entry/entry_settings.h"

#include "adapters/socket_address.h"
#include "base/unit_text.h"

#include <array>
#include <charconv>
#include <map>
#include <sstream>

namespace ibisrock::entry {

namespace {

struct Spec;

/// Reads a value into its member. Returns false and the reason when the value is refused.
using Parse = bool (*)(const Spec&, const std::string& aText, EntrySettings& aSettings, LastReason& aReason);

/// One setting. Only the member pointer that its parser uses is set.
struct Spec
{
  const char* name_;
  /// Empty when the setting must be given.
  const char* default_;
  const char* help_;
  Parse parse_;
  std::string EntrySettings::*text_ = nullptr;
  Micros EntrySettings::*time_ = nullptr;
  double EntrySettings::*number_ = nullptr;
  double minimum_ = 0;
  double maximum_ = 0;
};

bool
ParseText(const Spec& aSpec, const std::string& aText, EntrySettings& aSettings, LastReason& aReason)
{
  constexpr size_t kLongestName = 128;
  if (aText.size() > kLongestName || aText.find_first_of(" \t\"/?#%") != std::string::npos) {
    aReason.Set("is not a name of up to 128 characters without spaces, quotes and any of / ? # %");
    return false;
  }
  aSettings.*aSpec.text_ = aText;
  return true;
}

bool
ParseAddress(const Spec& aSpec, const std::string& aText, EntrySettings& aSettings, LastReason& aReason)
{
  if (!adapters::ParseSocketAddress(aText, aReason)) {
    aReason.Set("is not an address with a port from 1 to 65535, such as 127.0.0.1:8080");
    return false;
  }
  aSettings.*aSpec.text_ = aText;
  return true;
}

bool
ParseDuration(const Spec& aSpec, const std::string& aText, EntrySettings& aSettings, LastReason& aReason)
{
  auto time = ParseTime(aText, aReason);
  if (!time) {
    return false;
  }
  const double seconds = std::chrono::duration<double>(*time).count();
  if (seconds < aSpec.minimum_ || seconds > aSpec.maximum_) {
    std::ostringstream text;
    text << "is not from " << aSpec.minimum_ << " s to " << aSpec.maximum_ << " s";
    aReason.Set(text.str());
    return false;
  }
  aSettings.*aSpec.time_ = *time;
  return true;
}

bool
ParseNumber(const Spec& aSpec, const std::string& aText, EntrySettings& aSettings, LastReason& aReason)
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

constexpr std::array<Spec, 12> kSpecs{ {
  { "instance", "", "name of this instance, unique among the live ones", ParseText, &EntrySettings::instance_ },
  { "data-centre", "", "data centre of this instance", ParseText, &EntrySettings::dataCentre_ },
  { "listen", "", "address for callers", ParseAddress, &EntrySettings::callerAddress_ },
  { "ready-listen", "", "address for readiness checks", ParseAddress, &EntrySettings::readyAddress_ },
  { "metrics-listen", "", "address for metrics", ParseAddress, &EntrySettings::metricsAddress_ },
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
    "time after which an accepted configuration must be in force",
    ParseDuration,
    nullptr,
    &EntrySettings::applyTime_,
    nullptr,
    0.5,
    600 },
  { "leave-time",
    "3s",
    "time after which a target that was announced to leave must get no more requests",
    ParseDuration,
    nullptr,
    &EntrySettings::leaveTime_,
    nullptr,
    0.5,
    600 },
  { "extra-share",
    "0.2",
    "largest share of the requests to a pool that may be sent once more, over all instances",
    ParseNumber,
    nullptr,
    nullptr,
    &EntrySettings::extraShare_,
    0,
    1 },
  { "extra-slack",
    "0",
    "number of requests that may be sent once more beyond that share, over all instances in 10 s",
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
  constexpr const char* kSpace = " \t\r";
  const size_t first = aText.find_first_not_of(kSpace);
  return first == std::string::npos ? "" : aText.substr(first, aText.find_last_not_of(kSpace) - first + 1);
}

struct Line
{
  size_t number_ = 0;
  std::string value_;
};

/// Splits the text into names and values. The last line of a name counts.
std::map<std::string, Line>
ReadLines(const std::string& aText, std::vector<SettingError>& aFaults)
{
  std::map<std::string, Line> lines;
  std::istringstream stream(aText);
  std::string text;
  for (size_t number = 1; std::getline(stream, text); number++) {
    text = Trim(text);
    if (text.empty() || text.front() == '#') {
      continue;
    }
    const size_t equals = text.find('=');
    if (equals == std::string::npos) {
      aFaults.push_back({ number, text, "is not of the form name = value" });
      continue;
    }
    lines[Trim(text.substr(0, equals))] = { number, Trim(text.substr(equals + 1)) };
  }
  return lines;
}

} // namespace

std::optional<EntrySettings>
ParseEntrySettings(const std::string& aText, std::vector<SettingError>& aFaults, std::vector<std::string>& aUnknown)
{
  std::map<std::string, Line> lines = ReadLines(aText, aFaults);
  EntrySettings settings;
  for (const Spec& spec : kSpecs) {
    auto found = lines.find(spec.name_);
    const Line line = found == lines.end() ? Line{ 0, spec.default_ } : found->second;
    if (found != lines.end()) {
      lines.erase(found);
    }
    LastReason reason;
    if (line.value_.empty()) {
      aFaults.push_back({ line.number_, spec.name_, "must be given" });
    } else if (!spec.parse_(spec, line.value_, settings, reason)) {
      aFaults.push_back({ line.number_, spec.name_, "\"" + line.value_ + "\" " + reason.Text() });
    }
  }
  for (const auto& [name, line] : lines) {
    aUnknown.push_back(name);
  }
  if (!aFaults.empty()) {
    return std::nullopt;
  }
  return settings;
}

std::string
FormatSettingError(const std::string& aFile, const SettingError& aFault)
{
  const std::string place = aFault.line_ > 0 ? aFile + ":" + std::to_string(aFault.line_) : aFile;
  return place + ": " + aFault.setting_ + ": " + aFault.text_;
}

std::string
EntrySettingsHelp()
{
  std::string text;
  for (const Spec& spec : kSpecs) {
    text += std::string("  ") + spec.name_ + "\n      " + spec.help_;
    text += spec.default_[0] == '\0' ? " (must be given)\n" : std::string(" (default ") + spec.default_ + ")\n";
  }
  return text;
}

} // namespace ibisrock::entry
