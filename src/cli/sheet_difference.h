#ifndef IBISROCK_CLI_SHEET_DIFFERENCE_H
#define IBISROCK_CLI_SHEET_DIFFERENCE_H

#include "version/manifest.h"
#include "version/sheet.h"

#include <string>
#include <vector>

namespace ibisrock::cli {

/// Services in which a sheet differs from the version in force, in the order of their names.
struct SheetDifference
{
  std::vector<std::string> added_;
  std::vector<std::string> changed_;
  std::vector<std::string> removed_;

  bool IsEmpty() const { return added_.empty() && changed_.empty() && removed_.empty(); }
};

/// Compares by the content hashes that apply would write.
SheetDifference
CompareSheet(const Manifest& aInForce, const Sheet& aSheet);

} // namespace ibisrock::cli

#endif
