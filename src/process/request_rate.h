#ifndef IBISROCK_PROCESS_REQUEST_RATE_H
#define IBISROCK_PROCESS_REQUEST_RATE_H

#include "base/units.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace ibisrock {

/// Exponentially weighted rate of events. Right from the first events on: the weights of the time before them are left
/// out, because a rate that is reported too low lets the fleet send too many extra attempts. Not thread-safe.
class RequestRate
{
public:
  explicit RequestRate(Micros aTimeConstant)
    : timeConstant_(std::chrono::duration<double>(aTimeConstant).count())
  {
  }

  void Count(TimePoint aNow)
  {
    firstAt_ = firstAt_.value_or(aNow);
    value_ = Decayed(aNow) + 1 / timeConstant_;
    countedAt_ = aNow;
  }

  PerSecond At(TimePoint aNow) const
  {
    if (!firstAt_) {
      return {};
    }
    // Of the first moments alone nothing is known.
    const double observed = std::max(SecondsBetween(*firstAt_, aNow), kMinObserved * timeConstant_);
    return { Decayed(aNow) / (1 - std::exp(-observed / timeConstant_)) };
  }

private:
  /// Shortest time over which a rate is taken, as a share of the time constant.
  static constexpr double kMinObserved = 0.1;

  static double SecondsBetween(TimePoint aBegin, TimePoint aEnd)
  {
    return std::chrono::duration<double>(aEnd - aBegin).count();
  }

  double Decayed(TimePoint aNow) const { return value_ * std::exp(-SecondsBetween(countedAt_, aNow) / timeConstant_); }

  const double timeConstant_;
  double value_ = 0;
  TimePoint countedAt_{};
  std::optional<TimePoint> firstAt_;
};

} // namespace ibisrock

#endif
