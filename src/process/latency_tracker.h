#ifndef IBISROCK_PROCESS_LATENCY_TRACKER_H
#define IBISROCK_PROCESS_LATENCY_TRACKER_H

#include "base/units.h"

#include <boost/histogram.hpp>
#include <mutex>

namespace ibisrock {

/// Quantile of the recent sub-request latencies of one service, used as its hedge delay. Thread-safe.
class LatencyTracker
{
public:
  /// Uses most of the extra-attempt budget (5%) for hedges. A lower quantile empties it, so that stragglers wait.
  static constexpr double kDefaultQuantile = 0.95;
  /// Lower limit of the hedge delay: below it a hedge costs more than it can save.
  static constexpr Micros kMinHedgeDelay = Millis(1);

  explicit LatencyTracker(double aQuantile = kDefaultQuantile);

  /// Adds the latency of a first attempt. For an attempt that was cancelled this is the time until then: leaving it out
  /// would hide the slow attempts and let the quantile sink.
  void Record(TimePoint aNow, Micros aLatency);
  /// Time after which an attempt is hedged; aFallback while there are too few observations.
  Micros HedgeDelay(TimePoint aNow, Micros aFallback);

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_weighted_histogram(Axis()));

  Micros Quantile() const;

  const double quantile_;
  std::mutex mutex_;
  Histogram histogram_;
  double total_ = 0;
  TimePoint halvedAt_;
  TimePoint computedAt_;
  Micros computed_{};
};

} // namespace ibisrock

#endif
