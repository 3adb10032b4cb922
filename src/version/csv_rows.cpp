#include "version/csv_rows.h"

#include <cxxtools/csvdeserializer.h>
#include <cxxtools/serializationinfo.h>
#include <exception>
#include <sstream>

namespace ibisrock {

bool
SplitCsvRows(const std::string& aText, std::vector<CsvRow>& aRows, std::string& aError)
{
  try {
    std::istringstream in(aText);
    cxxtools::CsvDeserializer deserializer;
    deserializer.readTitle(false);
    deserializer.delimiter(',');
    deserializer.read(in);
    deserializer.deserialize(aRows);
    return true;
  } catch (const std::exception& error) {
    aError = error.what();
    return false;
  }
}

} // namespace ibisrock
