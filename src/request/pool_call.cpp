#include "request/pool_call.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Assumed mean latency before the first replies are observed, as a share of the route's objective so that it suits
/// both fast and slow routes.
constexpr double kInitialLatencyShare = 0.2;
/// Share of the token capacity that hedges leave for retries after failures. It is relative because an instance of a
/// large fleet may accumulate little more than one token.
constexpr double kTokenShareForRetries = 0.25;

constexpr bool
IsNotRunStatus(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

/// True if the attempt ended before it was delivered to its target.
constexpr bool
NeverReachedTarget(Reason aReason)
{
  return aReason == Reason::ConnectFailed || aReason == Reason::OverLimit;
}

/// True if a failed reply may be passed to the caller unchanged. A success status without a stamp, or a status that
/// claims that the request was not run, would promise more than is known.
bool
MayPassOnFailure(const TargetOutcome& aOutcome)
{
  return aOutcome.verdict_ == Verdict::Ran && aOutcome.status_ >= 300 && !IsNotRunStatus(aOutcome.status_);
}

TargetRun
MakeTargetRun(const Target& aTarget, std::shared_ptr<const CallerRequest> aRequest, TimePoint aSentAt)
{
  const TargetRecord& record = aTarget.Record();
  return { record.name_, record.address_, record.pool_, std::move(aRequest), aSentAt };
}

} // namespace

bool
IsSuccess(const TargetOutcome& aOutcome)
{
  return aOutcome.verdict_ == Verdict::Ran && aOutcome.status_ / 100 == 2 && !aOutcome.stamp_.empty();
}

/// True if the reply ends the call. A shard of a gathered answer must succeed; a relayed request ends with any stamped
/// reply that a retry on another target would not improve.
bool
PoolCall::IsFinal(const TargetOutcome& aOutcome) const
{
  if (scope_.route_.gather_) {
    return IsSuccess(aOutcome);
  }
  return aOutcome.verdict_ == Verdict::Ran && !aOutcome.stamp_.empty() && aOutcome.status_ < 500 &&
         !IsNotRunStatus(aOutcome.status_);
}

PoolCall::PoolCall(const RunScope& aScope, PoolName aPool, size_t aIndex, PoolCallObserver& aObserver)
  : scope_(aScope)
  , pool_(std::move(aPool))
  , index_(aIndex)
  , observer_(aObserver)
{
}

PoolCall::~PoolCall()
{
  Stop(Abandon::LetFinish);
}

PoolCall::State
PoolCall::Start()
{
  scope_.context_.Pool(pool_).extraBudget_.OnFirstAttempt();
  if (!TrySend(false)) {
    if (Choose().hasSaturatedTarget_) {
      WaitForCapacity();
    } else {
      state_ = State::GivenUp;
      lastReason_ = PauseLeft() ? Reason::Overloaded : Reason::NoReplica;
    }
  }
  return state_;
}

TargetChoice
PoolCall::Choose() const
{
  RoutingContext& context = scope_.context_;
  return ChooseTarget(context.targets_.TargetsOf(pool_),
                      { context.timers_.Now(), context.dataCentre_, context.link_, tried_, scope_.deadline_ },
                      context.random_);
}

/// Sends an attempt to the best target below its limit. Returns false if there is none or the deadline has passed.
bool
PoolCall::TrySend(bool aExtra)
{
  RoutingContext& context = scope_.context_;
  const TimePoint now = context.timers_.Now();
  if (HasExpired()) {
    return false;
  }
  TargetPtr target = Choose().target_;
  if (!target) {
    return false;
  }
  const TargetCall call{ target->Record().name_,
                         target->Record().address_,
                         scope_.request_,
                         scope_.deadline_ - now,
                         target->Record().startedAt_ };
  auto id = std::make_shared<CallId>();
  *id = context.link_.Send(call, [this, id](TargetOutcome aOutcome) { OnOutcome(*id, std::move(aOutcome)); });
  const Micros expected = ExpectedLatency();
  target->OnSent(*id, now, expected);
  tried_.push_back(target->Record().name_);
  sent_++;
  attempts_.push_back({ *id, std::move(target), now, expected, aExtra });
  state_ = State::InFlight;
  return true;
}

void
PoolCall::WaitForCapacity()
{
  state_ = State::Waiting;
  RoutingContext& context = scope_.context_;
  queuePosition_ = context.Pool(pool_).pendingCalls_.Add(
    context.timers_.Now(), scope_.route_.priority_, scope_.objectiveEnds_, [this] { return SendFromQueue(); });
}

