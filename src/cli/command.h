#ifndef IBISROCK_CLI_COMMAND_H
#define IBISROCK_CLI_COMMAND_H

#include <docopt/docopt_value.h>
#include <map>
#include <ostream>
#include <string>

namespace ibisrock::cli {

/// Exit codes of the tool, documented in its help text.
enum class ExitCode : uint8_t
{
  Done = 0,
  /// Refused or failed; nothing was changed and nothing was run.
  Failed = 1,
  /// Wrong usage, an unreadable file or an invalid sheet.
  BadInput = 2,
  /// Another sheet was accepted since the base version.
  Conflict = 3,
  /// The sheet may have been accepted, or the query may have run.
  Unknown = 4,
};

using Arguments = std::map<std::string, docopt::value>;

/// What one call of a command works on.
struct CommandCall
{
  const Arguments& arguments_;
  std::ostream& out_;
  std::ostream& err_;
};

ExitCode
RunCheck(const CommandCall& aCall);
ExitCode
RunExplain(const CommandCall& aCall);
ExitCode
RunApply(const CommandCall& aCall);
ExitCode
RunStatus(const CommandCall& aCall);
ExitCode
RunDump(const CommandCall& aCall);
ExitCode
RunQuery(const CommandCall& aCall);

} // namespace ibisrock::cli

#endif
