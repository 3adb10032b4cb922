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
  /// Latency quantile after which a call is hedged. The hedges must fit in the shared extra-attempt budget even while
  /// targets pause.
  static constexpr double kHedgeQuantile = 0.92;

  /// Selects the pool of the next request by smooth weighted round-robin, which follows the weights as exactly as
  /// possible.
  const PoolName& PickPool(const std::vector<WeightedPool>& aPools, Random& aRandom);

  void RecordLatency(TimePoint aNow, Micros aLatency);
  /// Moving average of the call latency; aFallback before the first observation.
  Micros MeanLatency(Micros aFallback) const { return meanLatency_ == Micros::zero() ? aFallback : meanLatency_; }
  /// Retry-After delay for a refused request: at least aMinDelay, after which capacity is expected. Consecutive
  /// refusals get delays aInterval apart, so that the callers do not all retry at once.
  Micros RetryAfter(TimePoint aNow, Micros aMinDelay, Micros aInterval);
  Micros HedgeDelay(TimePoint aNow, Micros aFallback) { return latencies_.HedgeDelay(aNow, aFallback); }

private:
  LatencyTracker latencies_{ kHedgeQuantile };
  Micros meanLatency_{};
  std::unordered_map<PoolName, double> currentWeights_;
  TimePoint lastRetryAt_{};
};

} // namespace ibisrock

#endif
