#include "standin/value_history.h"

#include <utility>

namespace ibisrock::standin {

namespace {

/// Values kept of each object; bounds the memory of a stand-in that runs for long.
constexpr size_t kKeptEntries = 64;

} // namespace

void
ValueHistory::Add(uint64_t aRevision, std::string aValue, Clock::time_point aNow)
{
  entries_.push_back({ aRevision, std::move(aValue), aNow });
  if (entries_.size() > kKeptEntries) {
    entries_.pop_front();
    dropped_ = true;
  }
}

const ValueHistory::Entry*
ValueHistory::At(Clock::time_point aTime) const
{
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (entry->written_ <= aTime) {
      return &*entry;
    }
  }
  return dropped_ ? &entries_.front() : nullptr;
}

} // namespace ibisrock::standin
