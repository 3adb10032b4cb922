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

/// Attempts that a dispatcher has at hand.
struct DispatcherLoad
{
  size_t waiting_ = 0;
  size_t running_ = 0;
};

/// Runs all attempts of one owned replica within its slots. An attempt that cannot run in time is refused at once, so
/// that it can be tried elsewhere. Thread-safe.
class ReplicaDispatcher : public std::enable_shared_from_this<ReplicaDispatcher>
{
public:
  using Callback = AttemptSender::Callback;
  /// Is told each outcome of an attempt that was sent to the target.
  using Observer = std::function<void(const TargetName&, const TargetReply&)>;

  static std::shared_ptr<ReplicaDispatcher> Create(TargetConfig aTarget,
                                                   TimerService& aTimers,
                                                   TargetClient& aClient,
                                                   Observer aObserver = nullptr);

  /// Runs the attempt now or when a slot is free, or refuses it with NotRun. aCallback is called exactly once.
  void Submit(const wire::SubRequest& aRequest, Callback aCallback);
  /// Drops a waiting attempt or asks the target to stop a running one.
  void Cancel(const AttemptId& aId);
  /// True when no attempt waits or runs.
  bool IsIdle() const;
  DispatcherLoad Load() const;

private:
  struct Running
  {
    TimePoint started_;
    bool alone_ = false;
    /// Attempts in flight when another one lost its connection, this one included; 0 when none did.
    uint32_t inFlightAtLoss_ = 0;
  };
  struct Refused
  {
    WaitingAttempt attempt_;
    Reason reason_ = Reason::None;
  };

  ReplicaDispatcher(TargetConfig aTarget, TimerService& aTimers, TargetClient& aClient, Observer aObserver);

  Reason RefusalReason(const wire::SubRequest& aRequest, TimePoint aNow) const;
  void RefuseWaiting(TimePoint aNow, std::vector<Refused>& aRefused);
  bool MayStart(const WaitingAttempt& aNext, TimePoint aNow) const;
  void StartNext();
  void StartAttempt(WaitingAttempt aWaiting);
  void OnReply(const WaitingAttempt& aAttempt, Micros aWaited, TargetReply aReply);
  uint32_t NoteLoss(const Running& aLost, TimePoint aNow);
  void ProbeLater();
  void OnHealth(const TargetReply& aReply);
  wire::SubReply Refusal(const AttemptId& aId, Reason aReason) const;

  const TargetConfig target_;
  TimerService& timers_;
  TargetClient& client_;
  const Observer observer_;

  mutable std::mutex mutex_;
  AttemptQueue queue_;
  std::map<AttemptId, Running> running_;
  TargetAvailability availability_;
  /// Moving average of the time that complete attempts took on the target; zero until the first one.
  Micros serviceTime_{};
  std::optional<TimePoint> lastLoss_;
  bool probing_ = false;
};

} // namespace ibisrock

#endif
