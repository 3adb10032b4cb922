#include "request/query_run.h"

#include "base/hashing.h"

#include <algorithm>
#include <optional>

namespace ibisrock {

namespace {

constexpr unsigned kMaxRestarts = 2;
/// Number of connection losses after which a run starts no further attempts, because its query probably crashes
/// targets. For a canary, one loss is enough.
constexpr size_t kMaxConnectionLosses = 2;

/// Whether another replica can be tried without a token of the extra-attempt budget. A refusal due to the state of one
/// replica costs that replica no work and does not indicate overload. It is rare, because the selector then avoids the
/// replica. When such retries cost tokens, a change of the index version exhausted the budget and shards waited until
/// the soft deadline.
bool
CanRetryWithoutToken(const wire::SubReply& aReply)
{
  const Reason reason = aReply.reply_.reason_;
  const bool refusedByReplicaState = reason == Reason::VersionNotHeld || reason == Reason::Draining;
  return aReply.reply_.verdict_ == Verdict::NotRun && (!aReply.touchedTarget_ || refusedByReplicaState);
}

} // namespace

std::shared_ptr<QueryRun>
QueryRun::Create(RunPlan aPlan, RunEnvironment aEnvironment, AnswerCallback aCallback)
{
  return std::shared_ptr<QueryRun>(new QueryRun(std::move(aPlan), aEnvironment, std::move(aCallback)));
}

QueryRun::QueryRun(RunPlan aPlan, RunEnvironment aEnvironment, AnswerCallback aCallback)
  : plan_(std::move(aPlan))
  , environment_(aEnvironment)
  , callback_(std::move(aCallback))
  , policy_(SelectCoveragePolicy(*plan_.service_, plan_.query_))
  , budget_(std::min(plan_.query_.deadline_.value_or(plan_.service_->deadline_), plan_.service_->deadline_))
  , deadline_(environment_.timers_.Now() + budget_)
  , fingerprint_(QueryFingerprint(plan_.query_.service_, plan_.query_.body_))
  , canaryPending_(plan_.canaryFirst_)
{
}

void
QueryRun::Start()
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    const Micros soft = plan_.service_->softDeadline_;
    hedgeDelay_ = environment_.service_.latency_.HedgeDelay(environment_.timers_.Now(), soft / 2);
    deadlineTimer_ = environment_.timers_.After(budget_, [self = shared_from_this()] { self->OnDeadline(); });
    if (soft < budget_) {
      softDeadlineTimer_ = environment_.timers_.After(soft, [self = shared_from_this()] { self->OnSoftDeadline(); });
    }
    StartFirstAttempts(actions);
    FinishIfDone(actions);
  }
  Perform(actions);
}

/// Starts the first attempt of every shard that has none, or of a single shard while the canary is pending.
void
QueryRun::StartFirstAttempts(Actions& aActions)
{
  for (const auto& [shard, targets] : plan_.shards_.shards_) {
    shards_.try_emplace(shard);
  }
  for (auto& [shard, state] : shards_) {
    if (state.started_) {
      continue;
    }
    state.started_ = true;
    // The attempts of a restart are extra load, so only the first attempts before any restart earn tokens.
    if (StartAttempt(shard, AttemptKind::First, aActions) && restarts_ == 0) {
      environment_.service_.budget_.OnFirstAttempt();
    }
    if (canaryPending_) {
      break;
    }
  }
  ScheduleExtraAttempts();
}

std::vector<TargetName>
QueryRun::UntriedReplicas(const ShardName& aShard) const
{
  const ShardState& state = shards_.at(aShard);
  std::vector<TargetName> untried;
  for (const TargetName& target : plan_.shards_.shards_.at(aShard)) {
    if (!state.triedTargets_.contains(target)) {
      untried.push_back(target);
    }
  }
  return untried;
}

