#ifndef IBISROCK_ENTRY_DRAIN_H
#define IBISROCK_ENTRY_DRAIN_H

#include "adapters/caller_server.h"
#include "base/timer_service.h"
#include "process/router.h"

#include <functional>

namespace ibisrock::entry {

/// Graceful shutdown of a process. Reports the process as not ready and keeps serving until the load balancer has
/// removed it from rotation. Requests that come after half of the stop time are refused as not run, so that those that
/// were accepted end before the process does, at any load. Completes when no request is in flight, or shortly before
/// the stop time elapses.
class Drain
{
public:
  Drain(TimerService& aTimers,
        Router& aRouter,
        adapters::CallerServer& aServer,
        Micros aStopTime,
        std::function<void()> aOnDone);
  ~Drain();

  Drain(const Drain&) = delete;
  Drain& operator=(const Drain&) = delete;

  void Begin();
  /// Applies to a drain that is in progress as well as to a later one.
  void SetStopTime(Micros aStopTime) { stopTime_ = aStopTime; }
  bool HasBegun() const { return begunAt_.has_value(); }

private:
  void Check();
  bool IsDone(Micros aElapsed) const;

  TimerService& timers_;
  Router& router_;
  adapters::CallerServer& server_;
  Micros stopTime_;
  const std::function<void()> onDone_;
  std::optional<TimePoint> begunAt_;
  bool expired_ = false;
  TimerId nextCheck_;
};

} // namespace ibisrock::entry

#endif
