#include "process/concurrency_limit.h"

#include <algorithm>

namespace ibisrock {

namespace {

constexpr double kMinLimit = 1;
constexpr double kMaxLimit = 1000;
constexpr double kDecreaseFactor = 0.85;
/// Minimum time between two decreases: queries in flight at a decrease were admitted under the old limit.
constexpr Micros kDecreaseInterval = Millis(50);
/// Utilization required to increase the limit; samples taken at low load are no evidence that a higher limit is safe.
constexpr double kMinUtilization = 0.8;

} // namespace

void
ConcurrencyLimit::AddSample(const Sample& aSample, TimePoint aNow)
{
  if (aSample.overloaded_ || aSample.queueWait_ > kMaxQueueWait) {
    if (aNow - decreasedAt_ >= kDecreaseInterval) {
      limit_ = std::max(kMinLimit, limit_ * kDecreaseFactor);
      decreasedAt_ = aNow;
    }
    return;
  }
  if (aSample.inFlight_ >= kMinUtilization * limit_) {
    limit_ = std::min(kMaxLimit, limit_ + 1.0 / limit_);
  }
}

} // namespace ibisrock
