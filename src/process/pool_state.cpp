#include "process/pool_state.h"

#include <algorithm>

namespace ibisrock {

RoomQueue::Position
RoomQueue::Add(unsigned aPriority, TimePoint aObjectiveEnds, TryAgain aTryAgain)
{
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
RoomQueue::OnRoom(TimePoint aNow)
{
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
