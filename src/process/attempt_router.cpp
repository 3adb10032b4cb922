#include "process/attempt_router.h"

#include <utility>

namespace ibisrock {

namespace {

/// Time beyond the budget in which an owner's reply is still awaited, because an expired attempt is answered by the
/// owner with a better reason than a time-out here.
constexpr Micros kReplyGrace = Millis(20);
/// Lines on silent owners in a period of the log.
constexpr unsigned kLogLines = 3;

wire::SubReply
Failure(const AttemptId& aId, Verdict aVerdict, Reason aReason)
{
  wire::SubReply reply;
  reply.id_ = aId;
  reply.reply_.verdict_ = aVerdict;
  reply.reply_.reason_ = aReason;
  return reply;
}

} // namespace

AttemptRouter::AttemptRouter(InstanceIdentity aSelf,
                             Environment aEnvironment,
                             const Membership& aMembership,
                             const ActiveConfig& aConfig,
                             DispatcherTable& aDispatchers,
                             SendToPeer aSend)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , membership_(aMembership)
  , config_(aConfig)
  , dispatchers_(aDispatchers)
  , send_(std::move(aSend))
  , reachability_(environment_.timers_,
                  [this](const PeerAddress& aPeer) {
                    send_(aPeer, wire::Ping{ 0, membership_.Self(), {} });
                  })
  , log_(environment_.timers_, environment_.logs_, "router", 1, kLogLines)
{
}

std::optional<TargetConfig>
AttemptRouter::FindTarget(const ServiceName& aService, const TargetName& aTarget) const
{
  auto configuration = config_.Current();
  if (!configuration) {
    return std::nullopt;
  }
  auto service = configuration->services_.find(aService);
  if (service == configuration->services_.end()) {
    return std::nullopt;
  }
  auto target = service->second->targets_.find(aTarget);
  return target == service->second->targets_.end() ? std::nullopt : std::optional(target->second);
}

void
AttemptRouter::Start(const wire::SubRequest& aRequest, Callback aCallback)
{
  auto target = FindTarget(aRequest.service_, aRequest.target_);
  if (!target) {
    aCallback(Failure(aRequest.id_, Verdict::NotRun, Reason::NoReplica));
    return;
  }
  auto view = membership_.View();
  const Member* owner = ReachableOwner(*target, view);
  if (owner == nullptr || owner->id_ == self_.id_) {
    RunHere(*target, aRequest, std::move(aCallback));
  } else {
    Forward(owner->address_, aRequest, std::move(aCallback));
  }
}

/// The owner, or the next one in its place while it does not answer; this instance itself when no other one does. The
/// owner may still be alive for others. Two instances that use a replica at once cost it refusals for want of a slot,
/// which is less than its shard missing from every answer until the owner is declared dead.
const Member*
AttemptRouter::ReachableOwner(const TargetConfig& aTarget, const std::shared_ptr<const MemberView>& aView)
{
  const Member* owner = owners_.Find(aView, aTarget.name_, aTarget.dataCentre_);
  if (owner == nullptr || owner->id_ == self_.id_ || reachability_.RecordSend(owner->address_)) {
    return owner;
  }
  log_.Write(LogLevel::Warning, 0, [owner] {
    return "instance " + owner->id_.Value() + " does not answer: its replicas are reached through others";
  });
  const Member* next = FindOwner(*aView, aTarget.name_, aTarget.dataCentre_, [this](const Member& aMember) {
    return aMember.id_ == self_.id_ || !reachability_.IsSilent(aMember.address_);
  });
  if (next != nullptr && next->id_ != self_.id_) {
    reachability_.RecordSend(next->address_);
  }
  return next;
}

void
AttemptRouter::RunHere(const TargetConfig& aTarget, const wire::SubRequest& aRequest, Callback aCallback)
{
  {
    Shard& shard = ShardOf(aRequest.id_);
    std::lock_guard lock(shard.mutex_);
    shard.pending_[aRequest.id_] = { std::move(aCallback), aRequest.target_, PeerAddress(), TimerId() };
  }
  dispatchers_.Get(aTarget)->Submit(aRequest, [this](const wire::SubReply& aReply) { OnSubReply(aReply); });
}

void
AttemptRouter::Forward(const PeerAddress& aOwner, const wire::SubRequest& aRequest, Callback aCallback)
{
  {
    Shard& shard = ShardOf(aRequest.id_);
    std::lock_guard lock(shard.mutex_);
    const TimerId timeout = environment_.timers_.After(aRequest.budget_ + kReplyGrace, [this, id = aRequest.id_] {
      OnSubReply(Failure(id, Verdict::MayHaveRun, Reason::TimedOut));
    });
    shard.pending_[aRequest.id_] = { std::move(aCallback), aRequest.target_, aOwner, timeout };
  }
  if (!send_(aOwner, aRequest)) {
    OnSubReply(Failure(aRequest.id_, Verdict::NotRun, Reason::OwnerUnreachable));
  }
}

std::optional<AttemptRouter::Pending>
AttemptRouter::Take(const AttemptId& aId)
{
  Shard& shard = ShardOf(aId);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.pending_.find(aId);
  if (found == shard.pending_.end()) {
    return std::nullopt;
  }
  Pending pending = std::move(found->second);
  shard.pending_.erase(found);
  return pending;
}

void
AttemptRouter::OnSubReply(const wire::SubReply& aReply)
{
  auto pending = Take(aReply.id_);
  if (!pending) {
    return;
  }
  environment_.timers_.Cancel(pending->timeout_);
  pending->callback_(aReply);
}

void
AttemptRouter::Cancel(const AttemptId& aId)
{
  TargetName target;
  PeerAddress owner;
  {
    Shard& shard = ShardOf(aId);
    std::lock_guard lock(shard.mutex_);
    auto found = shard.pending_.find(aId);
    if (found == shard.pending_.end()) {
      return;
    }
    target = found->second.target_;
    owner = found->second.owner_;
  }
  if (owner.IsEmpty()) {
    dispatchers_.Cancel(target, aId);
  } else {
    send_(owner, wire::CancelAttempt{ aId, target });
  }
}

void
AttemptRouter::OnSubRequest(const PeerAddress& aFrom, const wire::SubRequest& aRequest, Micros aDelay)
{
  if (aDelay >= aRequest.budget_) {
    send_(aFrom, Failure(aRequest.id_, Verdict::NotRun, Reason::Expired));
    return;
  }
  auto target = FindTarget(aRequest.service_, aRequest.target_);
  if (!target) {
    send_(aFrom, Failure(aRequest.id_, Verdict::NotRun, Reason::NoReplica));
    return;
  }
  wire::SubRequest request = aRequest;
  request.budget_ -= aDelay;
  dispatchers_.Get(*target)->Submit(request, [this, aFrom](const wire::SubReply& aReply) { send_(aFrom, aReply); });
}

void
AttemptRouter::OnCancel(const wire::CancelAttempt& aCancel)
{
  dispatchers_.Cancel(aCancel.target_, aCancel.id_);
}

} // namespace ibisrock
