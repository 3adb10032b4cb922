#ifndef IBISROCK_PROCESS_WAIT_ESTIMATE_H
#define IBISROCK_PROCESS_WAIT_ESTIMATE_H

#include "process/pool_state.h"
#include "process/target_directory.h"

#include <optional>
#include <span>

namespace ibisrock {

/// Expected time until the reply to a call that waits for capacity at a pool.
struct WaitEstimate
{
  /// Time until the reply; empty if the call is not expected to be dispatched at all.
  std::optional<Micros> timeToReply_;
  /// Time between two dispatched calls.
  Micros dispatchInterval_{};

  bool IsWithin(Micros aTime) const { return timeToReply_ && *timeToReply_ <= aTime; }
};

/// Inputs of the estimate.
struct PendingCall
{
  /// Position in the queue; empty for a call that has not joined it.
  std::optional<PendingCallQueue::Position> position_;
  unsigned priority_ = 0;
  /// Time after which the call is late.
  TimePoint objectiveEnds_;
  /// Time after which a reply is useless to the caller.
  TimePoint deadline_;
  /// Average time from sending a call until its reply.
  Micros meanLatency_{};
};

/// Estimates the time to the reply from the calls ahead in the queue, the arrival rate and the completion rate of the
/// targets. Needed in an overload that lasts for seconds: without the estimate every request would wait until its
/// deadline, and only then would the caller learn that nothing was done.
WaitEstimate
EstimateWait(const PendingCallQueue& aQueue,
             std::span<const TargetPtr> aTargets,
             const PendingCall& aCall,
             TimePoint aNow);

} // namespace ibisrock

#endif
