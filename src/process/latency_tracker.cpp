#include "process/latency_tracker.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Number of bins between 100 us and 100 s; each is about 4% wide.
constexpr unsigned kBins = 350;
constexpr double kMinLatencyMicros = 100;
constexpr double kMaxLatencyMicros = 1e8;
/// Half-life of the weight of observations; the quantile follows changes within seconds.
constexpr Micros kHalfLife = Seconds(5);
/// Total weight of the observations below which a high quantile is dominated by noise.
constexpr double kMinTotalWeight = 100;
/// The quantile is cached for this long, because computing it scans all bins.
constexpr Micros kRefreshInterval = Millis(100);

} // namespace

LatencyTracker::LatencyTracker(double aQuantile)
  : quantile_(aQuantile)
  , histogram_(boost::histogram::make_weighted_histogram(Axis(kBins, kMinLatencyMicros, kMaxLatencyMicros)))
{
}

void
LatencyTracker::SetQuantile(double aQuantile)
{
  std::lock_guard lock(mutex_);
  quantile_ = aQuantile;
}

void
LatencyTracker::Record(TimePoint aNow, Micros aLatency)
{
  std::lock_guard lock(mutex_);
  if (aNow - lastDecay_ >= kHalfLife) {
    histogram_ *= 0.5;
    totalWeight_ *= 0.5;
    lastDecay_ = aNow;
  }
  const auto latency = static_cast<double>(aLatency.count());
  histogram_(std::clamp(latency, kMinLatencyMicros, kMaxLatencyMicros * 0.99));
  totalWeight_ += 1;
}

Micros
LatencyTracker::HedgeDelay(TimePoint aNow, Micros aFallback)
{
  std::lock_guard lock(mutex_);
  if (totalWeight_ < kMinTotalWeight) {
    return std::max(aFallback, kMinHedgeDelay);
  }
  if (hedgeDelay_ == Micros::zero() || aNow - computedAt_ >= kRefreshInterval) {
    hedgeDelay_ = std::max(Quantile(), kMinHedgeDelay);
    computedAt_ = aNow;
  }
  return hedgeDelay_;
}

/// Returns the quantile, interpolated within its bin. The caller holds the mutex.
Micros
LatencyTracker::Quantile() const
{
  const Axis& axis = histogram_.axis();
  double below = 0;
  for (int bin = 0; bin < axis.size(); bin++) {
    const double weight = histogram_.at(bin).value();
    const double needed = quantile_ * totalWeight_ - below;
    if (weight > 0 && weight >= needed) {
      const double lower = axis.bin(bin).lower();
      return Micros(static_cast<Micros::rep>(lower + (axis.bin(bin).upper() - lower) * needed / weight));
    }
    below += weight;
  }
  return Micros(static_cast<Micros::rep>(kMaxLatencyMicros));
}

} // namespace ibisrock
