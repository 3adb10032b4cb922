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

RoomQueue::Position
RoomQueue::Add(TimePoint aNow, unsigned aPriority, TimePoint aObjectiveEnds, TryAgain aTryAgain)
{
  CountArrival(aNow);
  Position position{ aPriority, ++lastNumber_ };
  waiting_.emplace(position, Waiting{ aObjectiveEnds, std::move(aTryAgain) });
  return position;
}

/// The first call that is not late yet, otherwise the first of all.
RoomQueue::Calls::iterator
RoomQueue::First(TimePoint aNow)
{
  auto fresh = std::find_if(
    waiting_.begin(), waiting_.end(), [aNow](const auto& aCall) { return aCall.second.objectiveEnds_ > aNow; });
  return fresh == waiting_.end() ? waiting_.begin() : fresh;
}

void
RoomQueue::CountArrival(TimePoint aNow)
{
  if (aNow - lastArrival_ > kLongestBurst) {
    lateSince_.reset();
  }
  arrivals_ = arrivals_ * Remaining(aNow - lastArrival_) + 1;
  lastArrival_ = aNow;
}

RoomQueue::Ahead
RoomQueue::AheadOf(std::optional<Position> aPosition, unsigned aPriority, TimePoint aNow) const
{
  const Position position = aPosition.value_or(Position{ aPriority, std::numeric_limits<uint64_t>::max() });
  Ahead ahead;
  for (auto call = waiting_.begin(); call != waiting_.end() && call->first < position; ++call) {
    (call->second.objectiveEnds_ > aNow ? ahead.inTime_ : ahead.late_)++;
  }
  return ahead;
}

double
RoomQueue::ArrivalsPerSecond(TimePoint aNow) const
{
  const double memory = std::chrono::duration<double>(kArrivalMemory).count();
  return arrivals_ * Remaining(aNow - lastArrival_) / memory;
}

bool
RoomQueue::IsOverloaded(TimePoint aNow) const
{
  return lateSince_ && aNow - *lateSince_ > kLongestBurst && aNow - lastArrival_ <= kLongestBurst;
}

void
RoomQueue::NoteLateCalls(TimePoint aNow)
{
  if (!lateSince_ && std::any_of(waiting_.begin(), waiting_.end(), [aNow](const auto& aCall) {
        return aCall.second.objectiveEnds_ <= aNow;
      })) {
    lateSince_ = aNow;
  }
}

void
RoomQueue::OnRoom(TimePoint aNow)
{
  NoteLateCalls(aNow);
  while (!waiting_.empty()) {
    // The call is taken out before it tries, because its run may end or change the queue.
    auto first = waiting_.extract(First(aNow));
    if (!first.mapped().tryAgain_()) {
      waiting_.insert(std::move(first));
      return;
    }
  }
}

} // namespace ibisrock
