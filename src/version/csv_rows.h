#ifndef IBISROCK_VERSION_CSV_ROWS_H
#define IBISROCK_VERSION_CSV_ROWS_H

#include <string>
#include <vector>

namespace ibisrock {

using CsvRow = std::vector<std::string>;

/// Splits comma-separated text into rows. Returns false and sets aError when the text is not CSV. The source file is
/// compiled as C++17, because cxxtools' string header uses allocator members that C++20 removed.
bool
SplitCsvRows(const std::string& aText, std::vector<CsvRow>& aRows, std::string& aError);

} // namespace ibisrock

#endif
