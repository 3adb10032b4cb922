#include "entry/drain.h"

namespace ibisrock::entry {

namespace {

/// Time until the load balancer stops sending new connections. It checks readiness every second and removes an instance
/// after two failed checks; half a second is added for its own delay.
constexpr Micros kRotationDelay = Millis(2500);
/// Part of the stop time in which requests are accepted. The rest is for the accepted ones to end.
constexpr double kAcceptShare = 0.5;
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

Drain::~Drain()
{
  timers_.Cancel(nextCheck_);
}

void
Drain::Begin()
{
  if (begunAt_) {
    return;
  }
  begunAt_ = timers_.Now();
  server_.BeginDrain();
  Check();
}

void
Drain::Check()
{
  const Micros elapsed = timers_.Now() - *begunAt_;
  if (elapsed >= Scale(stopTime_, kAcceptShare)) {
    router_.RefuseNewRequests();
  }
  if (!expired_ && elapsed >= stopTime_ - kExpiryMargin) {
    expired_ = true;
    router_.ExpireAll();
  }
  // What was accepted last has until the next check to send its request.
  const bool isDone = IsDone(elapsed);
  if (elapsed >= kRotationDelay) {
    server_.CloseIdle();
    // A load balancer without another instance goes on sending connections. Once all accepted requests have ended, the
    // connections that would only be refused must not delay the exit.
    if (!server_.IsBusy() || (router_.IsRefusingNewRequests() && router_.RunCount() == 0)) {
      server_.StopAccepting();
    }
  }
  if (isDone) {
    onDone_();
    return;
  }
  nextCheck_ = timers_.After(kPollInterval, [this] { Check(); });
}

bool
Drain::IsDone(Micros aElapsed) const
{
  return (!server_.IsAccepting() && !server_.IsBusy()) || aElapsed >= stopTime_ - kExpiryMargin / 4;
}

} // namespace ibisrock::entry