/// Chooses an untried replica and queues an attempt on it. Returns false if the selector offers none.
bool
QueryRun::StartAttempt(const ShardName& aShard, AttemptKind aKind, Actions& aActions)
{
  const TimePoint now = environment_.timers_.Now();
  auto target = environment_.service_.selector_->Choose(UntriedReplicas(aShard), aKind, plan_.query_.idempotent_, now);
  if (!target) {
    return false;
  }
  ShardState& state = shards_.at(aShard);
  state.triedTargets_.insert(*target);
  state.openAttempts_++;
  state.startedAt_ = now;
  wire::SubRequest request;
  request.id_ = { plan_.id_, static_cast<uint32_t>(attempts_.size()) };
  request.caller_ = plan_.query_.caller_;
  request.service_ = plan_.query_.service_;
  request.shard_ = aShard;
  request.target_ = *target;
  request.version_ = plan_.shards_.version_;
  request.body_ = plan_.query_.body_;
  request.idempotent_ = plan_.query_.idempotent_;
  request.alone_ = canaryPending_;
  request.fingerprint_ = fingerprint_;
  request.budget_ = deadline_ - now;
  attempts_.push_back({ aShard, *target, aKind, canaryPending_, true, false, now, now });
  aActions.requestsToSend_.push_back(std::move(request));
  RunCounters& counters = environment_.service_.counters_;
  counters.attempts_++;
  counters.hedges_ += aKind == AttemptKind::Hedge ? 1 : 0;
  counters.retries_ += aKind == AttemptKind::Retry ? 1 : 0;
  return true;
}

bool
QueryRun::MayStartAttempts() const
{
  const size_t allowedLosses = canaryPending_ ? 1 : kMaxConnectionLosses;
  return !finished_ && losses_.size() < allowedLosses && environment_.timers_.Now() < deadline_;
}

bool
QueryRun::MayRestart() const
{
  return plan_.query_.idempotent_ && restarts_ < kMaxRestarts && MayStartAttempts();
}

void
QueryRun::OnReply(const wire::SubReply& aReply)
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    if (aReply.id_.request_ != plan_.id_ || aReply.id_.number_ >= attempts_.size() ||
        attempts_[aReply.id_.number_].answered_) {
      return;
    }
    AttemptState& attempt = attempts_[aReply.id_.number_];
    attempt.answered_ = true;
    ReportToSelector(attempt, aReply.reply_);
    if (aReply.reply_.reason_ == Reason::ConnectionLost) {
      losses_.push_back({ attempt.shard_, attempt.target_, aReply.inFlightAtLoss_, attempt.canary_ });
      actions.crashReport_ = MakeCrashReport();
    }
    if (attempt.open_ && !finished_) {
      HandleOutcome(attempt, aReply, actions);
      FinishIfDone(actions);
    }
  }
  Perform(actions);
}

/// Closes an open attempt and applies its outcome to the shard.
void
QueryRun::HandleOutcome(AttemptState& aAttempt, const wire::SubReply& aReply, Actions& aActions)
{
  Close(aAttempt);
  const TargetReply& reply = aReply.reply_;
  queueWaitSum_ += aReply.queueWait_;
  if (reply.verdict_ != Verdict::Ran || reply.version_ != plan_.shards_.version_) {
    HandleFailure(aAttempt.shard_, aReply, aActions);
    return;
  }
  if (aAttempt.kind_ == AttemptKind::First) {
    const TimePoint now = environment_.timers_.Now();
    environment_.service_.latency_.Record(now, now - aAttempt.startedAt_);
  }
  AcceptReply(aAttempt.shard_, reply, aActions);
}

void
QueryRun::ReportToSelector(const AttemptState& aAttempt, const TargetReply& aReply)
{
  const TimePoint now = environment_.timers_.Now();
  const TimePoint end = aAttempt.open_ || aReply.verdict_ == Verdict::Ran ? now : aAttempt.closedAt_;
  environment_.service_.selector_->OnEnd(
    aAttempt.target_, { aReply.verdict_, aReply.reason_, end - aAttempt.startedAt_ }, now);
}

void
QueryRun::Close(AttemptState& aAttempt)
{
  aAttempt.open_ = false;
  aAttempt.closedAt_ = environment_.timers_.Now();
  shards_.at(aAttempt.shard_).openAttempts_--;
}

