#ifndef IBISROCK_VERSION_CSV_ROWS_H
#define IBISROCK_VERSION_CSV_ROWS_H

#include <cstddef>
#include <string>
#include <vector>

namespace ibisrock {

using CsvRow = std::vector<std::string>;

/// One record of comma-separated text.
struct CsvRecord
{
  /// Line number at which the record begins, starting at 1.
  size_t line_ = 0;
  /// Empty for a blank line and for a malformed record.
  CsvRow row_;
  /// Why the record is malformed; empty otherwise.
  std::string error_;
};

/// Splits comma-separated text into records with their line numbers. Parsing continues after a malformed record. The
/// source file is compiled as C++17, because the string header of cxxtools uses allocator members that C++20 removed.
std::vector<CsvRecord>
SplitCsvRecords(const std::string& aText);

} // namespace ibisrock

#endif
