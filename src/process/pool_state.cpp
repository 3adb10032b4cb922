#include "process/pool_state.h"

namespace ibisrock {

RoomQueue::Position
RoomQueue::Add(unsigned aPriority, TryAgain aTryAgain)
{
  Position position{ aPriority, ++lastNumber_ };
  waiting_.emplace(position, std::move(aTryAgain));
  return position;
}

void
RoomQueue::OnRoom()
{
  while (!waiting_.empty()) {
    // The call is taken out before it tries, because its run may end or change the queue.
    auto first = waiting_.extract(waiting_.begin());
    if (!first.mapped()()) {
      waiting_.insert(std::move(first));
      return;
    }
  }
}

} // namespace ibisrock
