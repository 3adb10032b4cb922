#include "connection/replica_dispatcher.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

/// Weight of the newest attempt in the average service time is one in kServiceTimeShare.
constexpr int kServiceTimeShare = 8;
/// Connections lost within this time of each other count as one crash: the later attempt may have been sent to a
/// process that was already failing, so it does not get the blame alone.
constexpr Micros kLossWindow = Seconds(1);
/// Reported as in flight at a loss that cannot be blamed on one attempt alone.
constexpr uint32_t kSharedLoss = 2;
/// Time between looks at the health endpoint of a leaving target, which gets no work that could show its new boot id.
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

/// Needs the lock.
wire::SubReply
ReplicaDispatcher::Refusal(const AttemptId& aId, Reason aReason) const
{
  wire::SubReply reply;
  reply.id_ = aId;
  reply.reply_.verdict_ = Verdict::NotRun;
  reply.reply_.reason_ = aReason;
  reply.queueLength_ = static_cast<uint32_t>(queue_.Size());
  return reply;
}

/// Needs the lock. The expected wait is an estimate: it takes each attempt ahead as one average service time on one of
/// the slots that are open now. The attempt itself needs one more to be of use to its caller.
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
    const wire::SubReply refusal = Refusal(aRequest.id_, reason);
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
  std::optional<WaitingAttempt> dropped;
  wire::SubReply reply;
  {
    std::lock_guard lock(mutex_);
    dropped = queue_.Remove(aId);
    if (!dropped && !running_.contains(aId)) {
      return;
    }
    reply = Refusal(aId, Reason::Cancelled);
  }
  if (dropped) {
    reply.queueWait_ = timers_.Now() - dropped->arrived_;
    dropped->callback_(reply);
    // The dropped attempt may have been a canary that held the others back.
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

/// Takes out of the queue what expired, and everything when the target takes no new work. Needs the lock.
void
ReplicaDispatcher::RefuseWaiting(TimePoint aNow, std::vector<Refused>& aRefused)
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

/// Needs the lock. A canary runs alone: it waits until nothing runs, and nothing overtakes it meanwhile.
bool
ReplicaDispatcher::MayStart(const WaitingAttempt& aNext, TimePoint aNow) const
{
  if (running_.empty()) {
    return true;
  }
  const bool canaryRuns = running_.size() == 1 && running_.begin()->second.alone_;
  return !aNext.request_.alone_ && !canaryRuns && running_.size() < availability_.SlotsAt(aNow);
}

/// Starts waiting attempts while slots are free and refuses those that can no longer run.
void
ReplicaDispatcher::StartNext()
{
  std::vector<Refused> refused;
  std::vector<WaitingAttempt> started;
  std::vector<wire::SubReply> replies;
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = timers_.Now();
    RefuseWaiting(now, refused);
    for (const WaitingAttempt* next = queue_.Next(); next != nullptr && MayStart(*next, now); next = queue_.Next()) {
      started.push_back(queue_.TakeNext());
      const wire::SubRequest& request = started.back().request_;
      running_[request.id_] = { now, request.alone_, 0 };
    }
    for (const Refused& entry : refused) {
      replies.push_back(Refusal(entry.attempt_.request_.id_, entry.reason_));
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
  // Only the id, the callback and the canary mark are needed after the start; the body is not kept twice.
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
      reply.inFlightAtLoss_ = NoteLoss(found->second, now);
      if (aReply.lostKeptConnection_) {
        reply.inFlightAtLoss_ = std::max(reply.inFlightAtLoss_, kSharedLoss);
      }
    } else if (aReply.verdict_ == Verdict::Ran) {
      const Micros took = now - found->second.started_;
      serviceTime_ = serviceTime_ == Micros::zero() ? took : serviceTime_ + (took - serviceTime_) / kServiceTimeShare;
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
    ProbeLater();
  }
  StartNext();
  aAttempt.callback_(std::move(reply));
}

/// Counts the attempts that were in flight when the target lost its connections, although their losses are reported one
/// after another: the last one reported was not alone. Needs the lock.
uint32_t
ReplicaDispatcher::NoteLoss(const Running& aLost, TimePoint aNow)
{
  const auto inFlight = static_cast<uint32_t>(running_.size());
  const bool afterOther = lastLoss_ && aNow - *lastLoss_ < kLossWindow;
  const uint32_t counted = std::max({ inFlight, aLost.inFlightAtLoss_, afterOther ? kSharedLoss : 1U });
  for (auto& [id, running] : running_) {
    running.inFlightAtLoss_ = std::max(running.inFlightAtLoss_, inFlight);
  }
  lastLoss_ = aNow;
  return counted;
}

void
ReplicaDispatcher::ProbeLater()
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

/// Ends the leaving mark when the health endpoint shows a new boot id, else looks again later.
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
  ProbeLater();
}

} // namespace ibisrock
