#include "request/routed_run.h"

#include "request/error_reply.h"
#include "request/gather_run.h"
#include "request/relay_run.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Hedge delay before enough latencies are observed, as a share of the objective.
constexpr double kInitialHedgeShare = 0.35;
/// Upper bound of the wait from which Retry-After is derived. Also used when there is no estimate because calls arrive
/// as fast as the targets complete them. It is the typical length of an overload; longer estimates depend on future
/// load.
constexpr Micros kMaxReportedWait = Seconds(1);
/// Interval between checks of whether a late queued run can still finish by its deadline.
constexpr Micros kLateCheckInterval = Millis(100);

/// Attempts of a run without an answer whose targets are checked for a crash.
constexpr size_t kMaxWatchedAttempts = 2;

/// A call that is not expected to have a reply by the deadline.
struct LateCall
{
  const PoolCall* call_;
  WaitEstimate estimate_;

  Micros ReportedWait() const
  {
    return std::min<Micros>(estimate_.timeToReply_.value_or(kMaxReportedWait), kMaxReportedWait);
  }
};

} // namespace

RoutedRun::RoutedRun(const Plan& aPlan, EndCallback aOnEnd)
  : table_(aPlan.table_)
  , scope_{ aPlan.context_,
            aPlan.route_,
            aPlan.state_,
            aPlan.request_,
            aPlan.timing_.deadline_,
            aPlan.timing_.cutoff_,
            aPlan.precaution_ == CrashPrecaution::None ? aPlan.route_.maxTargets_ : 1 }
  , timing_(aPlan.timing_)
  , precaution_(aPlan.precaution_)
  , onEnd_(std::move(aOnEnd))
{
}

std::unique_ptr<RoutedRun>
RoutedRun::Create(const Plan& aPlan, EndCallback aOnEnd)
{
  if (aPlan.route_.gather_) {
    return std::make_unique<GatherRun>(aPlan, std::move(aOnEnd));
  }
  return std::make_unique<RelayRun>(aPlan, std::move(aOnEnd));
}

RoutedRun::~RoutedRun()
{
  CancelTimers();
}

bool
RoutedRun::RefuseIfDeadlineUnreachable()
{
  const std::optional<Micros> retryAfter = RetryAfterIfDeadlineUnreachable();
  if (retryAfter) {
    for (const auto& call : Calls()) {
      call->CountRefusal();
    }
    Finish(
      MakeFailureReply(Verdict::NotRun, Reason::Overloaded, false, *retryAfter), Verdict::NotRun, Reason::Overloaded);
  }
  return retryAfter.has_value();
}

std::optional<Micros>
RoutedRun::RetryAfterIfDeadlineUnreachable()
{
  const TimePoint now = scope_.context_.timers_.Now();
  const Micros left = timing_.deadline_ - now;
  std::vector<LateCall> late;
  for (const auto& call : Calls()) {
    const WaitEstimate estimate = call->ExpectedReply();
    if (!estimate.IsWithin(left)) {
      late.push_back({ call.get(), estimate });
    }
  }
  const size_t inTime = Calls().size() - late.size();
  const size_t needed = NeededCalls();
  if (inTime >= needed) {
    return std::nullopt;
  }
  const auto lastNeeded = late.begin() + static_cast<std::ptrdiff_t>(needed - inTime - 1);
  std::nth_element(late.begin(), lastNeeded, late.end(), [](const LateCall& aLeft, const LateCall& aRight) {
    return aLeft.ReportedWait() < aRight.ReportedWait();
  });
  if (AttemptLog* log = scope_.context_.log_) {
    const PoolName& pool = lastNeeded->call_->Pool();
    const size_t waiting = scope_.context_.Pool(pool).pendingCalls_.Size();
    log->OnAbandonedWait({ *scope_.request_, pool, waiting, lastNeeded->estimate_.timeToReply_, left, inTime, needed });
  }
  const Micros shortage = std::max(lastNeeded->ReportedWait() - left, lastNeeded->estimate_.dispatchInterval_);
  return scope_.state_.RetryAfter(now, shortage, lastNeeded->estimate_.dispatchInterval_);
}

void
RoutedRun::EndLateRunIfDeadlineUnreachable()
{
  const bool waits = std::any_of(Calls().begin(), Calls().end(), [](const auto& aCall) {
    return aCall->CurrentState() == PoolCall::State::Waiting;
  });
  if (!waits) {
    return;
  }
  if (const Micros refusedFor = RefusedForCrashes(); refusedFor > Micros::zero()) {
    const Verdict verdict = CombinedVerdict();
    Finish(MakeFailureReply(verdict, Reason::CrashSuspect, false, refusedFor), verdict, Reason::CrashSuspect);
  } else if (const std::optional<Micros> retryAfter = RetryAfterIfDeadlineUnreachable()) {
    const Verdict verdict = CombinedVerdict();
    Finish(MakeFailureReply(verdict, Reason::Overloaded, false, *retryAfter), verdict, Reason::Overloaded);
  } else {
    ScheduleAt(scope_.context_.timers_.Now() + kLateCheckInterval, &RoutedRun::EndLateRunIfDeadlineUnreachable);
  }
}

