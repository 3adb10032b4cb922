#include "process/latency_tracker.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Bins between 100 us and 100 s, each about 4% wide.
constexpr unsigned kBins = 350;
constexpr double kLowest = 100;
constexpr double kHighest = 1e8;
/// Observations lose half of their weight in this time, so that the quantile follows changes within seconds.
constexpr Micros kHalving = Seconds(5);
/// Observations below which a high quantile is only noise.
constexpr double kMinTotal = 100;
/// A computed quantile is used this long, because computing it passes over all bins.
constexpr Micros kRefresh = Millis(100);

} // namespace

LatencyTracker::LatencyTracker(double aQuantile)
  : quantile_(aQuantile)
  , histogram_(boost::histogram::make_weighted_histogram(Axis(kBins, kLowest, kHighest)))
{
}

void
LatencyTracker::Record(TimePoint aNow, Micros aLatency)
{
  std::lock_guard lock(mutex_);
  if (aNow - halvedAt_ >= kHalving) {
    histogram_ *= 0.5;
    total_ *= 0.5;
    halvedAt_ = aNow;
  }
  const auto latency = static_cast<double>(aLatency.count());
  histogram_(std::clamp(latency, kLowest, kHighest * 0.99));
  total_ += 1;
}

Micros
LatencyTracker::HedgeDelay(TimePoint aNow, Micros aFallback)
{
  std::lock_guard lock(mutex_);
  if (total_ < kMinTotal) {
    return std::max(aFallback, kMinHedgeDelay);
  }
  if (computed_ == Micros::zero() || aNow - computedAt_ >= kRefresh) {
    computed_ = std::max(Quantile(), kMinHedgeDelay);
    computedAt_ = aNow;
  }
  return computed_;
}

/// The quantile, interpolated within its bin. Needs the lock.
Micros
LatencyTracker::Quantile() const
{
  const Axis& axis = histogram_.axis();
  double below = 0;
  for (int bin = 0; bin < axis.size(); bin++) {
    const double weight = histogram_.at(bin).value();
    const double needed = quantile_ * total_ - below;
    if (weight > 0 && weight >= needed) {
      const double lower = axis.bin(bin).lower();
      return Micros(static_cast<Micros::rep>(lower + (axis.bin(bin).upper() - lower) * needed / weight));
    }
    below += weight;
  }
  return Micros(static_cast<Micros::rep>(kHighest));
}

} // namespace ibisrock
