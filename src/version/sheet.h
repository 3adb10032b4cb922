#ifndef IBISROCK_VERSION_SHEET_H
#define IBISROCK_VERSION_SHEET_H

#include "base/ids.h"
#include "version/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock {

/// One validation error of a sheet. Lines and columns are numbered from 1; column 0 denotes the whole line, line 0 the
/// whole sheet.
struct SheetFault
{
  size_t line_ = 0;
  size_t column_ = 0;
  std::string text_;
};

/// A validated capacity sheet.
struct Sheet
{
  std::string name_;
  /// Configuration version on which the sheet is based; none when the sheet does not name one.
  ConfigVersion base_;
  std::map<ServiceName, ServiceConfig> services_;
};

/// Parses and validates a CSV sheet. Returns no value for an invalid sheet; aFaults then contains all errors.
std::optional<Sheet>
ParseSheet(const std::string& aText, std::vector<SheetFault>& aFaults);

} // namespace ibisrock

#endif
