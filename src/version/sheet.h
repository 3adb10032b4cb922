#ifndef IBISROCK_VERSION_SHEET_H
#define IBISROCK_VERSION_SHEET_H

#include "base/ids.h"
#include "version/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock {

/// One fault of a sheet. Line and column count from 1; column 0 means the whole line, line 0 the whole sheet.
struct SheetFault
{
  size_t line_ = 0;
  size_t column_ = 0;
  std::string text_;
};

/// The planners' sheet after validation.
struct Sheet
{
  std::string name_;
  /// Version on which the sheet was planned; none when the sheet does not say.
  ConfigVersion base_;
  std::map<ServiceName, ServiceConfig> services_;
};

/// Reads and validates a CSV sheet. Returns no value when there is any fault, and then aFaults holds all of them.
std::optional<Sheet>
ParseSheet(const std::string& aText, std::vector<SheetFault>& aFaults);

} // namespace ibisrock

#endif
