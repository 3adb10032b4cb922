#include "process/pool_state.h"

#include <algorithm>
#include <cmath>

namespace ibisrock {

namespace {

/// Age at which an arrival counts 1/e. Short, so that the calls of a burst are soon taken as past.
constexpr Micros kArrivalMemory = Millis(100);
/// Late calls that wait for longer than this are not the tail of a burst. Pauses of targets and most bursts are
/// shorter.
constexpr Micros kLongestBurst = Millis(300);

/// Weight that is left of arrivals after aElapsed.
double
Remaining(Micros aElapsed)
{
  return std::exp(-static_cast<double>(aElapsed.count()) / static_cast<double>(kArrivalMemory.count()));
}

} // namespace

PendingCallQueue::Position
PendingCallQueue::Add(TimePoint aNow, unsigned aPriority, TimePoint aObjectiveEnds, DispatchCallback aDispatch)
{
  CountArrival(aNow);
  Position position{ aPriority, ++lastNumber_ };
  waiting_.emplace(position, Waiting{ aObjectiveEnds, std::move(aDispatch) });
  return position;
}

/// The first call that is not late yet, otherwise the first of all.
PendingCallQueue::Calls::iterator
PendingCallQueue::First(TimePoint aNow)
{
  auto fresh = std::find_if(
    waiting_.begin(), waiting_.end(), [aNow](const auto& aCall) { return aCall.second.objectiveEnds_ > aNow; });
  return fresh == waiting_.end() ? waiting_.begin() : fresh;
}

void
PendingCallQueue::CountArrival(TimePoint aNow)
{
  if (aNow - lastArrival_ > kLongestBurst) {
    lateSince_.reset();
  }
  arrivals_ = arrivals_ * Remaining(aNow - lastArrival_) + 1;
  lastArrival_ = aNow;
}

PendingCallQueue::CallsAhead
PendingCallQueue::CountCallsAhead(std::optional<Position> aPosition, unsigned aPriority, TimePoint aNow) const
{
  const Position position = aPosition.value_or(Position{ aPriority, std::numeric_limits<uint64_t>::max() });
  CallsAhead ahead;
  for (auto call = waiting_.begin(); call != waiting_.end() && call->first < position; ++call) {
    (call->second.objectiveEnds_ > aNow ? ahead.inTime_ : ahead.late_)++;
  }
  return ahead;
}

double
PendingCallQueue::ArrivalsPerSecond(TimePoint aNow) const
{
  const double memory = std::chrono::duration<double>(kArrivalMemory).count();
  return arrivals_ * Remaining(aNow - lastArrival_) / memory;
}

bool
PendingCallQueue::IsOverloaded(TimePoint aNow) const
{
  return lateSince_ && aNow - *lateSince_ > kLongestBurst && aNow - lastArrival_ <= kLongestBurst;
}

void
PendingCallQueue::NoteLateCalls(TimePoint aNow)
{
  if (!lateSince_ && std::any_of(waiting_.begin(), waiting_.end(), [aNow](const auto& aCall) {
        return aCall.second.objectiveEnds_ <= aNow;
      })) {
    lateSince_ = aNow;
  }
}

void
PendingCallQueue::OnCapacityAvailable(TimePoint aNow)
{
  NoteLateCalls(aNow);
  while (!waiting_.empty()) {
    // The call is taken out before it tries, because its run may end or change the queue.
    auto first = waiting_.extract(First(aNow));
    if (!first.mapped().dispatch_()) {
      waiting_.insert(std::move(first));
      return;
    }
  }
}

} // namespace ibisrock
