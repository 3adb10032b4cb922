#ifndef IBISROCK_PROCESS_POOL_STATE_H
#define IBISROCK_PROCESS_POOL_STATE_H

#include "base/units.h"
#include "process/extra_attempt_budget.h"
#include "process/extra_attempt_share.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace ibisrock {

/// Queue of calls that wait for capacity at the targets of a pool. Calls that can still meet their objective go first,
/// then calls of higher priority, then in order of arrival. A FIFO queue would serve only requests that are already
/// late, both in a burst above the concurrency of this instance and after a restart of the whole system.
class PendingCallQueue
{
public:
  using Position = std::pair<unsigned, uint64_t>;
  /// Tries to send the call; returns false if there is still no capacity.
  using DispatchCallback = std::function<bool()>;

  /// Numbers of calls that are dispatched before a given call.
  struct CallsAhead
  {
    size_t inTime_ = 0;
    /// Calls past their objective. They are dispatched first only if the given call is late as well.
    size_t late_ = 0;
  };

  /// Appends a call; it is late after aObjectiveEnds.
  Position Add(TimePoint aNow, unsigned aPriority, TimePoint aObjectiveEnds, DispatchCallback aDispatch);
  void Remove(const Position& aPosition) { calls_.erase(aPosition); }
  size_t Size() const { return calls_.size(); }
  /// Counts the calls ahead of the one at aPosition or, without a position, of a new call with aPriority.
  CallsAhead CountCallsAhead(std::optional<Position> aPosition, unsigned aPriority, TimePoint aNow) const;
  /// Counts a call that was queued, or refused because it would have been queued.
  void CountArrival(TimePoint aNow);
  /// Recent rate of the calls counted by CountArrival.
  double ArrivalsPerSecond(TimePoint aNow) const;
  /// Whether calls have been queued, and some of them late, for longer than a burst lasts. The length of the queue is
  /// no measure of overload, because the queue is short while late calls are refused.
  bool IsOverloaded(TimePoint aNow) const;
  /// Dispatches queued calls until one finds no capacity.
  void OnCapacityAvailable(TimePoint aNow);

private:
  struct Entry
  {
    TimePoint objectiveEnds_;
    DispatchCallback dispatch_;
  };
  using Calls = std::map<Position, Entry>;

  Calls::iterator NextCall(TimePoint aNow);
  void RecordLateCalls(TimePoint aNow);

  Calls calls_;
  uint64_t lastSequence_ = 0;
  /// Exponentially decayed number of arrivals at the time of the last one.
  double decayedArrivals_ = 0;
  TimePoint lastArrival_{};
  /// Time at which the first late call of the current queueing period was seen.
  std::optional<TimePoint> lateSince_;
};

/// Per-pool state of this instance.
struct PoolState
{
  explicit PoolState(const ExtraAttemptShare& aShare)
    : extraBudget_(aShare.perAttempt_, aShare.maxTokens_, aShare.initialTokens_)
  {
  }

  ExtraAttemptBudget extraBudget_;
  PendingCallQueue pendingCalls_;
};

} // namespace ibisrock

#endif
