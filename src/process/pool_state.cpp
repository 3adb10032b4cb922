#include "process/pool_state.h"

#include <algorithm>
#include <cmath>

namespace ibisrock {

namespace {

/// Time constant of the decay of arrivals. Short, so that the arrivals of a burst soon stop counting.
constexpr Micros kArrivalDecayTime = Millis(100);
/// Late calls that persist for longer than this indicate an overload. Pauses of targets and most bursts are shorter.
constexpr Micros kMaxBurstDuration = Millis(300);

/// Factor by which the weight of arrivals has decayed after aElapsed.
double
DecayFactor(Micros aElapsed)
{
  return std::exp(-static_cast<double>(aElapsed.count()) / static_cast<double>(kArrivalDecayTime.count()));
}

} // namespace

PendingCallQueue::Position
PendingCallQueue::Add(TimePoint aNow, unsigned aPriority, TimePoint aObjectiveEnds, DispatchCallback aDispatch)
{
  CountArrival(aNow);
  Position position{ aPriority, ++lastSequence_ };
  calls_.emplace(position, Entry{ aObjectiveEnds, std::move(aDispatch) });
  return position;
}

/// Returns the first call that is not late, or the first one if all are late.
PendingCallQueue::Calls::iterator
PendingCallQueue::NextCall(TimePoint aNow)
{
  auto inTime = std::find_if(
    calls_.begin(), calls_.end(), [aNow](const auto& aCall) { return aCall.second.objectiveEnds_ > aNow; });
  return inTime == calls_.end() ? calls_.begin() : inTime;
}

void
PendingCallQueue::CountArrival(TimePoint aNow)
{
  if (aNow - lastArrival_ > kMaxBurstDuration) {
    lateSince_.reset();
  }
  decayedArrivals_ = decayedArrivals_ * DecayFactor(aNow - lastArrival_) + 1;
  lastArrival_ = aNow;
}

PendingCallQueue::CallsAhead
PendingCallQueue::CountCallsAhead(std::optional<Position> aPosition, unsigned aPriority, TimePoint aNow) const
{
  const Position position = aPosition.value_or(Position{ aPriority, std::numeric_limits<uint64_t>::max() });
  CallsAhead ahead;
  for (auto call = calls_.begin(); call != calls_.end() && call->first < position; ++call) {
    (call->second.objectiveEnds_ > aNow ? ahead.inTime_ : ahead.late_)++;
  }
  return ahead;
}

double
PendingCallQueue::ArrivalsPerSecond(TimePoint aNow) const
{
  const double decaySeconds = std::chrono::duration<double>(kArrivalDecayTime).count();
  return decayedArrivals_ * DecayFactor(aNow - lastArrival_) / decaySeconds;
}

bool
PendingCallQueue::IsOverloaded(TimePoint aNow) const
{
  return lateSince_ && aNow - *lateSince_ > kMaxBurstDuration && aNow - lastArrival_ <= kMaxBurstDuration;
}

void
PendingCallQueue::RecordLateCalls(TimePoint aNow)
{
  if (!lateSince_ && std::any_of(calls_.begin(), calls_.end(), [aNow](const auto& aCall) {
        return aCall.second.objectiveEnds_ <= aNow;
      })) {
    lateSince_ = aNow;
  }
}

void
PendingCallQueue::OnCapacityAvailable(TimePoint aNow)
{
  RecordLateCalls(aNow);
  while (!calls_.empty()) {
    // The call is removed before it is dispatched, because the dispatch may end its run or change the queue.
    auto next = calls_.extract(NextCall(aNow));
    if (!next.mapped().dispatch_()) {
      calls_.insert(std::move(next));
      return;
    }
  }
}

} // namespace ibisrock
