#ifndef IBISROCK_PROCESS_WAIT_ESTIMATE_H
#define IBISROCK_PROCESS_WAIT_ESTIMATE_H

#include "process/pool_state.h"
#include "process/target_directory.h"

#include <optional>
#include <span>

namespace ibisrock {

/// When a call that waits for room at a pool is expected to be answered.
struct WaitEstimate
{
  /// Until the reply; no value if the call is not expected to find room at all.
  std::optional<Micros> timeToReply_;
  /// Between two calls that find room.
  Micros dispatchInterval_{};

  bool IsWithin(Micros aTime) const { return timeToReply_ && *timeToReply_ <= aTime; }
};

/// What the estimate follows from.
struct PendingCall
{
  /// Place in the queue; no value for a call that has not joined it.
  std::optional<PendingCallQueue::Position> position_;
  unsigned priority_ = 0;
  /// Time after which the call is late.
  TimePoint objectiveEnds_;
  /// End of the time in which a reply is of use.
  TimePoint deadline_;
  /// Usual time from sending a call until its reply.
  Micros meanLatency_{};
};

/// Estimates from the calls ahead, the calls that arrive meanwhile, and the rate at which the targets end calls. Load
/// pattern: more work than the targets can do for seconds. Without an estimate all requests wait until their time has
/// passed, and the callers learn only then that nothing was done.
WaitEstimate
EstimateWait(const PendingCallQueue& aQueue,
             std::span<const TargetPtr> aTargets,
             const PendingCall& aCall,
             TimePoint aNow);

} // namespace ibisrock

#endif
