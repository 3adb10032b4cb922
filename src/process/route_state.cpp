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

/// What each pool is owed is counted in requests, so that it means the same under other weights. It is random at first,
/// because otherwise all instances would send their first requests to the same pool.
const PoolName&
RouteState::PickPool(const std::vector<WeightedPool>& aPools, Random& aRandom)
{
  double total = 0;
  for (const WeightedPool& pool : aPools) {
    total += pool.weight_;
  }
  const WeightedPool* best = nullptr;
  double* mostOwed = nullptr;
  for (const WeightedPool& pool : aPools) {
    const double share = pool.weight_ / total;
    double& owed = owedRequests_.try_emplace(pool.pool_, aRandom.Unit() * share).first->second;
    owed += share;
    if (pool.weight_ > 0 && (best == nullptr || owed > *mostOwed)) {
      best = &pool;
      mostOwed = &owed;
    }
  }
  *mostOwed -= 1;
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
