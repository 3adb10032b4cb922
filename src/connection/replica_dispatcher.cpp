#include "connection/replica_dispatcher.h"

#include <algorithm>
#include <optional>

namespace ibisrock {

namespace {

wire::SubReply
Refusal(const AttemptId& aId, Reason aReason)
{
  wire::SubReply reply;
  reply.id_ = aId;
  reply.reply_.verdict_ = Verdict::NotRun;
  reply.reply_.reason_ = aReason;
  return reply;
}

} // namespace

std::shared_ptr<ReplicaDispatcher>
ReplicaDispatcher::Create(TargetConfig aTarget, TimerService& aTimers, TargetClient& aClient)
{
  return std::shared_ptr<ReplicaDispatcher>(new ReplicaDispatcher(std::move(aTarget), aTimers, aClient));
}

ReplicaDispatcher::ReplicaDispatcher(TargetConfig aTarget, TimerService& aTimers, TargetClient& aClient)
  : target_(std::move(aTarget))
  , timers_(aTimers)
  , client_(aClient)
{
}

void
ReplicaDispatcher::Submit(const wire::SubRequest& aRequest, Callback aCallback)
{
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = timers_.Now();
    queue_.push_back({ aRequest, now, now + aRequest.budget_, std::move(aCallback) });
  }
  StartNext();
}

void
ReplicaDispatcher::Cancel(const AttemptId& aId)
{
  Callback dropped;
  {
    std::lock_guard lock(mutex_);
    auto waiting = std::find_if(
      queue_.begin(), queue_.end(), [&aId](const Waiting& aWaiting) { return aWaiting.request_.id_ == aId; });
    if (waiting != queue_.end()) {
      dropped = std::move(waiting->callback_);
      queue_.erase(waiting);
    } else if (!running_.contains(aId)) {
      return;
    }
  }
  if (dropped) {
    dropped(Refusal(aId, Reason::Cancelled));
  } else {
    client_.Cancel(aId);
  }
}

bool
ReplicaDispatcher::IsIdle() const
{
  std::lock_guard lock(mutex_);
  return queue_.empty() && running_.empty();
}

/// Starts waiting attempts while slots are free; attempts that expired while waiting are refused.
void
ReplicaDispatcher::StartNext()
{
  while (true) {
    std::optional<Waiting> next;
    bool expired = false;
    {
      std::lock_guard lock(mutex_);
      if (queue_.empty()) {
        return;
      }
      const TimePoint now = timers_.Now();
      expired = queue_.front().deadline_ <= now;
      if (!expired && running_.size() >= target_.slots_) {
        return;
      }
      next = std::move(queue_.front());
      queue_.pop_front();
      if (!expired) {
        running_.emplace(next->request_.id_, now);
      }
    }
    if (expired) {
      next->callback_(Refusal(next->request_.id_, Reason::Expired));
    } else {
      StartAttempt(std::move(*next));
    }
  }
}

void
ReplicaDispatcher::StartAttempt(Waiting aWaiting)
{
  const wire::SubRequest& request = aWaiting.request_;
  const TimePoint now = timers_.Now();
  const TargetAttempt attempt{ request.id_,     request.service_,    request.shard_,
                               request.target_, target_.address_,    request.version_,
                               request.body_,   request.idempotent_, aWaiting.deadline_ - now };
  const Micros waited = now - aWaiting.arrived_;
  client_.Start(attempt,
                [self = shared_from_this(), id = request.id_, waited, callback = std::move(aWaiting.callback_)](
                  TargetReply aReply) {
                  wire::SubReply reply;
                  reply.id_ = id;
                  reply.reply_ = std::move(aReply);
                  reply.touchedTarget_ = true;
                  reply.queueWait_ = waited;
                  {
                    std::lock_guard lock(self->mutex_);
                    if (reply.reply_.reason_ == Reason::ConnectionLost) {
                      reply.inFlightAtLoss_ = static_cast<uint32_t>(self->running_.size());
                    }
                    self->running_.erase(id);
                    reply.queueLength_ = static_cast<uint32_t>(self->queue_.size());
                  }
                  self->StartNext();
                  callback(reply);
                });
}

} // namespace ibisrock
