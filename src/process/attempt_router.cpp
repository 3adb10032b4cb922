#include "process/attempt_router.h"

#include <utility>

namespace ibisrock {

namespace {

/// Time beyond the budget for which the owner's reply is still awaited, because the owner reports an expired attempt
/// with a more precise reason than a timeout at this instance.
constexpr Micros kReplyGracePeriod = Millis(20);
/// Maximum number of log lines about silent owners per period of the log.
constexpr unsigned kMaxLogLines = 3;

wire::SubReply
MakeFailure(const AttemptId& aId, Verdict aVerdict, Reason aReason)
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
  , log_(environment_.timers_, environment_.logs_, "router", 1, kMaxLogLines)
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
    aCallback(MakeFailure(aRequest.id_, Verdict::NotRun, Reason::NoReplica));
    return;
  }
  auto view = membership_.View();
  const Member* owner = FindReachableOwner(*target, view);
  if (owner == nullptr || owner->id_ == self_.id_) {
    RunLocally(*target, aRequest, std::move(aCallback));
  } else {
    Forward(owner->address_, aRequest, std::move(aCallback));
  }
}

/// Returns the owner. While the owner is silent, returns the member that would own the replica among those that are not
/// silent, at worst this instance itself. Other instances may still reach the silent owner. Two instances using a
/// replica at once cause refusals because its slots are taken, which costs less than the shard missing from every
/// answer until the owner is declared dead.
const Member*
AttemptRouter::FindReachableOwner(const TargetConfig& aTarget, const std::shared_ptr<const MemberView>& aView)
{
  const Member* owner = owners_.Find(aView, aTarget.name_, aTarget.dataCentre_);
  if (owner == nullptr || owner->id_ == self_.id_ || reachability_.RecordSend(owner->address_)) {
    return owner;
  }
  log_.Write(LogLevel::Warning, 0, [owner] {
    return "instance " + owner->id_.Value() +
           " does not answer; routing attempts for its replicas through other instances";
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
AttemptRouter::RunLocally(const TargetConfig& aTarget, const wire::SubRequest& aRequest, Callback aCallback)
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
    const TimerId timeout = environment_.timers_.After(aRequest.budget_ + kReplyGracePeriod, [this, id = aRequest.id_] {
      OnSubReply(MakeFailure(id, Verdict::MayHaveRun, Reason::TimedOut));
    });
    shard.pending_[aRequest.id_] = { std::move(aCallback), aRequest.target_, aOwner, timeout };
  }
  if (!send_(aOwner, aRequest)) {
    OnSubReply(MakeFailure(aRequest.id_, Verdict::NotRun, Reason::OwnerUnreachable));
  }
}

std::optional<AttemptRouter::Pending>
AttemptRouter::TakePending(const AttemptId& aId)
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
  auto pending = TakePending(aReply.id_);
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
    send_(aFrom, MakeFailure(aRequest.id_, Verdict::NotRun, Reason::Expired));
    return;
  }
  auto target = FindTarget(aRequest.service_, aRequest.target_);
  if (!target) {
    send_(aFrom, MakeFailure(aRequest.id_, Verdict::NotRun, Reason::NoReplica));
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
