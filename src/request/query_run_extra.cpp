#include "request/query_run.h"

#include <algorithm>
#include <optional>

// The extra attempts of a run: retries after a failure and hedges of slow shards, both paid from one budget.

namespace ibisrock {

namespace {

/// Tokens that a hedge leaves in the budget unless its shard is long overdue. Without them, bursts of slightly slow
/// shards empty the budget and stragglers wait unhedged.
constexpr double kKeptTokens = 4;
/// Age of a long overdue attempt, in hedge delays.
constexpr double kOverdueFactor = 1.25;
/// Bounds the wait for a further hedge.
constexpr uint32_t kMaxDoublings = 10;

} // namespace

bool
QueryRun::MayHedge() const
{
  return environment_.hedges_ && plan_.query_.idempotent_ && !canaryPending_;
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
  const bool hedges = MayHedge();
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
    const bool hedges = MayHedge();
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
    budget.Refund();
  }
}

} // namespace ibisrock
