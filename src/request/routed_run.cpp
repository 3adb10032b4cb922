#include "request/routed_run.h"

#include "request/gather_run.h"
#include "request/relay_run.h"

namespace ibisrock {

namespace {

/// Hedge delay until enough calls were observed, as a share of the objective.
constexpr double kFirstHedgeShare = 0.35;

} // namespace

RoutedRun::RoutedRun(const Plan& aPlan, OnEnd aOnEnd)
  : table_(aPlan.table_)
  , scope_{ aPlan.context_, aPlan.route_, aPlan.state_, aPlan.request_, aPlan.timing_.deadline_, aPlan.timing_.cutoff_ }
  , timing_(aPlan.timing_)
  , onEnd_(std::move(aOnEnd))
{
}

std::unique_ptr<RoutedRun>
RoutedRun::Create(const Plan& aPlan, OnEnd aOnEnd)
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

void
RoutedRun::StartTimers()
{
  if (ended_) {
    return;
  }
  const TimePoint now = scope_.context_.timers_.Now();
  const Micros guess = Scale(scope_.route_.objective_, kFirstHedgeShare);
  const TimePoint hedgeAt = now + scope_.state_.HedgeDelay(now, guess);
  if (scope_.route_.kind_ == RequestKind::Idempotent && hedgeAt < timing_.deadline_) {
    Subscribe(hedgeAt, &RoutedRun::OnHedgeTime);
  }
  Subscribe(timing_.cutoff_, &RoutedRun::OnCutoff);
  Subscribe(timing_.deadline_, &RoutedRun::OnDeadline);
}

void
RoutedRun::Subscribe(TimePoint aTime, void (RoutedRun::*aHandler)())
{
  TimerService& timers = scope_.context_.timers_;
  timers_.push_back(timers.After(aTime - timers.Now(), [this, aHandler] { (this->*aHandler)(); }));
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
  for (const auto& call : Calls()) {
    call->Stop(Abandon::Stop);
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
  RunEnd end{ std::move(aReply), aVerdict, aReason };
  end.shards_ = Calls().size();
  for (const auto& call : Calls()) {
    if (call->CurrentState() != PoolCall::State::Replied) {
      end.missing_.push_back(call->Pool());
    }
    call->Stop(Abandon::LetFinish);
    end.attempts_ += call->AttemptCount();
    end.extraAttempts_ += call->AttemptCount() > 1 ? call->AttemptCount() - 1 : 0;
  }
  onEnd_(std::move(end));
}

} // namespace ibisrock
