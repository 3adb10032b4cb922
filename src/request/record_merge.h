#ifndef IBISROCK_REQUEST_RECORD_MERGE_H
#define IBISROCK_REQUEST_RECORD_MERGE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ibisrock {

/// Bytes of one record in the reply of a shard.
inline constexpr size_t kRecordSize = 16;

/// The greatest aCount records of all parts, greatest first, compared byte by byte. Equal records all count. A rest of
/// a part that is shorter than a record is left out.
std::string
MergeRecords(const std::vector<std::string_view>& aParts, size_t aCount);

} // namespace ibisrock

#endif
