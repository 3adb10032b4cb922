#ifndef IBISROCK_FAKES_FREEZABLE_TIMERS_H
#define IBISROCK_FAKES_FREEZABLE_TIMERS_H

#include "base/timer_service.h"

#include <mutex>
#include <vector>

namespace ibisrock::fakes {

/// The timers of one instance that can be stopped like a paused process: what falls due waits until it resumes.
class FreezableTimers final : public TimerService
{
public:
  explicit FreezableTimers(TimerService& aTimers)
    : timers_(aTimers)
  {
  }

  TimePoint Now() const override { return timers_.Now(); }
  TimerId After(Micros aDelay, Callback aCallback) override;
  void Cancel(TimerId aId) override { timers_.Cancel(aId); }

  /// Runs the waiting callbacks, in order, when aFrozen is false.
  void SetFrozen(bool aFrozen);
  /// Drops every callback from now on, as the end of a process does.
  void Stop();

private:
  void Run(Callback aCallback);

  TimerService& timers_;
  std::mutex mutex_;
  bool frozen_ = false;
  bool stopped_ = false;
  std::vector<Callback> waiting_;
};

} // namespace ibisrock::fakes

#endif
