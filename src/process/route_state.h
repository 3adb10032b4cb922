#ifndef IBISROCK_PROCESS_ROUTE_STATE_H
#define IBISROCK_PROCESS_ROUTE_STATE_H

#include "base/random.h"
#include "process/latency_tracker.h"
#include "version/route_table.h"

#include <unordered_map>
#include <vector>

namespace ibisrock {

/// Per-route state of this instance: call latencies and the weighted selection of pools. Survives a change of the
/// configuration. Not thread-safe.
class RouteState
{
public:
  /// Selects the pool of the next request by smooth weighted round-robin, which follows the weights as exactly as
  /// possible.
  const PoolName& PickPool(const std::vector<WeightedPool>& aPools, Random& aRandom);

  void RecordLatency(TimePoint aNow, Micros aLatency);
  /// Moving average of the call latency; aFallback before the first observation.
  Micros MeanLatency(Micros aFallback) const { return meanLatency_ == Micros::zero() ? aFallback : meanLatency_; }
  /// Retry-After delay for a refused request: at least aMinDelay, after which capacity is expected. Consecutive
  /// refusals get delays aInterval apart, so that the callers do not all retry at once.
  Micros RetryAfter(TimePoint aNow, Micros aMinDelay, Micros aInterval);
  /// Delay after which a call is hedged: the given quantile of the call latencies, or aFallback while there are too few
  /// observations.
  Micros HedgeDelay(TimePoint aNow, double aQuantile, Micros aFallback)
  {
    latencies_.SetQuantile(aQuantile);
    return latencies_.HedgeDelay(aNow, aFallback);
  }

private:
  LatencyTracker latencies_;
  Micros meanLatency_{};
  /// Requests that each pool should have got and has not.
  std::unordered_map<PoolName, double> owedRequests_;
  TimePoint lastRetryAt_{};
};

} // namespace ibisrock

#endif
