#include "request/query_run.h"

#include <algorithm>
#include <iterator>

namespace ibisrock {

/// Performs the actions that were decided under the lock. The caller must not hold mutex_.
void
QueryRun::Perform(const Actions& aActions)
{
  for (const wire::SubRequest& request : aActions.requestsToSend_) {
    environment_.sender_.Start(request,
                               [self = shared_from_this()](const wire::SubReply& aReply) { self->OnReply(aReply); });
  }
  for (const AttemptId& id : aActions.attemptsToCancel_) {
    environment_.sender_.Cancel(id);
  }
  if (aActions.crashReport_) {
    environment_.crashes_.OnConnectionLost(*aActions.crashReport_);
  }
  if (aActions.shardWithoutVersion_) {
    Restart(*aActions.shardWithoutVersion_);
  }
  if (aActions.finished_) {
    DeliverAnswer();
  }
}

/// Builds the answer, cancels open attempts and timers, reports the connection losses and answers the caller.
void
QueryRun::DeliverAnswer()
{
  Actions actions;
  Answer answer;
  CrashReport report;
  {
    std::lock_guard lock(mutex_);
    answer = BuildAnswer();
    report = MakeCrashReport();
    for (const auto& [shard, state] : shards_) {
      CloseShard(shard, actions);
    }
    for (const TimerId timer : { deadlineTimer_, softDeadlineTimer_, extraAttemptTimer_ }) {
      environment_.timers_.Cancel(timer);
    }
  }
  Perform(actions);
  environment_.crashes_.OnRunEnded(report);
  callback_(std::move(answer));
}

/// Restarts the run with another index version, or continues without aShard if there is none.
void
QueryRun::Restart(const ShardName& aShard)
{
  IndexVersion version;
  std::set<IndexVersion> missing;
  {
    std::lock_guard lock(mutex_);
    version = plan_.shards_.version_;
    missingVersions_.insert(version);
    missing = missingVersions_;
  }
  environment_.versions_.OnVersionMissing(plan_.query_.service_, version, aShard);
  auto next = environment_.versions_.Choose(*plan_.service_, missing);
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    restarting_ = false;
    if (next && !missing.contains(next->version_) && MayRestart()) {
      RestartWithVersion(std::move(*next), actions);
    }
    FinishIfDone(actions);
  }
  Perform(actions);
}

/// Discards all replies received so far, because an answer must never mix two index versions. Requires mutex_ to be
/// held.
void
QueryRun::RestartWithVersion(ShardMap aNext, Actions& aActions)
{
  for (const auto& [shard, state] : shards_) {
    const Verdict verdict = state.openAttempts_ > 0 ? Verdict::MayHaveRun : state.verdict_;
    earlierVersionsVerdict_ = Combine(earlierVersionsVerdict_, verdict);
    CloseShard(shard, aActions);
  }
  plan_.shards_ = std::move(aNext);
  shards_.clear();
  restarts_++;
  environment_.service_.counters_.restarts_++;
  StartFirstAttempts(aActions);
}

/// Requires mutex_ to be held.
CrashReport
QueryRun::MakeCrashReport() const
{
  return { plan_.id_, plan_.query_.service_, fingerprint_, losses_, canaryClean_ };
}

/// Requires mutex_ to be held.
RunLoad
QueryRun::MeasureLoad(const Answer& aAnswer) const
{
  RunLoad load;
  load.queueWait_ = queueWaitSum_ / static_cast<int64_t>(std::max<size_t>(shards_.size(), 1));
  for (const auto& [shard, reason] : aAnswer.missing_) {
    load.overloaded_ = load.overloaded_ || reason == Reason::Overloaded || reason == Reason::Expired;
  }
  return load;
}

/// Requires mutex_ to be held. Must run before open attempts are closed, because a shard with open attempts is reported
/// as timed out.
Answer
QueryRun::BuildAnswer()
{
  Answer answer;
  answer.request_ = plan_.id_;
  answer.version_ = plan_.shards_.version_;
  answer.config_ = plan_.config_;
  answer.attempts_ = static_cast<uint32_t>(attempts_.size());
  answer.verdict_ = Verdict::NotRun;
  for (auto& [shard, state] : shards_) {
    if (state.covered_) {
      answer.covered_.insert(shard);
      std::move(state.matches_.begin(), state.matches_.end(), std::back_inserter(answer.matches_));
    } else {
      const bool timedOut = state.openAttempts_ > 0;
      const Reason notStartedReason = plan_.canaryFirst_ ? Reason::CrashSuspect : Reason::Expired;
      const Reason reason = state.started_ ? state.lastReason_ : notStartedReason;
      answer.missing_[shard] = timedOut ? Reason::TimedOut : reason;
      state.verdict_ = timedOut ? Verdict::MayHaveRun : state.verdict_;
      answer.reason_ = answer.missing_[shard];
    }
    answer.verdict_ = Combine(answer.verdict_, state.verdict_);
  }
  // Attempts with an abandoned version affect the verdict only if the last version left shards uncovered.
  if (!answer.missing_.empty()) {
    answer.verdict_ = Combine(answer.verdict_, earlierVersionsVerdict_);
  }
  answer.load_ = MeasureLoad(answer);
  std::sort(answer.matches_.begin(), answer.matches_.end());
  return answer;
}

} // namespace ibisrock
