#include "cli/command_line.h"

#include <docopt/docopt.h>

namespace ibisrock::cli {

namespace {

constexpr const char* kVersion = "ibisrock 0.1.0";

constexpr const char* kUsage = R"(ibisrock: tool for operators of the query tier.

Usage:
  ibisrock check SHEET [--json]
  ibisrock apply SHEET --platform IP:PORT [--base N] [--dry-run] [--json]
  ibisrock status --platform IP:PORT [--instances LIST] [--json]
  ibisrock status --instances LIST [--json]
  ibisrock dump --instance IP:PORT [--json]
  ibisrock query SERVICE BODY --instance IP:PORT [--caller NAME] [--non-idempotent] [--key KEY]
                 [--deadline-ms N] [--coverage WHICH] [--json]
  ibisrock explain REQUEST LOG...
  ibisrock --help
  ibisrock --version

Commands:
  check    Checks a sheet and lists its faults.
  apply    Makes a sheet the next version of the configuration.
  status   Shows the version in force and whether each instance is ready with it.
  dump     Shows the state of one instance.
  query    Sends one query.
  explain  Follows one request, by its id, through the logs of entry instances.

Options:
  --platform IP:PORT   Address of the platform's object API and instance list.
  --instances LIST     Addresses for callers, IP:PORT,IP:PORT,..., instead of those in the platform's instance list.
  --instance IP:PORT   Address for callers of an instance.
  --base N             Version in force that the sheet replaces, instead of the one that the sheet names.
  --dry-run            Shows which services would change and changes nothing.
  --caller NAME        Caller in whose name the query is sent.
  --non-idempotent     The query may run at most once.
  --key KEY            Idempotency key of a non-idempotent query.
  --deadline-ms N      Time for the answer, from 1 to 3600000 ms.
  --coverage WHICH     full or partial, instead of the policy of the service.
  --json               Writes JSON. dump and query always do.
  --help               Shows this text.
  --version            Shows the version.

Exit codes:
  0  Done. For status: every instance is ready with the version in force. For query: an answer, whole or partial.
  1  Refused or failed; nothing was changed or run. For status: not every instance is ready with that version.
  2  Wrong usage, an unreadable file or an invalid sheet.
  3  apply: another sheet was accepted since the base version; nothing was changed.
  4  The sheet may have been accepted, or the query may have run.
)";

struct Command
{
  const char* name_;
  ExitCode (*run_)(const CommandCall&);
};

constexpr Command kCommands[] = { { "check", &RunCheck }, { "apply", &RunApply }, { "status", &RunStatus },
                                  { "dump", &RunDump },   { "query", &RunQuery }, { "explain", &RunExplain } };

} // namespace

ExitCode
RunCommandLine(const std::vector<std::string>& aArguments, std::ostream& aOut, std::ostream& aErr)
{
  Arguments arguments;
  try {
    arguments = docopt::docopt_parse(kUsage, aArguments, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    aOut << kUsage;
    return ExitCode::Done;
  } catch (const docopt::DocoptExitVersion&) {
    aOut << kVersion << "\n";
    return ExitCode::Done;
  } catch (const docopt::DocoptArgumentError& error) {
    aErr << "ibisrock: wrong usage: " << error.what() << "\nibisrock --help lists the commands and their options.\n";
    return ExitCode::BadInput;
  }
  for (const Command& command : kCommands) {
    if (arguments.at(command.name_).asBool()) {
      return command.run_({ arguments, aOut, aErr });
    }
  }
  return ExitCode::BadInput;
}

} // namespace ibisrock::cli
