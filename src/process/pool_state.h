#ifndef IBISROCK_PROCESS_POOL_STATE_H
#define IBISROCK_PROCESS_POOL_STATE_H

#include "base/units.h"
#include "process/extra_attempt_budget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace ibisrock {

/// Calls that wait until a target of their pool has room: those that can still meet their objective first, then the
/// most urgent, then in order of arrival. Load pattern: bursts above what one instance may send, and a restart of the
/// whole system, after which a queue in order of arrival would serve only requests that are late already.
class RoomQueue
{
public:
  using Position = std::pair<unsigned, uint64_t>;
  /// Returns false when the call still finds no room.
  using TryAgain = std::function<bool()>;

  /// aObjectiveEnds is the time after which the call is late.
  Position Add(unsigned aPriority, TimePoint aObjectiveEnds, TryAgain aTryAgain);
  void Remove(const Position& aPosition) { waiting_.erase(aPosition); }
  size_t Size() const { return waiting_.size(); }
  /// Lets the first calls try again until one finds no room.
  void OnRoom(TimePoint aNow);

private:
  struct Waiting
  {
    TimePoint objectiveEnds_;
    TryAgain tryAgain_;
  };
  using Calls = std::map<Position, Waiting>;

  Calls::iterator First(TimePoint aNow);

  Calls waiting_;
  uint64_t lastNumber_ = 0;
};

/// What this instance keeps for a pool.
struct PoolState
{
  PoolState(double aExtraShare, double aMaxExtraTokens)
    : extra_(aExtraShare, aMaxExtraTokens)
  {
  }

  ExtraAttemptBudget extra_;
  RoomQueue waiting_;
};

} // namespace ibisrock

#endif
