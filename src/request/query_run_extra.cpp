#include "request/query_run.h"

#include <algorithm>
#include <optional>

// Extra attempts of a run: retries after failures and hedges of slow shards. Both draw tokens from one budget.

namespace ibisrock {

namespace {

/// Number of tokens that a hedge must leave in the budget unless its shard is long overdue. Without this reserve,
/// bursts of slightly slow shards exhaust the budget and the real stragglers are not hedged.
constexpr double kHedgeTokenReserve = 4;
/// An attempt is long overdue when its age reaches this multiple of the shard's current hedge delay.
constexpr double kOverdueFactor = 1.25;
/// Limits the exponential growth of the delay between hedges of one shard.
constexpr uint32_t kMaxHedgeDelayDoublings = 10;

} // namespace

bool
QueryRun::MayHedge() const
{
  return environment_.hedgingEnabled_ && plan_.query_.idempotent_ && !canaryPending_;
}

/// Tries another replica of a shard that has no open attempt. If the budget has no token, the retry is left pending;
/// aWithoutToken skips the budget.
void
QueryRun::Retry(const ShardName& aShard, bool aWithoutToken, Actions& aActions)
{
  ShardState& state = shards_.at(aShard);
  state.retryPending_ = false;
  if (state.openAttempts_ > 0 || !MayStartAttempts() || UntriedReplicas(aShard).empty()) {
    return;
  }
  if (aWithoutToken || environment_.service_.budget_.TryTake()) {
    StartAttempt(aShard, AttemptKind::Retry, aActions);
  } else {
    state.retryPending_ = true;
  }
  ScheduleExtraAttempts();
}

/// Sets a timer for the earliest time at which a shard may need a hedge or a pending retry. Does nothing if the timer
/// is already set.
void
QueryRun::ScheduleExtraAttempts()
{
  if (extraAttemptTimerSet_ || !MayStartAttempts()) {
    return;
  }
  const TimePoint now = environment_.timers_.Now();
  const bool mayHedge = MayHedge();
  std::optional<TimePoint> due;
  for (const auto& [shard, state] : shards_) {
    if (state.covered_ || (!state.retryPending_ && !(mayHedge && CanHedge(shard)))) {
      continue;
    }
    TimePoint at = state.startedAt_ + NextHedgeDelay(state);
    // A hedge or retry that found no token is tried again after a quarter of the hedge delay.
    at = at <= now ? now + hedgeDelay_ / 4 : at;
    due = std::min(due.value_or(at), at);
  }
  if (due && *due < deadline_) {
    extraAttemptTimerSet_ = true;
    extraAttemptTimer_ =
      environment_.timers_.After(*due - now, [self = shared_from_this()] { self->OnExtraAttemptTimer(); });
  }
}

/// Starts pending retries, and hedges the shards whose latest attempt is older than the hedge delay, which follows a
/// tracked latency quantile.
void
QueryRun::OnExtraAttemptTimer()
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    extraAttemptTimerSet_ = false;
    const TimePoint now = environment_.timers_.Now();
    const bool mayHedge = MayHedge();
    for (auto& [shard, state] : shards_) {
      if (!MayStartAttempts()) {
        break;
      }
      if (state.covered_) {
        continue;
      }
      if (state.retryPending_) {
        Retry(shard, false, actions);
      } else if (mayHedge && CanHedge(shard) && now - state.startedAt_ >= NextHedgeDelay(state)) {
        StartHedge(shard, actions);
      }
    }
    ScheduleExtraAttempts();
    FinishIfDone(actions);
  }
  Perform(actions);
}

/// True if the shard has an open attempt and an untried replica.
bool
QueryRun::CanHedge(const ShardName& aShard) const
{
  return shards_.at(aShard).openAttempts_ > 0 && !UntriedReplicas(aShard).empty();
}

/// Time from the latest attempt of a shard to its next hedge. It doubles with each further open attempt, because a
/// shard that is slow on several replicas is probably slow on all of them.
Micros
QueryRun::NextHedgeDelay(const ShardState& aState) const
{
  return hedgeDelay_ * (1U << std::min(std::max(aState.openAttempts_, 1U) - 1, kMaxHedgeDelayDoublings));
}

/// Starts another attempt of a slow shard if the budget has a token.
void
QueryRun::StartHedge(const ShardName& aShard, Actions& aActions)
{
  const ShardState& state = shards_.at(aShard);
  const Micros age = environment_.timers_.Now() - state.startedAt_;
  const bool overdue = age >= std::chrono::duration_cast<Micros>(kOverdueFactor * NextHedgeDelay(state));
  ExtraAttemptBudget& budget = environment_.service_.budget_;
  if (!budget.TryTake(overdue ? 0 : kHedgeTokenReserve)) {
    return;
  }
  if (!StartAttempt(aShard, AttemptKind::Hedge, aActions)) {
    budget.Refund();
  }
}

} // namespace ibisrock
