#include "connection/replica_dispatcher.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

/// Each completed attempt has the weight 1 / kServiceTimeDivisor in the average service time.
constexpr int kServiceTimeDivisor = 8;
/// Connections lost within this time of each other count as one crash: the later attempt may have been sent to a
/// process that was already failing, so the crash is not attributed to that attempt alone.
constexpr Micros kLossWindow = Seconds(1);
/// Minimum in-flight count reported for a lost connection that cannot be attributed to a single attempt.
constexpr uint32_t kMinSharedLossCount = 2;
/// Interval of the health probes of a leaving target. It gets no attempts whose replies could report its new boot id.
constexpr Micros kProbeInterval = Seconds(1);

} // namespace

std::shared_ptr<ReplicaDispatcher>
ReplicaDispatcher::Create(TargetConfig aTarget, TimerService& aTimers, TargetClient& aClient, Observer aObserver)
{
  return std::shared_ptr<ReplicaDispatcher>(
    new ReplicaDispatcher(std::move(aTarget), aTimers, aClient, std::move(aObserver)));
}

ReplicaDispatcher::ReplicaDispatcher(TargetConfig aTarget,
                                     TimerService& aTimers,
                                     TargetClient& aClient,
                                     Observer aObserver)
  : target_(std::move(aTarget))
  , timers_(aTimers)
  , client_(aClient)
  , observer_(std::move(aObserver))
  , availability_(target_.slots_)
{
}

/// Caller must hold mutex_.
wire::SubReply
ReplicaDispatcher::MakeRefusal(const AttemptId& aId, Reason aReason) const
{
  wire::SubReply reply;
  reply.id_ = aId;
  reply.reply_.verdict_ = Verdict::NotRun;
  reply.reply_.reason_ = aReason;
  reply.queueLength_ = static_cast<uint32_t>(queue_.Size());
  return reply;
}

/// Caller must hold mutex_. Estimates the wait by taking one average service time for each attempt ahead, spread over
/// the slots that are open now. The attempt itself needs one more service time within its budget.
Reason
ReplicaDispatcher::RefusalReason(const wire::SubRequest& aRequest, TimePoint aNow) const
{
  if (aRequest.budget_ <= Micros::zero()) {
    return Reason::Expired;
  }
  const Reason reason = availability_.RefusalReason(aNow, running_.empty() && queue_.Size() == 0);
  if (reason != Reason::None) {
    return reason;
  }
  const uint32_t slots = availability_.SlotsAt(aNow);
  if (running_.size() + queue_.Size() < slots) {
    return Reason::None;
  }
  const auto ahead = static_cast<int64_t>(queue_.CountAhead(aRequest.caller_, aNow + aRequest.budget_));
  const Micros wait = serviceTime_ * (ahead + 1) / static_cast<int64_t>(std::max(slots, 1U));
  return wait + serviceTime_ > aRequest.budget_ ? Reason::Overloaded : Reason::None;
}

void
ReplicaDispatcher::Submit(const wire::SubRequest& aRequest, Callback aCallback)
{
  std::unique_lock lock(mutex_);
  const TimePoint now = timers_.Now();
  const Reason reason = RefusalReason(aRequest, now);
  if (reason != Reason::None) {
    const wire::SubReply refusal = MakeRefusal(aRequest.id_, reason);
    lock.unlock();
    aCallback(refusal);
    return;
  }
  queue_.Add({ aRequest, now, now + aRequest.budget_, std::move(aCallback) });
  lock.unlock();
  StartNext();
}

void
ReplicaDispatcher::Cancel(const AttemptId& aId)
{
  std::optional<WaitingAttempt> removed;
  wire::SubReply reply;
  {
    std::lock_guard lock(mutex_);
    removed = queue_.Remove(aId);
    if (!removed && !running_.contains(aId)) {
      return;
    }
    reply = MakeRefusal(aId, Reason::Cancelled);
  }
  if (removed) {
    reply.queueWait_ = timers_.Now() - removed->arrived_;
    removed->callback_(reply);
    // The removed attempt may have been a canary that blocked the attempts behind it.
    StartNext();
  } else {
    client_.Cancel(aId);
  }
}

DispatcherLoad
ReplicaDispatcher::Load() const
{
  std::lock_guard lock(mutex_);
  return { queue_.Size(), running_.size() };
}

bool
ReplicaDispatcher::IsIdle() const
{
  std::lock_guard lock(mutex_);
  return queue_.Size() == 0 && running_.empty();
}

/// Moves expired attempts from the queue to aRefused, or all attempts when the target takes no new work. Caller must
/// hold mutex_.
void
ReplicaDispatcher::RefuseWaiting(TimePoint aNow, std::vector<RefusedAttempt>& aRefused)
{
  for (WaitingAttempt& expired : queue_.TakeExpired(aNow)) {
    aRefused.push_back({ std::move(expired), Reason::Expired });
  }
  const Reason reason = availability_.RefusalReason(aNow, running_.empty());
  if (reason != Reason::None) {
    for (WaitingAttempt& waiting : queue_.TakeAll()) {
      aRefused.push_back({ std::move(waiting), reason });
    }
  }
}

/// Caller must hold mutex_. A canary runs alone: it waits until no attempt runs, and no later attempt starts before it.
bool
ReplicaDispatcher::CanStart(const WaitingAttempt& aNext, TimePoint aNow) const
{
  if (running_.empty()) {
    return true;
  }
  const bool canaryIsRunning = running_.size() == 1 && running_.begin()->second.alone_;
  return !aNext.request_.alone_ && !canaryIsRunning && running_.size() < availability_.SlotsAt(aNow);
}

