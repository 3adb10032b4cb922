#ifndef IBISROCK_CLI_COMMAND_LINE_H
#define IBISROCK_CLI_COMMAND_LINE_H

#include "cli/command.h"

#include <string>
#include <vector>

namespace ibisrock::cli {

/// Runs the command that the arguments name. aArguments excludes the program's name.
ExitCode
RunCommandLine(const std::vector<std::string>& aArguments, std::ostream& aOut, std::ostream& aErr);

} // namespace ibisrock::cli

#endif
