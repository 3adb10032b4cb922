#ifndef IBISROCK_REQUEST_RECORD_MERGE_H
#define IBISROCK_REQUEST_RECORD_MERGE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ibisrock {

/// Size in bytes of one record in a shard's reply.
inline constexpr size_t kRecordSize = 16;

/// Returns the aCount greatest records of all parts in descending bytewise order. Duplicates are kept. An incomplete
/// record at the end of a part is ignored.
std::string
MergeRecords(const std::vector<std::string_view>& aParts, size_t aCount);

} // namespace ibisrock

#endif