Micros
RoutedRun::RetryAfterGivenUp()
{
  if (const Micros refusedFor = RefusedForCrashes(); refusedFor > Micros::zero()) {
    return refusedFor;
  }
  std::optional<Micros> earliest;
  for (const auto& call : Calls()) {
    const bool isGivenUp = call->CurrentState() == PoolCall::State::GivenUp;
    if (const std::optional<Micros> left = isGivenUp ? call->PauseLeft() : std::nullopt) {
      earliest = std::min(earliest.value_or(*left), *left);
    }
  }
  return earliest.value_or(kRetryAfterNoTarget);
}

Verdict
RoutedRun::CombinedVerdict()
{
  Verdict verdict = Verdict::NotRun;
  for (const auto& call : Calls()) {
    verdict = Combine(verdict, call->CombinedVerdict());
  }
  return verdict;
}

void
RoutedRun::StartTimers()
{
  if (ended_) {
    return;
  }
  const TimePoint now = scope_.context_.timers_.Now();
  const Micros initialDelay = Scale(scope_.route_.objective_, kInitialHedgeShare);
  const TimePoint hedgeAt =
    now + scope_.state_.HedgeDelay(now, scope_.context_.extraShare_.hedgeQuantile_, initialDelay);
  if (scope_.route_.kind_ == RequestKind::Idempotent && hedgeAt < timing_.deadline_) {
    ScheduleAt(hedgeAt, &RoutedRun::OnHedgeDelay);
  }
  ScheduleAt(timing_.cutoff_, &RoutedRun::OnCutoff);
  ScheduleAt(timing_.deadline_, &RoutedRun::OnDeadline);
}

void
RoutedRun::ScheduleAt(TimePoint aTime, void (RoutedRun::*aHandler)())
{
  TimerService& timers = scope_.context_.timers_;
  timers_.push_back(timers.After(aTime - timers.Now(), [this, aHandler] { (this->*aHandler)(); }));
}

void
RoutedRun::PostponeHedges(Micros aDelay)
{
  ScheduleAt(scope_.context_.timers_.Now() + aDelay, &RoutedRun::OnHedgeDelay);
}

void
RoutedRun::CancelTimers()
{
  for (TimerId timer : timers_) {
    scope_.context_.timers_.Cancel(timer);
  }
  timers_.clear();
}

void
RoutedRun::OnCallerLeft()
{
  ended_ = true;
  CancelTimers();
  WatchForCrashes();
  for (const auto& call : Calls()) {
    call->Stop(Abandon::Stop);
  }
}

/// Has a few of the attempts in flight watched, because a check may open a connection.
void
RoutedRun::WatchForCrashes()
{
  size_t left = kMaxWatchedAttempts;
  for (const auto& call : Calls()) {
    if (left > 0) {
      left -= call->WatchForCrashes(left);
    }
  }
}

void
RoutedRun::ReportAnswers()
{
  CrashWatch& crashes = *scope_.context_.crashes_;
  if (crashes.IsIdle()) {
    return;
  }
  std::vector<PoolName> answered;
  for (const auto& call : Calls()) {
    // A failure does not show that the target survives the request; it may not have run it.
    if (call->Reply() && IsSuccess(*call->Reply())) {
      answered.push_back(call->Pool());
    }
  }
  if (!answered.empty()) {
    crashes.OnAnswered(*scope_.request_, answered);
  }
}

void
RoutedRun::Finish(CallerReply aReply, Verdict aVerdict, Reason aReason)
{
  if (ended_) {
    return;
  }
  ended_ = true;
  CancelTimers();
  RunResult result{ std::move(aReply), aVerdict, aReason };
  result.shards_ = Calls().size();
  const bool hasReply =
    std::any_of(Calls().begin(), Calls().end(), [](const auto& aCall) { return aCall->Reply().has_value(); });
  if (!hasReply) {
    WatchForCrashes();
  }
  for (const auto& call : Calls()) {
    if (call->CurrentState() != PoolCall::State::Replied) {
      result.missingPools_.push_back(call->Pool());
    }
    call->Stop(Abandon::LetFinish);
    result.attempts_ += call->AttemptCount();
    result.extraAttempts_ += call->AttemptCount() > 1 ? call->AttemptCount() - 1 : 0;
  }
  ReportAnswers();
  onEnd_(std::move(result));
}

} // namespace ibisrock
