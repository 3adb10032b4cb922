#ifndef IBISROCK_CONNECTION_REPLICA_DISPATCHER_H
#define IBISROCK_CONNECTION_REPLICA_DISPATCHER_H

#include "base/target_client.h"
#include "base/timer_service.h"
#include "connection/attempt_queue.h"
#include "connection/target_availability.h"
#include "version/configuration.h"

#include <map>
#include <memory>
#include <mutex>

namespace ibisrock {

/// Numbers of waiting and running attempts of a dispatcher.
struct DispatcherLoad
{
  size_t waiting_ = 0;
  size_t running_ = 0;
};

/// Queues and runs all attempts of one owned replica, at most as many at a time as the replica has slots. An attempt
/// that cannot finish within its budget is refused immediately, so that it can be sent to another replica. Thread-safe.
class ReplicaDispatcher : public std::enable_shared_from_this<ReplicaDispatcher>
{
public:
  using Callback = AttemptSender::Callback;
  /// Called with the outcome of each attempt that was sent to the target.
  using Observer = std::function<void(const TargetName&, const TargetReply&)>;

  static std::shared_ptr<ReplicaDispatcher> Create(TargetConfig aTarget,
                                                   TimerService& aTimers,
                                                   TargetClient& aClient,
                                                   Observer aObserver = nullptr);

  /// Starts the attempt now or when a slot is free, or refuses it with Verdict::NotRun. aCallback is called exactly
  /// once.
  void Submit(const wire::SubRequest& aRequest, Callback aCallback);
  /// Removes a waiting attempt or asks the target to stop a running one.
  void Cancel(const AttemptId& aId);
  /// True when no attempt waits or runs.
  bool IsIdle() const;
  DispatcherLoad Load() const;

private:
  struct RunningAttempt
  {
    TimePoint started_;
    /// The attempt is a canary.
    bool alone_ = false;
    /// Number of attempts in flight, including this one, when another attempt lost its connection; 0 when none did.
    uint32_t inFlightAtLoss_ = 0;
  };
  struct RefusedAttempt
  {
    WaitingAttempt attempt_;
    Reason reason_ = Reason::None;
  };

  ReplicaDispatcher(TargetConfig aTarget, TimerService& aTimers, TargetClient& aClient, Observer aObserver);

  Reason RefusalReason(const wire::SubRequest& aRequest, TimePoint aNow) const;
  void RefuseWaiting(TimePoint aNow, std::vector<RefusedAttempt>& aRefused);
  bool CanStart(const WaitingAttempt& aNext, TimePoint aNow) const;
  void StartNext();
  void StartAttempt(WaitingAttempt aWaiting);
  void OnReply(const WaitingAttempt& aAttempt, Micros aWaited, TargetReply aReply);
  uint32_t RecordLoss(const RunningAttempt& aLost, TimePoint aNow);
  void ScheduleProbe();
  void OnHealth(const TargetReply& aReply);
  wire::SubReply MakeRefusal(const AttemptId& aId, Reason aReason) const;

  const TargetConfig target_;
  TimerService& timers_;
  TargetClient& client_;
  const Observer observer_;

  mutable std::mutex mutex_;
  AttemptQueue queue_;
  std::map<AttemptId, RunningAttempt> running_;
  TargetAvailability availability_;
  /// Moving average of the time that completed attempts took on the target; zero until the first one completes.
  Micros serviceTime_{};
  std::optional<TimePoint> lastLoss_;
  bool probing_ = false;
};

} // namespace ibisrock

#endif
