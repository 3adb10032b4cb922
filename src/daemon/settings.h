#ifndef IBISROCK_DAEMON_SETTINGS_H
#define IBISROCK_DAEMON_SETTINGS_H

#include "base/units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock::daemon {

/// Settings of ibisrockd. Each is a flag and an environment variable; the flag takes precedence.
struct Settings
{
  std::string instance_;
  std::string dataCentre_;
  std::string callerAddress_;
  std::string peerAddress_;
  /// Address at which other instances reach peerAddress_; the same unless something forwards between them.
  std::string peerAdvertised_;
  std::string platformAddress_;
  unsigned minThreads_ = 0;
  unsigned maxCallers_ = 0;
  unsigned backlog_ = 0;
  unsigned targetThreads_ = 0;
  /// Largest request body in bytes.
  size_t maxBody_ = 0;
  /// Largest sum of header names and values in bytes.
  size_t maxHeader_ = 0;
  Micros readTimeout_{};
  Micros keepAlive_{};
  Micros drainTime_{};
  std::string logLevel_;
};

/// What the command line asks the program to do.
enum class Task
{
  Run,
  Check,
  ShowHelp,
  ShowVersion,
};

struct CommandLine
{
  Task task_ = Task::Run;
  /// Valid for Run and Check.
  Settings settings_;
};

struct SettingFault
{
  /// Flag and variable, for example "--listen (IBISROCK_LISTEN)".
  std::string setting_;
  std::string text_;
};

using Variables = std::map<std::string, std::string>;

/// Reads the command line and the IBISROCK_* variables. Returns no value and every fault when any setting is unknown,
/// missing or invalid, or when settings contradict each other.
std::optional<CommandLine>
ReadCommandLine(const std::vector<std::string>& aArguments,
                const Variables& aVariables,
                std::vector<SettingFault>& aFaults);

/// Variables of this process.
Variables
ProcessVariables();

/// Text for --help.
std::string
UsageText();

} // namespace ibisrock::daemon

#endif