/// Closes and cancels all open attempts of a shard, because their outcome can no longer affect the answer.
void
QueryRun::CloseShard(const ShardName& aShard, Actions& aActions)
{
  for (uint32_t number = 0; number < attempts_.size() && shards_.at(aShard).openAttempts_ > 0; number++) {
    AttemptState& attempt = attempts_[number];
    if (!attempt.open_ || attempt.shard_ != aShard) {
      continue;
    }
    Close(attempt);
    aActions.attemptsToCancel_.push_back({ plan_.id_, number });
    environment_.service_.counters_.cancelled_++;
    if (attempt.kind_ == AttemptKind::First) {
      environment_.service_.latency_.Record(attempt.closedAt_, attempt.closedAt_ - attempt.startedAt_);
    }
  }
}

/// Accepts the first successful reply of a shard and cancels the shard's other attempts. After the canary's reply,
/// starts the remaining shards.
void
QueryRun::AcceptReply(const ShardName& aShard, const TargetReply& aReply, Actions& aActions)
{
  ShardState& state = shards_.at(aShard);
  state.covered_ = true;
  state.retryPending_ = false;
  state.matches_ = aReply.matches_;
  state.verdict_ = Verdict::Ran;
  CloseShard(aShard, aActions);
  if (canaryPending_) {
    canaryPending_ = false;
    canaryClean_ = true;
    StartFirstAttempts(aActions);
  }
}

/// Records why an attempt failed. Tries another replica if the request was not run or is idempotent. Requests a restart
/// with another index version if no replica is left and one of them did not hold the pinned version.
void
QueryRun::HandleFailure(const ShardName& aShard, const wire::SubReply& aReply, Actions& aActions)
{
  ShardState& state = shards_.at(aShard);
  const TargetReply& reply = aReply.reply_;
  const bool otherVersion = reply.verdict_ == Verdict::Ran;
  state.lastReason_ = otherVersion ? Reason::VersionNotHeld : reply.reason_;
  state.verdict_ = Combine(state.verdict_, reply.verdict_);
  state.versionNotHeld_ = state.versionNotHeld_ || state.lastReason_ == Reason::VersionNotHeld;
  if (reply.verdict_ == Verdict::NotRun || plan_.query_.idempotent_) {
    Retry(aShard, CanRetryWithoutToken(aReply), aActions);
  }
  if (state.versionNotHeld_ && state.openAttempts_ == 0 && UntriedReplicas(aShard).empty() && MayRestart() &&
      !restarting_) {
    restarting_ = true;
    aActions.shardWithoutVersion_ = aShard;
  }
}

void
QueryRun::OnSoftDeadline()
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    softDeadlinePassed_ = true;
    FinishIfDone(actions);
  }
  Perform(actions);
}

void
QueryRun::OnDeadline()
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    if (!finished_) {
      MarkFinished(actions);
    }
  }
  Perform(actions);
}

size_t
QueryRun::CoveredShardCount() const
{
  return static_cast<size_t>(
    std::count_if(shards_.begin(), shards_.end(), [](const auto& aEntry) { return aEntry.second.covered_; }));
}

/// Finishes the run if no attempt is open and no retry is pending, or if the soft deadline has passed and the coverage
/// policy accepts the shards covered so far.
void
QueryRun::FinishIfDone(Actions& aActions)
{
  if (finished_ || restarting_) {
    return;
  }
  const bool mayRetry = MayStartAttempts();
  const bool pending = std::any_of(shards_.begin(), shards_.end(), [mayRetry](const auto& aEntry) {
    const ShardState& state = aEntry.second;
    return !state.covered_ && (state.openAttempts_ > 0 || (mayRetry && state.retryPending_));
  });
  if (!pending || (softDeadlinePassed_ && policy_.EndsAfterSoftDeadline(CoveredShardCount()))) {
    MarkFinished(aActions);
  }
}

void
QueryRun::MarkFinished(Actions& aActions)
{
  finished_ = true;
  aActions.finished_ = true;
}

} // namespace ibisrock
