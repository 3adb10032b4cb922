#ifndef IBISROCK_PROCESS_REQUEST_RATE_H
#define IBISROCK_PROCESS_REQUEST_RATE_H

#include "base/units.h"

#include <cmath>

namespace ibisrock {

/// Exponentially weighted rate of events. Not thread-safe.
class RequestRate
{
public:
  explicit RequestRate(Micros aTimeConstant)
    : timeConstant_(std::chrono::duration<double>(aTimeConstant).count())
  {
  }

  void Count(TimePoint aNow)
  {
    value_ = At(aNow).value_ + 1 / timeConstant_;
    countedAt_ = aNow;
  }

  PerSecond At(TimePoint aNow) const
  {
    const double elapsed = std::chrono::duration<double>(aNow - countedAt_).count();
    return { value_ * std::exp(-elapsed / timeConstant_) };
  }

private:
  const double timeConstant_;
  double value_ = 0;
  TimePoint countedAt_{};
};

} // namespace ibisrock

#endif
