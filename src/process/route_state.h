#ifndef IBISROCK_PROCESS_ROUTE_STATE_H
#define IBISROCK_PROCESS_ROUTE_STATE_H

#include "base/random.h"
#include "process/latency_tracker.h"
#include "version/route_table.h"

#include <unordered_map>
#include <vector>

namespace ibisrock {

/// What this instance has learned about a route; kept over versions of the configuration. Used on one thread.
class RouteState
{
public:
  /// Quantile of the call times after which a call is hedged. The extra calls must fit in the shared budget also when
  /// targets pause.
  static constexpr double kHedgeQuantile = 0.92;

  /// Picks the pool of the next request, so that each pool gets its weight's share as exactly as possible.
  const PoolName& PickPool(const std::vector<WeightedPool>& aPools, Random& aRandom);

  void RecordLatency(TimePoint aNow, Micros aTook);
  /// Usual time of a call, aFallback while it is not known.
  Micros MeanLatency(Micros aFallback) const { return mean_ == Micros::zero() ? aFallback : mean_; }
  /// Time after which a refused caller finds room, if it is short of aShortage now. Callers that are refused in a row
  /// get times aInterval apart, so that they do not come back together.
  Micros RetryAfter(TimePoint aNow, Micros aShortage, Micros aInterval);
  Micros HedgeDelay(TimePoint aNow, Micros aFallback) { return times_.HedgeDelay(aNow, aFallback); }

private:
  LatencyTracker times_{ kHedgeQuantile };
  Micros mean_{};
  std::unordered_map<PoolName, double> shares_;
  TimePoint lastReturn_{};
};

} // namespace ibisrock

#endif
