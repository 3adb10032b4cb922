#include "process/wait_estimate.h"

#include <algorithm>

namespace ibisrock {

namespace {

constexpr double kMicrosPerSecond = 1e6;

/// Whether the target is expected to end calls in time. Targets pause for a while and then go on; one that has been
/// silent for longer than the call has left is not counted on.
bool
IsOfUse(const Target& aTarget, const PendingCall& aCall, TimePoint aNow)
{
  return !aTarget.IsRemoved() && !aTarget.IsBackingOff(aNow) && aNow + aTarget.OldestCallAge(aNow) < aCall.deadline_;
}

/// Calls a second that the targets end for this instance, by their allowances and the times of their replies.
double
CallsPerSecond(std::span<const TargetPtr> aTargets, const PendingCall& aCall, TimePoint aNow)
{
  double rate = 0;
  for (const TargetPtr& target : aTargets) {
    if (IsOfUse(*target, aCall, aNow)) {
      const double time =
        static_cast<double>(std::max<Micros::rep>(aCall.meanLatency_.count(), 1)) * target->ReplyLatencyRatio(aNow);
      rate += target->InFlightLimit() * kMicrosPerSecond / time;
    }
  }
  return rate;
}

/// Time in which so many calls find room at a rate in calls a second.
Micros
TimeFor(size_t aCalls, double aRate)
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
  const double rate = CallsPerSecond(aTargets, aCall, aNow);
  if (rate <= 0) {
    return {};
  }
  const PendingCallQueue::CallsAhead ahead = aQueue.CountCallsAhead(aCall.position_, aCall.priority_, aNow);
  const Micros inTime = TimeFor(ahead.inTime_ + 1, rate) + aCall.meanLatency_;
  const Micros interval = TimeFor(1, rate);
  if (aNow + inTime <= aCall.objectiveEnds_) {
    return { inTime, interval };
  }
  // In an overload a late call also lets pass those that arrive after it and can still be in time.
  const double spare = aQueue.IsOverloaded(aNow) ? rate - aQueue.ArrivalsPerSecond(aNow) : rate;
  if (spare <= 0) {
    return { std::nullopt, interval };
  }
  return { TimeFor(ahead.inTime_ + ahead.late_ + 1, spare) + aCall.meanLatency_, interval };
}

} // namespace ibisrock