std::optional<Micros>
PoolCall::PauseLeft() const
{
  const TimePoint now = scope_.context_.timers_.Now();
  std::optional<Micros> earliest;
  for (const TargetPtr& target : scope_.context_.targets_.TargetsOf(pool_)) {
    if (!target->IsPaused(now)) {
      return std::nullopt;
    }
    earliest = std::min<Micros>(earliest.value_or(Micros::max()), target->PauseEnd() - now);
  }
  return earliest;
}

void
PoolCall::CountRefusal()
{
  RoutingContext& context = scope_.context_;
  context.Pool(pool_).pendingCalls_.CountArrival(context.timers_.Now());
}

Micros
PoolCall::ExpectedLatency() const
{
  return scope_.state_.MeanLatency(Scale(scope_.route_.objective_, kInitialLatencyShare));
}

WaitEstimate
PoolCall::ExpectedReply() const
{
  if (state_ == State::GivenUp) {
    return {};
  }
  RoutingContext& context = scope_.context_;
  const PendingCallQueue& queue = context.Pool(pool_).pendingCalls_;
  // Fast path: the queue is usually empty, and a request with many shards should not pay for an estimate per shard.
  if (state_ == State::InFlight || state_ == State::Replied || queue.Size() == 0) {
    return { Micros::zero(), {} };
  }
  return EstimateWait(
    queue,
    context.targets_.TargetsOf(pool_),
    { queuePosition_, scope_.route_.priority_, scope_.objectiveEnds_, scope_.deadline_, ExpectedLatency() },
    context.timers_.Now());
}

bool
PoolCall::SendFromQueue()
{
  if (IsRefused()) {
    queuePosition_.reset();
    lastReason_ = Reason::CrashSuspect;
    GiveUp();
    return true;
  }
  if (!TrySend(false)) {
    return false;
  }
  queuePosition_.reset();
  return true;
}

void
PoolCall::Hedge()
{
  if (state_ != State::InFlight || !MayRepeat() || tried_.size() >= scope_.maxTargets_ || IsRefused()) {
    return;
  }
  ExtraAttemptBudget& budget = scope_.context_.Pool(pool_).extraBudget_;
  // A full budget always allows a hedge, also if it holds little more than one token.
  const double reserve = std::min(kTokenShareForRetries * budget.MaxTokens(), std::max(budget.MaxTokens() - 1, 0.0));
  if (!budget.TryTake(reserve)) {
    return;
  }
  if (!TrySend(true)) {
    budget.Refund();
  }
}

void
PoolCall::OnOutcome(CallId aId, TargetOutcome aOutcome)
{
  auto found =
    std::find_if(attempts_.begin(), attempts_.end(), [aId](const Attempt& aAttempt) { return aAttempt.id_ == aId; });
  const Attempt attempt = std::move(*found);
  attempts_.erase(found);
  Observe(attempt, aOutcome);
  if (aOutcome.reason_ == Reason::OverLimit) {
    // The attempt was not delivered, so the target stays eligible once it is below its limit.
    std::erase(tried_, attempt.target_->Record().name_);
  }
  scope_.context_.Pool(pool_).pendingCalls_.OnCapacityAvailable(scope_.context_.timers_.Now());
  verdict_ = Combine(verdict_, aOutcome.verdict_);
  lastReason_ = aOutcome.reason_;
  if (IsFinal(aOutcome)) {
    reply_ = std::move(aOutcome);
    state_ = State::Replied;
    Stop(Abandon::LetFinish);
    observer_.OnPoolCallEnded(index_);
  } else {
    if (MayPassOnFailure(aOutcome)) {
      reply_ = std::move(aOutcome);
    }
    OnFailedAttempt(attempt.extra_);
  }
}

void
PoolCall::Observe(const Attempt& aAttempt, const TargetOutcome& aOutcome)
{
  const TimePoint now = scope_.context_.timers_.Now();
  const Micros took = now - aAttempt.sentAt_;
  if (IsFinal(aOutcome)) {
    aAttempt.target_->OnReply(aAttempt.id_, now, took, aAttempt.expected_);
    scope_.state_.RecordLatency(now, took);
    return;
  }
  if (scope_.context_.log_ != nullptr) {
    scope_.context_.log_->OnAttemptFailed({ *scope_.request_,
                                            pool_,
                                            aAttempt.target_->Record().name_,
                                            aOutcome.verdict_,
                                            aOutcome.reason_,
                                            aOutcome.status_,
                                            took,
                                            aAttempt.target_->InFlight(),
                                            aAttempt.target_->LatencyRatio(now),
                                            aAttempt.extra_ });
  }
  if (aOutcome.reason_ == Reason::ConnectFailed) {
    aAttempt.target_->OnUnreachable(aAttempt.id_, now);
  } else if (aOutcome.reason_ == Reason::OverLimit) {
    OnOverLimit(*aAttempt.target_, aAttempt.id_);
  } else {
    aAttempt.target_->OnFailure(aAttempt.id_, now);
  }
  if (aOutcome.reason_ == Reason::ConnectionLost) {
    scope_.context_.crashes_->OnConnectionLost(MakeRun(aAttempt));
  }
  if (aAttempt.extra_ && NeverReachedTarget(aOutcome.reason_)) {
    scope_.context_.Pool(pool_).extraBudget_.Refund();
  }
}

