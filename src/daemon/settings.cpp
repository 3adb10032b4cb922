#include "daemon/settings.h"

#include "daemon/setting_table.h"

#include <docopt/docopt.h>
#include <set>
#include <unistd.h>

namespace ibisrock::daemon {

namespace {

constexpr const char* kUsageHead = R"(ibisrockd: one instance of the query tier.

Usage:
  ibisrockd [options]

Each option with a value is also an environment variable, for example IBISROCK_PEER_LISTEN; the option takes precedence.

Options:
  --help                  Show this text.
  --version               Show the version.
  --check                 Check the settings and exit.
)";

constexpr size_t kOptionWidth = 24;
constexpr const char* kPrefix = "IBISROCK_";

using Flags = std::map<std::string, docopt::value>;

/// Value of a setting: the flag, else the variable, else the default.
std::optional<std::string>
FindValue(const SettingSpec& aSpec, const Flags& aFlags, const Variables& aVariables)
{
  auto flag = aFlags.find(aSpec.flag_);
  if (flag != aFlags.end() && flag->second) {
    return flag->second.asString();
  }
  auto variable = aVariables.find(VariableName(aSpec.flag_));
  if (variable != aVariables.end()) {
    return variable->second;
  }
  return *aSpec.default_ == '\0' ? std::nullopt : std::optional<std::string>(aSpec.default_);
}

void
ReadSetting(const SettingSpec& aSpec,
            const std::optional<std::string>& aValue,
            Settings& aSettings,
            std::vector<SettingFault>& aFaults)
{
  if (!aValue) {
    aFaults.push_back({ SettingTitle(aSpec.flag_), "is missing" });
    return;
  }
  if (aValue->empty()) {
    aFaults.push_back({ SettingTitle(aSpec.flag_), "is empty" });
    return;
  }
  LastReason reason;
  if (!aSpec.parse_(aSpec, *aValue, aSettings, reason)) {
    aFaults.push_back({ SettingTitle(aSpec.flag_), "is \"" + *aValue + "\", which " + reason.Text() });
  }
}

/// A misspelt variable would otherwise leave its setting at the default without notice.
void
CheckVariableNames(const Variables& aVariables, std::vector<SettingFault>& aFaults)
{
  std::set<std::string> known;
  for (const SettingSpec& spec : SettingTable()) {
    known.insert(VariableName(spec.flag_));
  }
  for (const auto& [name, value] : aVariables) {
    if (name.starts_with(kPrefix) && !known.contains(name)) {
      aFaults.push_back({ name, "is not the variable of any setting" });
    }
  }
}

Settings
ReadSettings(const Flags& aFlags, const Variables& aVariables, std::vector<SettingFault>& aFaults)
{
  Settings settings;
  for (const SettingSpec& spec : SettingTable()) {
    ReadSetting(spec, FindValue(spec, aFlags, aVariables), settings, aFaults);
  }
  CheckCombinations(settings, aFaults);
  return settings;
}

} // namespace

std::string
UsageText()
{
  std::string text = kUsageHead;
  for (const SettingSpec& spec : SettingTable()) {
    std::string option = std::string("  ") + spec.flag_ + " " + spec.argument_;
    // docopt needs two spaces between an option and its description.
    option.resize(std::max(option.size() + 2, kOptionWidth + 2), ' ');
    text += option + spec.help_;
    text += *spec.default_ == '\0' ? "\n" : std::string(" Default: ") + spec.default_ + ".\n";
  }
  return text;
}

Variables
ProcessVariables()
{
  Variables variables;
  for (char** entry = environ; entry != nullptr && *entry != nullptr; entry++) {
    const std::string text = *entry;
    const size_t equals = text.find('=');
    if (equals != std::string::npos) {
      variables[text.substr(0, equals)] = text.substr(equals + 1);
    }
  }
  return variables;
}

std::optional<CommandLine>
ReadCommandLine(const std::vector<std::string>& aArguments,
                const Variables& aVariables,
                std::vector<SettingFault>& aFaults)
{
  Flags flags;
  try {
    flags = docopt::docopt_parse(UsageText(), aArguments, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    return CommandLine{ Task::ShowHelp, {} };
  } catch (const docopt::DocoptExitVersion&) {
    return CommandLine{ Task::ShowVersion, {} };
  } catch (const docopt::DocoptArgumentError& error) {
    // Without the flags, the other settings cannot be judged; the names of the variables can.
    aFaults.push_back({ "command line", error.what() });
    CheckVariableNames(aVariables, aFaults);
    return std::nullopt;
  }
  CheckVariableNames(aVariables, aFaults);
  CommandLine line;
  line.task_ = flags.at("--check").asBool() ? Task::Check : Task::Run;
  line.settings_ = ReadSettings(flags, aVariables, aFaults);
  return aFaults.empty() ? std::optional(line) : std::nullopt;
}

} // namespace ibisrock::daemon
