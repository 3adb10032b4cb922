#ifndef IBISROCK_PROCESS_REPLY_LAG_H
#define IBISROCK_PROCESS_REPLY_LAG_H

#include "base/units.h"

#include <algorithm>

namespace ibisrock {

/// Estimates the delay from the time at which a reply is due until it is written: event loop delay, merge and write.
/// When the replies of many shards arrive together on a fraction of a core, timers fire late, and without this
/// allowance the reply would miss the caller's objective. Not thread-safe.
class ReplyLag
{
public:
  void Observe(Micros aLag)
  {
    const double weight = aLag > estimate_ ? kRiseWeight : kFallWeight;
    estimate_ += Scale(aLag - estimate_, weight);
  }

  /// Time to reserve before the objective. A late answer is worth a tenth of one that leaves out a few shards, so
  /// nearly all replies must take less than this.
  Micros ReservedTime() const { return estimate_ + kMargin; }

private:
  /// Smoothing factors for rising and falling lag. With this ratio the estimate settles where 24 of 25 observations are
  /// below it.
  static constexpr double kRiseWeight = 0.48;
  static constexpr double kFallWeight = 0.02;
  /// Allowance for delays that the instance cannot measure: the time until a request is read, and network jitter.
  static constexpr Micros kMargin = Millis(3);

  Micros estimate_ = Millis(4);
};

} // namespace ibisrock

#endif
