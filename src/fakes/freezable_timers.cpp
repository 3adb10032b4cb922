#include "fakes/freezable_timers.h"

#include <utility>

namespace ibisrock::fakes {

TimerId
FreezableTimers::After(Micros aDelay, Callback aCallback)
{
  return timers_.After(aDelay, [this, callback = std::move(aCallback)] { Run(callback); });
}

void
FreezableTimers::Run(Callback aCallback)
{
  {
    std::lock_guard lock(mutex_);
    if (stopped_) {
      return;
    }
    if (frozen_) {
      waiting_.push_back(std::move(aCallback));
      return;
    }
  }
  aCallback();
}

void
FreezableTimers::SetFrozen(bool aFrozen)
{
  std::vector<Callback> waiting;
  {
    std::lock_guard lock(mutex_);
    frozen_ = aFrozen;
    if (!aFrozen) {
      waiting = std::exchange(waiting_, {});
    }
  }
  for (const Callback& callback : waiting) {
    callback();
  }
}

void
FreezableTimers::Stop()
{
  std::lock_guard lock(mutex_);
  stopped_ = true;
  waiting_.clear();
}

} // namespace ibisrock::fakes
