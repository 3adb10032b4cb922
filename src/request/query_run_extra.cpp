#include "request/query_run.h"

#include <algorithm>
#include <optional>

// The extra attempts of a run: retries after a failure and hedges of slow shards, both paid from one budget.

namespace ibisrock {

namespace {

/// Tokens that a hedge leaves in the budget unless its shard is long overdue. Without them, bursts of slightly slow
/// shards empty the budget and stragglers wait unhedged.
constexpr double kHedgeTokenReserve = 4;
/// Age of a long overdue attempt, in hedge delays.
constexpr double kOverdueFactor = 1.25;
/// Bounds the wait for a further hedge.
constexpr uint32_t kMaxHedgeDelayDoublings = 10;

} // namespace

bool
QueryRun::MayHedge() const
{
  return environment_.hedgingEnabled_ && plan_.query_.idempotent_ && !canaryPending_;
}

/// Tries another replica of a shard without open attempts, or later when there is no token now. aFree needs no token.
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

/// Subscribes to the time at which the next shard may need a hedge or a waiting retry. Does nothing while subscribed.
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
    // A hedge or retry that found no token is tried again after a part of the delay.
    at = at <= now ? now + hedgeDelay_ / 4 : at;
    due = std::min(due.value_or(at), at);
  }
  if (due && *due < deadline_) {
    extraAttemptTimerSet_ = true;
    extraAttemptTimer_ =
      environment_.timers_.After(*due - now, [self = shared_from_this()] { self->OnExtraAttemptTimer(); });
  }
}

/// Starts waiting retries and the hedges of shards that are slower than the tracked quantile.
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

/// True when a shard has an open attempt and a replica that was not tried.
bool
QueryRun::CanHedge(const ShardName& aShard) const
{
  return shards_.at(aShard).openAttempts_ > 0 && !UntriedReplicas(aShard).empty();
}

/// Time from the latest attempt of a shard to its next hedge. It doubles with each attempt that is open, because a
/// shard that is slow on several replicas is probably slow on all of them.
Micros
QueryRun::NextHedgeDelay(const ShardState& aState) const
{
  return hedgeDelay_ * (1U << std::min(std::max(aState.openAttempts_, 1U) - 1, kMaxHedgeDelayDoublings));
}

/// Starts a further attempt of a slow shard if there is a token for it.
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
