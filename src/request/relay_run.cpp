#include "request/relay_run.h"

#include "request/error_reply.h"

namespace ibisrock {

RelayRun::RelayRun(const Plan& aPlan, EndCallback aOnEnd)
  : RoutedRun(aPlan, std::move(aOnEnd))
{
  const PoolName& pool = scope_.state_.PickPool(scope_.route_.pools_, scope_.context_.random_);
  calls_.push_back(std::make_unique<PoolCall>(scope_, pool, 0, *this));
}

void
RelayRun::Start()
{
  if (RefuseIfDeadlineUnreachable()) {
    return;
  }
  if (Call().Start() == PoolCall::State::GivenUp) {
    EndWithCall();
    return;
  }
  StartTimers();
}

void
RelayRun::OnPoolCallEnded(size_t)
{
  EndWithCall();
}

/// Ends the run with the target's reply, or with an error reply that states why there is none.
void
RelayRun::EndWithCall()
{
  if (!Call().Reply()) {
    const Verdict verdict = CombinedVerdict();
    const Reason reason = Call().LastReason();
    Finish(MakeFailureReply(verdict, reason, HasPassed(timing_.deadline_), RetryAfterGivenUp()), verdict, reason);
    return;
  }
  const TargetOutcome& outcome = *Call().Reply();
  CallerReply reply;
  reply.status_ = outcome.status_;
  reply.fields_ = outcome.fields_;
  reply.body_ = outcome.body_;
  Finish(std::move(reply), Verdict::Ran, Reason::None);
}

void
RelayRun::OnHedgeDelay()
{
  Call().Hedge();
}

void
RelayRun::OnDeadline()
{
  const Verdict verdict = CombinedVerdict();
  Finish(MakeFailureReply(verdict, Reason::TimedOut, true, kRetryAfterNoTarget), verdict, Reason::TimedOut);
}

} // namespace ibisrock
