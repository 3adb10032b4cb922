#include "request/query_run.h"

#include "base/hashing.h"

#include <algorithm>
#include <optional>

namespace ibisrock {

namespace {

constexpr unsigned kMaxRestarts = 2;
/// Connection losses after which a run starts no further attempts, because its query probably crashes targets. A canary
/// that loses its connection is enough.
constexpr size_t kMaxLosses = 2;
/// Tokens that a hedge leaves in the budget unless its shard is long overdue. Without them, bursts of slightly slow
/// shards empty the budget and stragglers wait unhedged.
constexpr double kKeptTokens = 4;
/// Age of a long overdue attempt, in hedge delays.
constexpr double kOverdueFactor = 1.25;
/// Bounds the wait for a further hedge.
constexpr uint32_t kMaxDoublings = 10;

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
      softTimer_ = environment_.timers_.After(soft, [self = shared_from_this()] { self->OnSoftDeadline(); });
    }
    StartRound(actions);
    CheckFinished(actions);
  }
  Perform(actions);
}

/// Starts the first attempts of every shard that has none; of one shard only while a canary is pending.
void
QueryRun::StartRound(Actions& aActions)
{
  for (const auto& [shard, targets] : plan_.shards_.shards_) {
    shards_.try_emplace(shard);
  }
  for (auto& [shard, state] : shards_) {
    if (state.started_) {
      continue;
    }
    state.started_ = true;
    // The attempts of a restart are extra load, so only those of the first round earn tokens.
    if (StartAttempt(shard, AttemptKind::First, aActions) && restarts_ == 0) {
      environment_.service_.budget_.OnFirstAttempt();
    }
    if (canaryPending_) {
      break;
    }
  }
  ScheduleTick();
}

std::vector<TargetName>
QueryRun::Untried(const ShardName& aShard) const
{
  const ShardState& state = shards_.at(aShard);
  std::vector<TargetName> untried;
  for (const TargetName& target : plan_.shards_.shards_.at(aShard)) {
    if (!state.tried_.contains(target)) {
      untried.push_back(target);
    }
  }
  return untried;
}

/// Chooses a replica and adds an attempt on it. Returns false when no replica is left.
bool
QueryRun::StartAttempt(const ShardName& aShard, AttemptKind aKind, Actions& aActions)
{
  const TimePoint now = environment_.timers_.Now();
  auto target = environment_.service_.selector_->Choose(Untried(aShard), aKind, plan_.query_.idempotent_, now);
  if (!target) {
    return false;
  }
  ShardState& state = shards_.at(aShard);
  state.tried_.insert(*target);
  state.open_++;
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
  aActions.sends_.push_back(std::move(request));
  RunCounters& counters = environment_.service_.counters_;
  counters.attempts_++;
  counters.hedges_ += aKind == AttemptKind::Hedge ? 1 : 0;
  counters.retries_ += aKind == AttemptKind::Retry ? 1 : 0;
  return true;
}

bool
QueryRun::MayStartAttempts() const
{
  const size_t allowedLosses = canaryPending_ ? 1 : kMaxLosses;
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
      losses_.push_back({ attempt.shard_, attempt.target_, aReply.inFlightAtLoss_, attempt.alone_ });
      actions.loss_ = MakeCrashReport();
    }
    if (attempt.open_ && !finished_) {
      Settle(attempt, aReply, actions);
      CheckFinished(actions);
    }
  }
  Perform(actions);
}

/// Handles the first outcome of an attempt that still matters.
void
QueryRun::Settle(AttemptState& aAttempt, const wire::SubReply& aReply, Actions& aActions)
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
  Cover(aAttempt.shard_, reply, aActions);
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
  shards_.at(aAttempt.shard_).open_--;
}

/// Cancels the open attempts of a shard whose outcome no longer matters.
void
QueryRun::CloseShard(const ShardName& aShard, Actions& aActions)
{
  for (uint32_t number = 0; number < attempts_.size() && shards_.at(aShard).open_ > 0; number++) {
    AttemptState& attempt = attempts_[number];
    if (!attempt.open_ || attempt.shard_ != aShard) {
      continue;
    }
    Close(attempt);
    aActions.cancels_.push_back({ plan_.id_, number });
    environment_.service_.counters_.cancelled_++;
    if (attempt.kind_ == AttemptKind::First) {
      environment_.service_.latency_.Record(attempt.closedAt_, attempt.closedAt_ - attempt.startedAt_);
    }
  }
}

/// Takes the first complete reply of a shard and cancels the attempts that lost.
void
QueryRun::Cover(const ShardName& aShard, const TargetReply& aReply, Actions& aActions)
{
  ShardState& state = shards_.at(aShard);
  state.covered_ = true;
  state.retryWaits_ = false;
  state.matches_ = aReply.matches_;
  state.verdict_ = Verdict::Ran;
  CloseShard(aShard, aActions);
  if (canaryPending_) {
    canaryPending_ = false;
    canaryClean_ = true;
    StartRound(aActions);
  }
}

