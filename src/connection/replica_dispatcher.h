#ifndef IBISROCK_CONNECTION_REPLICA_DISPATCHER_H
#define IBISROCK_CONNECTION_REPLICA_DISPATCHER_H

#include "base/target_client.h"
#include "base/timer_service.h"
#include "request/attempt_sender.h"
#include "version/configuration.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace ibisrock {

/// Runs all attempts of one owned replica within its slots. Thread-safe.
class ReplicaDispatcher : public std::enable_shared_from_this<ReplicaDispatcher>
{
public:
  using Callback = AttemptSender::Callback;

  static std::shared_ptr<ReplicaDispatcher> Create(TargetConfig aTarget, TimerService& aTimers, TargetClient& aClient);

  /// Runs the attempt now or when a slot is free. aCallback is called exactly once.
  void Submit(const wire::SubRequest& aRequest, Callback aCallback);
  /// Drops a waiting attempt or asks the target to stop a running one.
  void Cancel(const AttemptId& aId);
  /// True when no attempt waits or runs.
  bool IsIdle() const;

private:
  struct Waiting
  {
    wire::SubRequest request_;
    TimePoint arrived_;
    TimePoint deadline_;
    Callback callback_;
  };

  ReplicaDispatcher(TargetConfig aTarget, TimerService& aTimers, TargetClient& aClient);

  void StartNext();
  void StartAttempt(Waiting aWaiting);

  const TargetConfig target_;
  TimerService& timers_;
  TargetClient& client_;

  mutable std::mutex mutex_;
  std::deque<Waiting> queue_;
  std::map<AttemptId, TimePoint> running_;
};

} // namespace ibisrock

#endif
