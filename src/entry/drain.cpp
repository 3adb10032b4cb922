#include "entry/drain.h"

namespace ibisrock::entry {

namespace {

/// The balancer asks each second and takes an instance out after two misses; half a second more for its own delay.
constexpr Micros kOutOfRotation = Millis(2500);
/// Time before the kill at which all that is still in flight is answered.
constexpr Micros kReserve = Millis(400);
constexpr Micros kCheckPeriod = Millis(20);

} // namespace

Drain::Drain(TimerService& aTimers,
             Router& aRouter,
             adapters::CallerServer& aServer,
             Micros aStopTime,
             std::function<void()> aOnDone)
  : timers_(aTimers)
  , router_(aRouter)
  , server_(aServer)
  , stopTime_(aStopTime)
  , onDone_(std::move(aOnDone))
{
}

void
Drain::Begin()
{
  if (begunAt_) {
    return;
  }
  begunAt_ = timers_.Now();
  server_.BeginDrain();
  timers_.After(kOutOfRotation, [this] { Check(); });
}

void
Drain::Check()
{
  const Micros elapsed = timers_.Now() - *begunAt_;
  server_.CloseIdle();
  if (!expired_ && elapsed >= stopTime_ - kReserve) {
    expired_ = true;
    router_.ExpireAll();
  }
  if (!server_.IsBusy() || elapsed >= stopTime_ - kReserve / 4) {
    onDone_();
    return;
  }
  timers_.After(kCheckPeriod, [this] { Check(); });
}

} // namespace ibisrock::entry