/// Records why an attempt failed and tries another replica where that cannot run a request twice.
void
QueryRun::HandleFailure(const ShardName& aShard, const wire::SubReply& aReply, Actions& aActions)
{
  ShardState& state = shards_.at(aShard);
  const TargetReply& reply = aReply.reply_;
  const bool otherVersion = reply.verdict_ == Verdict::Ran;
  state.lastReason_ = otherVersion ? Reason::VersionNotHeld : reply.reason_;
  state.verdict_ = Combine(state.verdict_, reply.verdict_);
  state.versionLacking_ = state.versionLacking_ || state.lastReason_ == Reason::VersionNotHeld;
  if (reply.verdict_ == Verdict::NotRun || plan_.query_.idempotent_) {
    Retry(aShard, reply.verdict_ == Verdict::NotRun && !aReply.touchedTarget_, aActions);
  }
  if (state.versionLacking_ && state.open_ == 0 && Untried(aShard).empty() && MayRestart() && !restarting_) {
    restarting_ = true;
    aActions.versionMissing_ = aShard;
  }
}

/// Tries another replica of a shard without open attempts, or later when there is no token now. aFree needs no token.
void
QueryRun::Retry(const ShardName& aShard, bool aFree, Actions& aActions)
{
  ShardState& state = shards_.at(aShard);
  state.retryWaits_ = false;
  if (state.open_ > 0 || !MayStartAttempts() || Untried(aShard).empty()) {
    return;
  }
  if (aFree || environment_.service_.budget_.TryTake()) {
    StartAttempt(aShard, AttemptKind::Retry, aActions);
  } else {
    state.retryWaits_ = true;
  }
  ScheduleTick();
}

/// Subscribes to the time at which the next shard may need a hedge or a waiting retry. Does nothing while subscribed.
void
QueryRun::ScheduleTick()
{
  if (tickScheduled_ || !MayStartAttempts()) {
    return;
  }
  const TimePoint now = environment_.timers_.Now();
  const bool hedges = environment_.hedges_ && plan_.query_.idempotent_ && !canaryPending_;
  std::optional<TimePoint> due;
  for (const auto& [shard, state] : shards_) {
    if (state.covered_ || (!state.retryWaits_ && !(hedges && CanHedge(shard)))) {
      continue;
    }
    TimePoint at = state.startedAt_ + HedgeWait(state);
    // A hedge or retry that found no token is tried again after a part of the delay.
    at = at <= now ? now + hedgeDelay_ / 4 : at;
    due = std::min(due.value_or(at), at);
  }
  if (due && *due < deadline_) {
    tickScheduled_ = true;
    tickTimer_ = environment_.timers_.After(*due - now, [self = shared_from_this()] { self->OnTick(); });
  }
}

/// Starts waiting retries and the hedges of shards that are slower than the tracked quantile.
void
QueryRun::OnTick()
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    tickScheduled_ = false;
    const TimePoint now = environment_.timers_.Now();
    const bool hedges = environment_.hedges_ && plan_.query_.idempotent_ && !canaryPending_;
    for (auto& [shard, state] : shards_) {
      if (!MayStartAttempts()) {
        break;
      }
      if (state.covered_) {
        continue;
      }
      if (state.retryWaits_) {
        Retry(shard, false, actions);
      } else if (hedges && CanHedge(shard) && now - state.startedAt_ >= HedgeWait(state)) {
        Hedge(shard, actions);
      }
    }
    ScheduleTick();
    CheckFinished(actions);
  }
  Perform(actions);
}

/// True when a shard has an open attempt and a replica that was not tried.
bool
QueryRun::CanHedge(const ShardName& aShard) const
{
  return shards_.at(aShard).open_ > 0 && !Untried(aShard).empty();
}

/// Time from the latest attempt of a shard to its next hedge. It doubles with each attempt that is open, because a
/// shard that is slow on several replicas is probably slow on all of them.
Micros
QueryRun::HedgeWait(const ShardState& aState) const
{
  return hedgeDelay_ * (1U << std::min(std::max(aState.open_, 1U) - 1, kMaxDoublings));
}

/// Starts a further attempt of a slow shard if there is a token for it.
void
QueryRun::Hedge(const ShardName& aShard, Actions& aActions)
{
  const ShardState& state = shards_.at(aShard);
  const Micros age = environment_.timers_.Now() - state.startedAt_;
  const bool overdue = age >= std::chrono::duration_cast<Micros>(kOverdueFactor * HedgeWait(state));
  ExtraAttemptBudget& budget = environment_.service_.budget_;
  if (!budget.TryTake(overdue ? 0 : kKeptTokens)) {
    return;
  }
  if (!StartAttempt(aShard, AttemptKind::Hedge, aActions)) {
    budget.GiveBack();
  }
}

void
QueryRun::OnSoftDeadline()
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    softDeadlinePassed_ = true;
    CheckFinished(actions);
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
      Finish(actions);
    }
  }
  Perform(actions);
}

size_t
QueryRun::Covered() const
{
  return static_cast<size_t>(
    std::count_if(shards_.begin(), shards_.end(), [](const auto& aEntry) { return aEntry.second.covered_; }));
}

/// Ends the run when nothing is open or due any more, or when the policy is content.
void
QueryRun::CheckFinished(Actions& aActions)
{
  if (finished_ || restarting_) {
    return;
  }
  const bool mayRetry = MayStartAttempts();
  const bool waiting = std::any_of(shards_.begin(), shards_.end(), [mayRetry](const auto& aEntry) {
    const ShardState& state = aEntry.second;
    return !state.covered_ && (state.open_ > 0 || (mayRetry && state.retryWaits_));
  });
  if (!waiting || (softDeadlinePassed_ && policy_.EndsAfterSoftDeadline(Covered()))) {
    Finish(aActions);
  }
}

void
QueryRun::Finish(Actions& aActions)
{
  finished_ = true;
  aActions.finished_ = true;
}

} // namespace ibisrock
