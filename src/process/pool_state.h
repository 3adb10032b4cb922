#ifndef IBISROCK_PROCESS_POOL_STATE_H
#define IBISROCK_PROCESS_POOL_STATE_H

#include "process/extra_attempt_budget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace ibisrock {

/// Calls that wait until a target of their pool has room, the most urgent first, then in order of arrival. Load
/// pattern: short bursts above the connections that one instance may use.
class RoomQueue
{
public:
  using Position = std::pair<unsigned, uint64_t>;
  /// Returns false when the call still finds no room.
  using TryAgain = std::function<bool()>;

  Position Add(unsigned aPriority, TryAgain aTryAgain);
  void Remove(const Position& aPosition) { waiting_.erase(aPosition); }
  size_t Size() const { return waiting_.size(); }
  /// Lets the first calls try again until one finds no room.
  void OnRoom();

private:
  std::map<Position, TryAgain> waiting_;
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
