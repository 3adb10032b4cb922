#ifndef IBISROCK_PROCESS_RECENT_MAXIMUM_H
#define IBISROCK_PROCESS_RECENT_MAXIMUM_H

#include "base/units.h"

#include <deque>
#include <utility>

namespace ibisrock {

/// Largest of the values of the last aHold. Keeps only values that may still become the largest. Not thread-safe.
template<typename Value>
class RecentMaximum
{
public:
  explicit RecentMaximum(Micros aHold)
    : hold_(aHold)
  {
  }

  void Add(TimePoint aNow, const Value& aValue)
  {
    while (!values_.empty() && !(aValue < values_.back().second)) {
      values_.pop_back();
    }
    values_.emplace_back(aNow, aValue);
  }

  /// The default value if there is none.
  Value At(TimePoint aNow) const
  {
    for (const auto& [time, value] : values_) {
      if (aNow - time <= hold_) {
        return value;
      }
    }
    return {};
  }

  void Forget(TimePoint aNow)
  {
    while (!values_.empty() && aNow - values_.front().first > hold_) {
      values_.pop_front();
    }
  }

private:
  const Micros hold_;
  /// Falling, the oldest first.
  std::deque<std::pair<TimePoint, Value>> values_;
};

} // namespace ibisrock

#endif
