#ifndef IBISROCK_PROCESS_CONCURRENCY_LIMIT_H
#define IBISROCK_PROCESS_CONCURRENCY_LIMIT_H

#include "base/units.h"

namespace ibisrock {

/// Adaptive concurrency limit (AIMD) for the queries of one service on this instance: increases additively while
/// answers see little queueing, and decreases multiplicatively when targets or owners are overloaded. Not thread-safe.
class ConcurrencyLimit
{
public:
  /// Load observed by one completed query.
  struct Sample
  {
    /// A shard is missing because owners or targets were overloaded.
    bool overloaded_ = false;
    /// Queueing delay at the owners, averaged over the shards.
    Micros queueWait_{};
    /// Queries in flight when this one started, including itself.
    unsigned inFlight_ = 0;
  };

  /// Queueing delay above which the limit is decreased.
  static constexpr Micros kMaxQueueWait = std::chrono::milliseconds(10);

  unsigned Current() const { return static_cast<unsigned>(limit_); }
  void AddSample(const Sample& aSample, TimePoint aNow);
  /// True when the limit was decreased within the last second.
  bool IsOverloaded(TimePoint aNow) const { return aNow - decreasedAt_ < std::chrono::seconds(1); }

private:
  double limit_ = 16;
  TimePoint decreasedAt_;
};

} // namespace ibisrock

#endif
