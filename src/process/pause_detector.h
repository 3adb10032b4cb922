#ifndef IBISROCK_PROCESS_PAUSE_DETECTOR_H
#define IBISROCK_PROCESS_PAUSE_DETECTOR_H

#include "base/units.h"

#include <functional>

namespace ibisrock {

/// Tells whether this process has stood still. The clock must also count the time in which the machine was suspended,
/// which the clock of the timer service does not. Not thread-safe.
class PauseDetector
{
public:
  /// Time since an arbitrary moment.
  using Clock = std::function<Micros()>;

  /// Check() must be called at least once in aMaxGap.
  PauseDetector(Clock aClock, Micros aMaxGap)
    : clock_(std::move(aClock))
    , maxGap_(aMaxGap)
    , lastCheck_(clock_())
  {
  }

  /// Whether the process has stood still since the last check. Can be asked before timers have run again.
  bool IsPaused() const { return clock_() - lastCheck_ > maxGap_; }
  /// Returns IsPaused() and begins anew.
  bool Check()
  {
    const bool wasPaused = IsPaused();
    lastCheck_ = clock_();
    return wasPaused;
  }

private:
  const Clock clock_;
  const Micros maxGap_;
  Micros lastCheck_;
};

} // namespace ibisrock

#endif
