#include "process/route_state.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Weight of one call in the mean; a route has tens of calls a second.
constexpr double kMeanWeight = 0.05;
/// Callers that are refused in a row are spread over at most this time, because not all of them come back.
constexpr Micros kLongestSpread = Seconds(1);

} // namespace

/// Smooth weighted round-robin. The start is drawn at random, because otherwise all instances would send their first
/// requests to the same pool.
const PoolName&
RouteState::PickPool(const std::vector<WeightedPool>& aPools, Random& aRandom)
{
  double total = 0;
  for (const WeightedPool& pool : aPools) {
    total += pool.weight_;
  }
  const WeightedPool* best = nullptr;
  double* bestShare = nullptr;
  for (const WeightedPool& pool : aPools) {
    double& share = shares_.try_emplace(pool.pool_, aRandom.Unit() * pool.weight_).first->second;
    share += pool.weight_;
    if (pool.weight_ > 0 && (best == nullptr || share > *bestShare)) {
      best = &pool;
      bestShare = &share;
    }
  }
  *bestShare -= total;
  return best->pool_;
}

Micros
RouteState::RetryAfter(TimePoint aNow, Micros aShortage, Micros aInterval)
{
  const TimePoint earliest = aNow + aShortage;
  lastReturn_ = std::clamp(lastReturn_ + aInterval, earliest, earliest + kLongestSpread);
  return lastReturn_ - aNow;
}

void
RouteState::RecordLatency(TimePoint aNow, Micros aTook)
{
  times_.Record(aNow, aTook);
  if (mean_ == Micros::zero()) {
    mean_ = aTook;
    return;
  }
  mean_ += Scale(aTook - mean_, kMeanWeight);
}

} // namespace ibisrock
