#include "process/route_state.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Smoothing factor of the latency average. A route has tens of calls a second, so the average follows within seconds.
constexpr double kMeanSmoothing = 0.05;
/// Upper limit on the spread of the retry times of consecutive refusals. Not all refused callers retry, so a longer
/// spread would leave capacity unused.
constexpr Micros kMaxRetrySpread = Seconds(1);

} // namespace

/// The initial weights are random, because otherwise all instances would send their first requests to the same pool.
const PoolName&
RouteState::PickPool(const std::vector<WeightedPool>& aPools, Random& aRandom)
{
  double total = 0;
  for (const WeightedPool& pool : aPools) {
    total += pool.weight_;
  }
  const WeightedPool* best = nullptr;
  double* bestWeight = nullptr;
  for (const WeightedPool& pool : aPools) {
    double& currentWeight = currentWeights_.try_emplace(pool.pool_, aRandom.Unit() * pool.weight_).first->second;
    currentWeight += pool.weight_;
    if (pool.weight_ > 0 && (best == nullptr || currentWeight > *bestWeight)) {
      best = &pool;
      bestWeight = &currentWeight;
    }
  }
  *bestWeight -= total;
  return best->pool_;
}

Micros
RouteState::RetryAfter(TimePoint aNow, Micros aMinDelay, Micros aInterval)
{
  const TimePoint earliest = aNow + aMinDelay;
  lastRetryAt_ = std::clamp(lastRetryAt_ + aInterval, earliest, earliest + kMaxRetrySpread);
  return lastRetryAt_ - aNow;
}

void
RouteState::RecordLatency(TimePoint aNow, Micros aLatency)
{
  latencies_.Record(aNow, aLatency);
  if (meanLatency_ == Micros::zero()) {
    meanLatency_ = aLatency;
    return;
  }
  meanLatency_ += Scale(aLatency - meanLatency_, kMeanSmoothing);
}

} // namespace ibisrock
