#ifndef IBISROCK_PROCESS_REPLY_LAG_H
#define IBISROCK_PROCESS_REPLY_LAG_H

#include "base/units.h"

#include <algorithm>

namespace ibisrock {

/// How long this instance takes from the moment at which it should answer until the answer is written: the wait for its
/// own loop, the merge and the write. Load pattern: replies of many shards arrive together at a fraction of a core, so
/// that a time-out is served late and the answer misses the caller's objective. Used on one thread.
class ReplyLag
{
public:
  void Observe(Micros aLag)
  {
    const double weight = aLag > usual_ ? kRise : kFall;
    usual_ += Scale(aLag - usual_, weight);
  }

  /// Time to plan for. An answer that comes too late is worth a tenth of one that leaves out a few shards, so nearly
  /// all answers must take less.
  Micros ReservedTime() const { return usual_ + kMargin; }

private:
  /// The ratio of the two makes the estimate settle where 24 of 25 observations are below it.
  static constexpr double kRise = 0.48;
  static constexpr double kFall = 0.02;
  /// For what an instance cannot see: the wait of a request before it is read, and the variation of the network.
  static constexpr Micros kMargin = Millis(3);

  Micros usual_ = Millis(4);
};

} // namespace ibisrock

#endif
