#include "daemon/setting_table.h"

#include "adapters/socket_address.h"
#include "base/unit_text.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>

namespace ibisrock::daemon {

namespace {

constexpr size_t kLongestName = 64;
/// Each request of a caller and each attempt to a target holds a thread. More than this in one process exceeds the
/// memory of a small instance.
constexpr unsigned kMostThreads = 4096;
constexpr const char* kSameAddress = "peer-listen";
constexpr std::array kLogLevels{ "debug", "info", "warning", "error" };

/// Names appear in logs, metric labels and store keys, so they are limited to characters that need no escape.
bool
ParseName(const SettingSpec& aSpec, const std::string& aText, Settings& aSettings, LastReason& aReason)
{
  const bool valid = std::all_of(aText.begin(), aText.end(), [](unsigned char aLetter) {
    return std::isalnum(aLetter) != 0 || aLetter == '-' || aLetter == '_' || aLetter == '.';
  });
  if (!valid || aText.size() > kLongestName) {
    aReason.Set("is not a name of up to 64 letters, digits, '-', '_' and '.'");
    return false;
  }
  aSettings.*aSpec.text_ = aText;
  return true;
}

bool
ParseAddress(const SettingSpec& aSpec, const std::string& aText, Settings& aSettings, LastReason& aReason)
{
  auto address = adapters::ParseSocketAddress(aText, aReason);
  in_addr parsed{};
  if (!address || inet_pton(AF_INET, address->ip_.c_str(), &parsed) != 1) {
    aReason.Set("is not an IPv4 address with a port from 1 to 65535, such as 127.0.0.1:8080");
    return false;
  }
  aSettings.*aSpec.text_ = aText;
  return true;
}

/// The default stands for the value of --peer-listen, which comes before it in the table.
bool
ParseAdvertised(const SettingSpec& aSpec, const std::string& aText, Settings& aSettings, LastReason& aReason)
{
  if (aText == kSameAddress) {
    aSettings.*aSpec.text_ = aSettings.peerAddress_;
    return true;
  }
  return ParseAddress(aSpec, aText, aSettings, aReason);
}

bool
ParseLogLevel(const SettingSpec& aSpec, const std::string& aText, Settings& aSettings, LastReason& aReason)
{
  if (std::find(kLogLevels.begin(), kLogLevels.end(), aText) == kLogLevels.end()) {
    aReason.Set("is not one of debug, info, warning, error");
    return false;
  }
  aSettings.*aSpec.text_ = aText;
  return true;
}

bool
IsInRange(const SettingSpec& aSpec, uint64_t aValue, const char* aUnit, LastReason& aReason)
{
  if (aValue >= aSpec.minimum_ && aValue <= aSpec.maximum_) {
    return true;
  }
  aReason.Set("is not from " + std::to_string(aSpec.minimum_) + " to " + std::to_string(aSpec.maximum_) + aUnit);
  return false;
}

bool
ParseCountSetting(const SettingSpec& aSpec, const std::string& aText, Settings& aSettings, LastReason& aReason)
{
  auto count = ParseCount(aText, aReason);
  if (!count || !IsInRange(aSpec, *count, "", aReason)) {
    return false;
  }
  aSettings.*aSpec.count_ = static_cast<unsigned>(*count);
  return true;
}

bool
ParseSizeSetting(const SettingSpec& aSpec, const std::string& aText, Settings& aSettings, LastReason& aReason)
{
  auto size = ParseSize(aText, aReason);
  if (!size || !IsInRange(aSpec, *size, " bytes", aReason)) {
    return false;
  }
  aSettings.*aSpec.size_ = *size;
  return true;
}

bool
ParseTimeSetting(const SettingSpec& aSpec, const std::string& aText, Settings& aSettings, LastReason& aReason)
{
  auto time = ParseTime(aText, aReason);
  if (!time || !IsInRange(aSpec, static_cast<uint64_t>(time->count()), " us", aReason)) {
    return false;
  }
  aSettings.*aSpec.time_ = *time;
  return true;
}

constexpr SettingSpec
NameSpec(const char* aFlag, const char* aHelp, std::string Settings::*aMember)
{
  return {
    .flag_ = aFlag, .argument_ = "NAME", .help_ = aHelp, .default_ = "", .parse_ = &ParseName, .text_ = aMember
  };
}

constexpr SettingSpec
AddressSpec(const char* aFlag, const char* aHelp, std::string Settings::*aMember)
{
  return {
    .flag_ = aFlag, .argument_ = "IP:PORT", .help_ = aHelp, .default_ = "", .parse_ = &ParseAddress, .text_ = aMember
  };
}

constexpr SettingSpec
CountSpec(const char* aFlag, const char* aHelp, const char* aDefault, unsigned aMaximum, unsigned Settings::*aMember)
{
  return { .flag_ = aFlag,
           .argument_ = "N",
           .help_ = aHelp,
           .default_ = aDefault,
           .parse_ = &ParseCountSetting,
           .minimum_ = 1,
           .maximum_ = aMaximum,
           .count_ = aMember };
}

constexpr SettingSpec
SizeSpec(const char* aFlag, const char* aHelp, const char* aDefault, size_t aMaximum, size_t Settings::*aMember)
{
  return { .flag_ = aFlag,
           .argument_ = "SIZE",
           .help_ = aHelp,
           .default_ = aDefault,
           .parse_ = &ParseSizeSetting,
           .minimum_ = 256,
           .maximum_ = aMaximum,
           .size_ = aMember };
}

constexpr SettingSpec
TimeSpec(const char* aFlag, const char* aHelp, const char* aDefault, Micros aMinimum, Micros Settings::*aMember)
{
  return { .flag_ = aFlag,
           .argument_ = "TIME",
           .help_ = aHelp,
           .default_ = aDefault,
           .parse_ = &ParseTimeSetting,
           .minimum_ = static_cast<uint64_t>(aMinimum.count()),
           .maximum_ = static_cast<uint64_t>(Micros(Seconds(600)).count()),
           .time_ = aMember };
}

/// cxxtools keeps the header of a request in a buffer of this size.
constexpr size_t kLargestHeader = 4096;
constexpr size_t kLargestBody = 64UL * 1024 * 1024;

constexpr SettingSpec kTable[] = {
  NameSpec("--instance", "Name of this instance, unique among live instances.", &Settings::instance_),
  NameSpec("--data-centre", "Data centre of this instance.", &Settings::dataCentre_),
  AddressSpec("--listen", "Address for callers and operators (HTTP).", &Settings::callerAddress_),
  AddressSpec("--peer-listen", "Address for other instances (nng).", &Settings::peerAddress_),
  { .flag_ = "--peer-advertise",
    .argument_ = "IP:PORT",
    .help_ = "Address at which other instances reach --peer-listen.",
    .default_ = kSameAddress,
    .parse_ = &ParseAdvertised,
    .text_ = &Settings::peerAdvertised_ },
  AddressSpec("--platform", "Address of the platform's object API and instance list.", &Settings::platformAddress_),
  CountSpec("--min-threads",
            "Threads for callers that are kept when idle.",
            "64",
            kMostThreads,
            &Settings::minThreads_),
  CountSpec("--max-callers", "Requests of callers served at once.", "512", kMostThreads, &Settings::maxCallers_),
  CountSpec("--backlog", "Connections of callers that may wait to be accepted.", "1024", 65535, &Settings::backlog_),
  CountSpec("--target-threads", "Attempts to targets at once.", "128", kMostThreads, &Settings::targetThreads_),
  SizeSpec("--max-body", "Largest body of a request.", "1MiB", kLargestBody, &Settings::maxBody_),
  SizeSpec("--max-header", "Largest header of a request.", "3KiB", kLargestHeader, &Settings::maxHeader_),
  TimeSpec("--read-timeout", "Time for a request to arrive.", "5s", Millis(100), &Settings::readTimeout_),
  TimeSpec("--keep-alive", "Time that an idle connection is kept.", "15s", Millis(100), &Settings::keepAlive_),
  TimeSpec("--drain-time", "Time to keep serving after SIGTERM.", "3s", Micros(0), &Settings::drainTime_),
  { .flag_ = "--log-level",
    .argument_ = "LEVEL",
    .help_ = "Least severe log lines to write: debug, info, warning or error.",
    .default_ = "info",
    .parse_ = &ParseLogLevel,
    .text_ = &Settings::logLevel_ },
};

/// Two listeners, or a listener and the platform, cannot share an address. 0.0.0.0 covers every other address.
bool
Overlap(const std::string& aFirst, const std::string& aSecond)
{
  LastReason reason;
  auto first = adapters::ParseSocketAddress(aFirst, reason);
  auto second = adapters::ParseSocketAddress(aSecond, reason);
  if (!first || !second || first->port_ != second->port_) {
    return false;
  }
  return first->ip_ == second->ip_ || first->ip_ == "0.0.0.0" || second->ip_ == "0.0.0.0";
}

} // namespace

std::span<const SettingSpec>
SettingTable()
{
  return kTable;
}

std::string
VariableName(const std::string& aFlag)
{
  std::string name = "IBISROCK_";
  for (const char letter : aFlag.substr(2)) {
    name += letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  return name;
}

std::string
SettingTitle(const std::string& aFlag)
{
  return aFlag + " (" + VariableName(aFlag) + ")";
}

void
CheckCombinations(const Settings& aSettings, std::vector<SettingFault>& aFaults)
{
  if (Overlap(aSettings.callerAddress_, aSettings.peerAddress_)) {
    aFaults.push_back({ SettingTitle("--peer-listen"), "uses the same port as --listen" });
  }
  if (Overlap(aSettings.callerAddress_, aSettings.platformAddress_)) {
    aFaults.push_back({ SettingTitle("--platform"), "is the address of this instance's --listen" });
  }
  if (Overlap(aSettings.peerAddress_, aSettings.platformAddress_)) {
    aFaults.push_back({ SettingTitle("--platform"), "is the address of this instance's --peer-listen" });
  }
  if (aSettings.maxCallers_ != 0 && aSettings.minThreads_ > aSettings.maxCallers_) {
    aFaults.push_back({ SettingTitle("--min-threads"), "is above --max-callers" });
  }
  if (aSettings.maxCallers_ + aSettings.targetThreads_ > kMostThreads) {
    aFaults.push_back({ SettingTitle("--max-callers"),
                        "and --target-threads together are above " + std::to_string(kMostThreads) + " threads" });
  }
}

} // namespace ibisrock::daemon
