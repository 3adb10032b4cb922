#ifndef IBISROCK_PROCESS_LATENCY_TRACKER_H
#define IBISROCK_PROCESS_LATENCY_TRACKER_H

#include "base/units.h"

#include <boost/histogram.hpp>
#include <mutex>

namespace ibisrock {

/// Quantile of the recent call latencies of a service or route, used as its hedge delay. Thread-safe.
class LatencyTracker
{
public:
  /// Spends most of the extra-attempt budget (5%) on hedges. A lower quantile would exhaust it and leave stragglers
  /// without a hedge.
  static constexpr double kDefaultQuantile = 0.95;
  /// Lower limit of the hedge delay: below it a hedge costs more than it can save.
  static constexpr Micros kMinHedgeDelay = Millis(1);

  explicit LatencyTracker(double aQuantile = kDefaultQuantile);

  void SetQuantile(double aQuantile);
  /// Adds the latency of a first attempt. A cancelled attempt counts with the time until its cancellation; ignoring it
  /// would exclude slow attempts and bias the quantile low.
  void Record(TimePoint aNow, Micros aLatency);
  /// Delay after which an attempt is hedged; aFallback while there are too few observations. Never below
  /// kMinHedgeDelay.
  Micros HedgeDelay(TimePoint aNow, Micros aFallback);

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_weighted_histogram(Axis()));

  Micros Quantile() const;

  double quantile_;
  std::mutex mutex_;
  Histogram histogram_;
  double totalWeight_ = 0;
  TimePoint lastDecay_;
  TimePoint computedAt_;
  Micros hedgeDelay_{};
};

} // namespace ibisrock

#endif
