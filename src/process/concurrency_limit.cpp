#include "process/concurrency_limit.h"

#include <algorithm>

namespace ibisrock {

namespace {

constexpr double kMinLimit = 1;
constexpr double kMaxLimit = 1000;
constexpr double kShrinkFactor = 0.85;
/// At most one cut in this time, because the queries in flight at a cut were admitted under the old limit.
constexpr Micros kShrinkPeriod = Millis(50);
/// Only a limit that is nearly used may grow; otherwise a quiet time would raise it without evidence.
constexpr double kUsedShare = 0.8;

} // namespace

void
ConcurrencyLimit::Add(const Sample& aSample, TimePoint aNow)
{
  if (aSample.overloaded_ || aSample.queueWait_ > kQueueWaitTarget) {
    if (aNow - shrunkAt_ >= kShrinkPeriod) {
      limit_ = std::max(kMinLimit, limit_ * kShrinkFactor);
      shrunkAt_ = aNow;
    }
    return;
  }
  if (aSample.inFlight_ >= kUsedShare * limit_) {
    limit_ = std::min(kMaxLimit, limit_ + 1.0 / limit_);
  }
}

} // namespace ibisrock
