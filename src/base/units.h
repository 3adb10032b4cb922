#ifndef IBISROCK_BASE_UNITS_H
#define IBISROCK_BASE_UNITS_H

#include <chrono>
#include <compare>
#include <cstdint>

namespace ibisrock {

using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Tag of the clock behind TimerService; it never goes backwards and its zero is arbitrary.
struct MonotonicClock
{
  using duration = Micros;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

using TimePoint = MonotonicClock::time_point;

/// aTime times aFactor.
constexpr Micros
Scale(Micros aTime, double aFactor)
{
  return Micros(static_cast<Micros::rep>(aFactor * static_cast<double>(aTime.count())));
}

/// A rate in events per second.
struct PerSecond
{
  double value_ = 0;

  auto operator<=>(const PerSecond&) const = default;
};

} // namespace ibisrock

#endif
