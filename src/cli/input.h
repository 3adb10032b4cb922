#ifndef IBISROCK_CLI_INPUT_H
#define IBISROCK_CLI_INPUT_H

#include "cli/command.h"
#include "version/sheet.h"

#include <optional>
#include <string>
#include <vector>

namespace ibisrock::cli {

/// A sheet file after reading; sheet_ has no value when there is any fault.
struct SheetFile
{
  std::optional<Sheet> sheet_;
  std::vector<SheetFault> faults_;
};

/// Reads the file that the argument SHEET names. Returns no value, after a message, when it cannot be read.
std::optional<SheetFile>
ReadSheetFile(const CommandCall& aCall);

/// Writes one line "path:line:column: text" for each fault.
void
WriteFaults(const CommandCall& aCall, const std::vector<SheetFault>& aFaults);

/// Value of an option, or an empty text.
std::string
OptionText(const CommandCall& aCall, const char* aOption);

/// Value of an option that is an address. Returns no value, after a message, when it is malformed.
std::optional<std::string>
ReadAddress(const CommandCall& aCall, const char* aOption);

/// Splits an option's value "ip:port,ip:port,...". Returns no value, after a message, when one is malformed.
std::optional<std::vector<std::string>>
ReadAddresses(const CommandCall& aCall, const char* aOption);

} // namespace ibisrock::cli

#endif
