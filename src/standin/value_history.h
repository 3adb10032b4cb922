#ifndef IBISROCK_STANDIN_VALUE_HISTORY_H
#define IBISROCK_STANDIN_VALUE_HISTORY_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace ibisrock::standin {

/// The latest values of one object with the times at which they were written, so that older ones can be shown.
class ValueHistory
{
public:
  using Clock = std::chrono::steady_clock;

  struct Entry
  {
    uint64_t revision_ = 0;
    std::string value_;
    Clock::time_point written_;
  };

  void Add(uint64_t aRevision, std::string aValue, Clock::time_point aNow);

  /// The newest entry, or null before the first.
  const Entry* Newest() const { return entries_.empty() ? nullptr : &entries_.back(); }
  /// The newest entry written at or before the time. Null when there is none; the oldest one kept when earlier ones
  /// were dropped.
  const Entry* At(Clock::time_point aTime) const;

private:
  std::deque<Entry> entries_;
  bool dropped_ = false;
};

} // namespace ibisrock::standin

#endif
