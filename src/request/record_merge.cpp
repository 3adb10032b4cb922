#include "request/record_merge.h"

#include <algorithm>
#include <functional>

namespace ibisrock {

std::string
MergeRecords(const std::vector<std::string_view>& aParts, size_t aCount)
{
  std::vector<std::string_view> records;
  for (std::string_view part : aParts) {
    for (size_t begin = 0; begin + kRecordSize <= part.size(); begin += kRecordSize) {
      records.push_back(part.substr(begin, kRecordSize));
    }
  }
  const size_t count = std::min(aCount, records.size());
  std::partial_sort(
    records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(), std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordSize);
  for (size_t i = 0; i < count; i++) {
    merged += records[i];
  }
  return merged;
}

} // namespace ibisrock