/// Starts waiting attempts while slots are free and refuses those that can no longer run.
void
ReplicaDispatcher::StartNext()
{
  std::vector<RefusedAttempt> refused;
  std::vector<WaitingAttempt> started;
  std::vector<wire::SubReply> replies;
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = timers_.Now();
    RefuseWaiting(now, refused);
    for (const WaitingAttempt* next = queue_.Next(); next != nullptr && CanStart(*next, now); next = queue_.Next()) {
      started.push_back(queue_.TakeNext());
      const wire::SubRequest& request = started.back().request_;
      running_[request.id_] = { now, request.alone_, 0 };
    }
    for (const RefusedAttempt& entry : refused) {
      replies.push_back(MakeRefusal(entry.attempt_.request_.id_, entry.reason_));
      replies.back().queueWait_ = now - entry.attempt_.arrived_;
    }
  }
  for (size_t index = 0; index < refused.size(); index++) {
    refused[index].attempt_.callback_(replies[index]);
  }
  for (WaitingAttempt& attempt : started) {
    StartAttempt(std::move(attempt));
  }
}

void
ReplicaDispatcher::StartAttempt(WaitingAttempt aWaiting)
{
  const wire::SubRequest& request = aWaiting.request_;
  const TimePoint now = timers_.Now();
  const TargetAttempt attempt{ request.id_,
                               request.service_,
                               request.shard_,
                               request.target_,
                               target_.address_,
                               request.version_,
                               request.body_,
                               request.idempotent_,
                               aWaiting.deadline_ - now,
                               std::max(target_.connections_ / 2, 1U),
                               request.alone_ || !request.idempotent_ };
  const Micros waited = now - aWaiting.arrived_;
  // The reply needs only the id and the callback; clearing the body avoids a second copy while the attempt runs.
  aWaiting.request_.body_.clear();
  client_.Start(attempt, [self = shared_from_this(), waited, waiting = std::move(aWaiting)](TargetReply aReply) {
    self->OnReply(waiting, waited, std::move(aReply));
  });
}

void
ReplicaDispatcher::OnReply(const WaitingAttempt& aAttempt, Micros aWaited, TargetReply aReply)
{
  wire::SubReply reply;
  reply.id_ = aAttempt.request_.id_;
  reply.touchedTarget_ = true;
  reply.queueWait_ = aWaited;
  bool leaving = false;
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = timers_.Now();
    auto found = running_.find(reply.id_);
    if (aReply.reason_ == Reason::ConnectionLost) {
      reply.inFlightAtLoss_ = RecordLoss(found->second, now);
      if (aReply.lostKeptConnection_) {
        reply.inFlightAtLoss_ = std::max(reply.inFlightAtLoss_, kMinSharedLossCount);
      }
    } else if (aReply.verdict_ == Verdict::Ran) {
      const Micros elapsed = now - found->second.started_;
      serviceTime_ =
        serviceTime_ == Micros::zero() ? elapsed : serviceTime_ + (elapsed - serviceTime_) / kServiceTimeDivisor;
    }
    running_.erase(found);
    availability_.OnReply(aReply, now);
    leaving = availability_.IsLeaving() && !std::exchange(probing_, availability_.IsLeaving());
    reply.queueLength_ = static_cast<uint32_t>(queue_.Size());
  }
  reply.reply_ = std::move(aReply);
  if (observer_) {
    observer_(target_.name_, reply.reply_);
  }
  if (leaving) {
    ScheduleProbe();
  }
  StartNext();
  aAttempt.callback_(std::move(reply));
}

/// Returns the number of attempts that were in flight when the target lost its connections. Losses of one crash are
/// reported one after another, so the current size of running_ is too small for the later ones. Caller must hold
/// mutex_.
uint32_t
ReplicaDispatcher::RecordLoss(const RunningAttempt& aLost, TimePoint aNow)
{
  const auto inFlight = static_cast<uint32_t>(running_.size());
  const bool isSharedLoss = lastLoss_ && aNow - *lastLoss_ < kLossWindow;
  const uint32_t count = std::max({ inFlight, aLost.inFlightAtLoss_, isSharedLoss ? kMinSharedLossCount : 1U });
  for (auto& [id, running] : running_) {
    running.inFlightAtLoss_ = std::max(running.inFlightAtLoss_, inFlight);
  }
  lastLoss_ = aNow;
  return count;
}

void
ReplicaDispatcher::ScheduleProbe()
{
  timers_.After(kProbeInterval, [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->client_.Probe(self->target_.name_, self->target_.address_, [weak](const TargetReply& aReply) {
        if (auto probed = weak.lock()) {
          probed->OnHealth(aReply);
        }
      });
    }
  });
}

/// Stops probing when the health endpoint has reported a new boot id, which clears the leaving state; otherwise
/// schedules the next probe.
void
ReplicaDispatcher::OnHealth(const TargetReply& aReply)
{
  {
    std::lock_guard lock(mutex_);
    availability_.OnHealth(aReply, timers_.Now());
    probing_ = availability_.IsLeaving();
    if (!probing_) {
      return;
    }
  }
  ScheduleProbe();
}

} // namespace ibisrock
