#include "daemon/settings.h"

#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <map>

namespace ibisrock::daemon {

namespace {

constexpr const char* kUsage = R"(ibisrockd: one instance of the query tier.

Usage:
  ibisrockd [options]
  ibisrockd --help
  ibisrockd --version

Each option is also an environment variable, for example IBISROCK_INSTANCE.

Options:
  --instance ID            Name of this instance, unique among live instances.
  --data-centre NAME       Data centre of this instance.
  --listen IP:PORT         Address for callers and operators (HTTP).
  --peer-listen IP:PORT    Address for other instances (nng).
  --platform IP:PORT       Address of the platform's object API and instance list.
  --max-callers N          Requests of callers served at the same time [default: 512].
  --target-threads N       Attempts to targets in flight at the same time [default: 128].
  --drain-ms N             Time in ms to keep serving after SIGTERM, for balancers that lag [default: 3000].
)";

/// Name of the environment variable of a flag: --peer-listen becomes IBISROCK_PEER_LISTEN.
std::string
EnvironmentName(const std::string& aFlag)
{
  std::string name = "IBISROCK_";
  for (const char letter : aFlag.substr(2)) {
    name += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
  }
  return name;
}

/// Looks settings up in the parsed flags and the environment, and keeps the first fault.
class SettingsReader
{
public:
  SettingsReader(std::map<std::string, docopt::value> aFlags, const std::vector<std::string>& aArguments)
    : flags_(std::move(aFlags))
    , arguments_(aArguments)
  {
  }

  std::string Text(const std::string& aFlag)
  {
    std::string value = Find(aFlag);
    if (value.empty()) {
      AddFault(aFlag, "is missing");
    }
    return value;
  }

  unsigned Number(const std::string& aFlag, unsigned aMinimum, unsigned aMaximum)
  {
    const std::string text = Find(aFlag);
    unsigned value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < aMinimum || value > aMaximum) {
      AddFault(aFlag,
               "is \"" + text + "\", not a whole number from " + std::to_string(aMinimum) + " to " +
                 std::to_string(aMaximum));
    }
    return value;
  }

  const std::string& Fault() const { return fault_; }

private:
  std::string Find(const std::string& aFlag) const
  {
    const char* variable = std::getenv(EnvironmentName(aFlag).c_str());
    if (variable != nullptr && !IsGiven(aFlag)) {
      return variable;
    }
    const docopt::value& value = flags_.at(aFlag);
    return value ? value.asString() : std::string();
  }

  bool IsGiven(const std::string& aFlag) const
  {
    for (const std::string& argument : arguments_) {
      if (argument == aFlag || argument.starts_with(aFlag + "=")) {
        return true;
      }
    }
    return false;
  }

  void AddFault(const std::string& aFlag, const std::string& aText)
  {
    if (fault_.empty()) {
      fault_ = "setting " + aFlag + " (" + EnvironmentName(aFlag) + ") " + aText;
    }
  }

  std::map<std::string, docopt::value> flags_;
  const std::vector<std::string>& arguments_;
  std::string fault_;
};

} // namespace

std::optional<Settings>
ReadSettings(const std::vector<std::string>& aArguments, LastReason& aReason)
{
  SettingsReader reader(docopt::docopt(kUsage, aArguments, true, "ibisrockd 0.1.0"), aArguments);
  Settings settings;
  settings.instance_ = reader.Text("--instance");
  settings.dataCentre_ = reader.Text("--data-centre");
  settings.callerAddress_ = reader.Text("--listen");
  settings.peerAddress_ = reader.Text("--peer-listen");
  settings.platformAddress_ = reader.Text("--platform");
  settings.maxCallers_ = reader.Number("--max-callers", 1, 10000);
  settings.targetThreads_ = reader.Number("--target-threads", 1, 10000);
  settings.drainTime_ = Millis(reader.Number("--drain-ms", 0, 600000));
  if (!reader.Fault().empty()) {
    aReason.Set(reader.Fault());
    return std::nullopt;
  }
  return settings;
}

} // namespace ibisrock::daemon