/// Schedules a retry of the queued calls at the end of the target's pause, because there may be no call in flight whose
/// end would trigger one.
void
PoolCall::OnOverLimit(Target& aTarget, CallId aCall)
{
  RoutingContext& context = scope_.context_;
  const Micros pause = aTarget.OnOverLimit(aCall, context.timers_.Now(), context.random_.Unit());
  context.timers_.After(pause, [&pool = context.Pool(pool_), &timers = context.timers_] {
    pool.pendingCalls_.OnCapacityAvailable(timers.Now());
  });
}

/// Retries on another target if allowed; otherwise gives up unless another attempt is in flight.
void
PoolCall::OnFailedAttempt(bool aWasExtra)
{
  const bool mayRetry =
    tried_.size() < scope_.maxTargets_ && (MayRepeat() || CombinedVerdict() == Verdict::NotRun) && !IsRefused();
  if (!(mayRetry && Retry(aWasExtra)) && attempts_.empty()) {
    GiveUp();
  }
}

/// Sends another attempt, or queues the call until another target is below its limit. Returns false when there is no
/// such target or no token.
bool
PoolCall::Retry(bool aWasExtra)
{
  ExtraAttemptBudget& budget = scope_.context_.Pool(pool_).extraBudget_;
  // Replacing a first attempt that was not delivered takes no token. An undelivered extra attempt has refunded its
  // token, so its replacement takes one again.
  const bool isExempt = NeverReachedTarget(lastReason_) && !aWasExtra;
  if (!isExempt && !budget.TryTake()) {
    return false;
  }
  if (TrySend(!isExempt)) {
    return true;
  }
  if (attempts_.empty() && Choose().hasSaturatedTarget_ && !HasExpired()) {
    WaitForCapacity();
    return true;
  }
  if (!isExempt) {
    budget.Refund();
  }
  return false;
}

void
PoolCall::GiveUp()
{
  state_ = State::GivenUp;
  observer_.OnPoolCallEnded(index_);
}

TargetRun
PoolCall::MakeRun(const Attempt& aAttempt) const
{
  return MakeTargetRun(*aAttempt.target_, scope_.request_, aAttempt.sentAt_);
}

size_t
PoolCall::WatchForCrashes(size_t aMaxCount)
{
  const size_t count = std::min(aMaxCount, attempts_.size());
  for (size_t i = 0; i < count; i++) {
    scope_.context_.crashes_->OnUnanswered(MakeRun(attempts_[i]));
  }
  return count;
}

void
PoolCall::Stop(Abandon aHow)
{
  RoutingContext& context = scope_.context_;
  if (queuePosition_) {
    context.Pool(pool_).pendingCalls_.Remove(*queuePosition_);
    queuePosition_.reset();
  }
  const TimePoint now = context.timers_.Now();
  const std::vector<Attempt> attempts = std::move(attempts_);
  attempts_.clear();
  if (IsPending()) {
    state_ = State::GivenUp;
  }
  for (const Attempt& attempt : attempts) {
    verdict_ = Combine(verdict_, Verdict::MayHaveRun);
    attempt.target_->OnAbandoned(attempt.id_, now, now - attempt.sentAt_, attempt.expected_);
    // The run may be destroyed before the connection is released, so the callback captures only longer-lived state.
    context.link_.AbandonCall(attempt.id_,
                              aHow,
                              [target = attempt.target_,
                               id = attempt.id_,
                               sentAt = attempt.sentAt_,
                               request = scope_.request_,
                               crashes = context.crashes_,
                               &pool = context.Pool(pool_),
                               &timers = context.timers_](bool aWasLost) {
                                target->OnReleased(id);
                                if (aWasLost) {
                                  crashes->OnConnectionLost(MakeTargetRun(*target, request, sentAt));
                                }
                                pool.pendingCalls_.OnCapacityAvailable(timers.Now());
                              });
  }
}

Verdict
PoolCall::CombinedVerdict() const
{
  return attempts_.empty() ? verdict_ : Combine(verdict_, Verdict::MayHaveRun);
}

} // namespace ibisrock
