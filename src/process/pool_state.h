#ifndef IBISROCK_PROCESS_POOL_STATE_H
#define IBISROCK_PROCESS_POOL_STATE_H

#include "base/units.h"
#include "process/extra_attempt_budget.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace ibisrock {

/// Calls that wait until a target of their pool has room: those that can still meet their objective first, then the
/// most urgent, then in order of arrival. Load pattern: bursts above what one instance may send, and a restart of the
/// whole system, after which a queue in order of arrival would serve only requests that are late already.
class PendingCallQueue
{
public:
  using Position = std::pair<unsigned, uint64_t>;
  /// Returns false when the call still finds no room.
  using DispatchCallback = std::function<bool()>;

  /// Calls that get room before another one.
  struct CallsAhead
  {
    size_t inTime_ = 0;
    /// Those that are late already. They go first only if the other one is late too.
    size_t late_ = 0;
  };

  /// aObjectiveEnds is the time after which the call is late.
  Position Add(TimePoint aNow, unsigned aPriority, TimePoint aObjectiveEnds, DispatchCallback aDispatch);
  void Remove(const Position& aPosition) { waiting_.erase(aPosition); }
  size_t Size() const { return waiting_.size(); }
  /// Calls ahead of the one at a position, or of a new one of this priority.
  CallsAhead CountCallsAhead(std::optional<Position> aPosition, unsigned aPriority, TimePoint aNow) const;
  /// Counts a call that had to wait or was refused because it would have had to.
  void CountArrival(TimePoint aNow);
  /// Recent rate of such calls.
  double ArrivalsPerSecond(TimePoint aNow) const;
  /// Whether calls have had to wait, and some were late, for longer than in a burst. Not whether the queue is full: it
  /// is short while late calls are refused.
  bool IsOverloaded(TimePoint aNow) const;
  /// Lets the first calls try again until one finds no room.
  void OnCapacityAvailable(TimePoint aNow);

private:
  struct Waiting
  {
    TimePoint objectiveEnds_;
    DispatchCallback dispatch_;
  };
  using Calls = std::map<Position, Waiting>;

  Calls::iterator First(TimePoint aNow);
  void NoteLateCalls(TimePoint aNow);

  Calls waiting_;
  uint64_t lastNumber_ = 0;
  /// Number of arrivals, of which each loses weight with its age, at the time of the last one.
  double arrivals_ = 0;
  TimePoint lastArrival_{};
  /// When the first late call was seen since calls began to wait.
  std::optional<TimePoint> lateSince_;
};

/// What this instance keeps for a pool.
struct PoolState
{
  PoolState(double aExtraShare, double aMaxExtraTokens)
    : extraBudget_(aExtraShare, aMaxExtraTokens)
  {
  }

  ExtraAttemptBudget extraBudget_;
  PendingCallQueue pendingCalls_;
};

} // namespace ibisrock

#endif
