#ifndef IBISROCK_PROCESS_CONCURRENCY_LIMIT_H
#define IBISROCK_PROCESS_CONCURRENCY_LIMIT_H

#include "base/units.h"

namespace ibisrock {

/// Queries of one service that this instance runs at the same time, learned from how they end: the limit grows while
/// answers come without much queueing and shrinks when targets or owners are overloaded. Not thread-safe.
class ConcurrencyLimit
{
public:
  /// How one query ended.
  struct Sample
  {
    /// A shard was missed because owners or targets were overloaded.
    bool overloaded_ = false;
    /// Mean wait in the owners' queues over the shards.
    Micros queueWait_{};
    /// Queries in flight when this one started, itself included.
    unsigned inFlight_ = 0;
  };

  /// Queue wait above which the limit shrinks.
  static constexpr Micros kQueueWaitTarget = std::chrono::milliseconds(10);

  unsigned Current() const { return static_cast<unsigned>(limit_); }
  void Add(const Sample& aSample, TimePoint aNow);
  /// True while the limit has been cut within the last second.
  bool IsOverloaded(TimePoint aNow) const { return aNow - shrunkAt_ < std::chrono::seconds(1); }

private:
  double limit_ = 16;
  TimePoint shrunkAt_;
};

} // namespace ibisrock

#endif
