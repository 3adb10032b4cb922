#include "entry/drain.h"

namespace ibisrock::entry {

namespace {

/// Time until the load balancer stops sending new connections. It checks readiness every second and removes an instance
/// after two failed checks; half a second is added for its own delay.
constexpr Micros kRotationDelay = Millis(2500);
/// Requests still in flight this long before the process is killed are expired and answered.
constexpr Micros kExpiryMargin = Millis(400);
constexpr Micros kPollInterval = Millis(20);

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
  timers_.After(kRotationDelay, [this] { Check(); });
}

void
Drain::Check()
{
  const Micros elapsed = timers_.Now() - *begunAt_;
  server_.CloseIdle();
  if (!expired_ && elapsed >= stopTime_ - kExpiryMargin) {
    expired_ = true;
    router_.ExpireAll();
  }
  if (!server_.IsBusy() || elapsed >= stopTime_ - kExpiryMargin / 4) {
    onDone_();
    return;
  }
  timers_.After(kPollInterval, [this] { Check(); });
}

} // namespace ibisrock::entry
