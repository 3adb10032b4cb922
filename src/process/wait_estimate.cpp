#include "process/wait_estimate.h"

#include <algorithm>

namespace ibisrock {

namespace {

constexpr double kMicrosPerSecond = 1e6;

/// Whether the target is expected to complete calls before the deadline. Targets pause for a while and then resume; a
/// target that has been silent for longer than the call has left does not count.
bool
IsExpectedToReply(const Target& aTarget, const PendingCall& aCall, TimePoint aNow)
{
  return !aTarget.IsRemoved() && !aTarget.HasLeft(aNow) && !aTarget.IsBackingOff(aNow) &&
         aTarget.PauseEnd() < aCall.deadline_ && aNow + aTarget.OldestCallAge(aNow) < aCall.deadline_;
}

/// Calls per second that the targets complete for this instance, derived from their concurrency limits and reply times.
double
CompletionRate(std::span<const TargetPtr> aTargets, const PendingCall& aCall, TimePoint aNow)
{
  double rate = 0;
  for (const TargetPtr& target : aTargets) {
    if (IsExpectedToReply(*target, aCall, aNow)) {
      const double time =
        static_cast<double>(std::max<Micros::rep>(aCall.meanLatency_.count(), 1)) * target->ReplyLatencyRatio(aNow);
      rate += target->InFlightLimit() * kMicrosPerSecond / time;
    }
  }
  return rate;
}

/// Time in which aCalls are dispatched at aRate calls per second.
Micros
TimeToDispatch(size_t aCalls, double aRate)
{
  return Micros(static_cast<Micros::rep>(static_cast<double>(aCalls) * kMicrosPerSecond / aRate));
}

} // namespace

WaitEstimate
EstimateWait(const PendingCallQueue& aQueue,
             std::span<const TargetPtr> aTargets,
             const PendingCall& aCall,
             TimePoint aNow)
{
  const double rate = CompletionRate(aTargets, aCall, aNow);
  if (rate <= 0) {
    return {};
  }
  const PendingCallQueue::CallsAhead ahead = aQueue.CountCallsAhead(aCall.position_, aCall.priority_, aNow);
  const Micros inTime = TimeToDispatch(ahead.inTime_ + 1, rate) + aCall.meanLatency_;
  const Micros interval = TimeToDispatch(1, rate);
  if (aNow + inTime <= aCall.objectiveEnds_) {
    return { inTime, interval };
  }
  // In an overload, later arrivals that can still meet their objective also overtake a late call.
  const double spareRate = aQueue.IsOverloaded(aNow) ? rate - aQueue.ArrivalsPerSecond(aNow) : rate;
  if (spareRate <= 0) {
    return { std::nullopt, interval };
  }
  return { TimeToDispatch(ahead.inTime_ + ahead.late_ + 1, spareRate) + aCall.meanLatency_, interval };
}

} // namespace ibisrock
