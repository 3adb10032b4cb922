#include "process/route_activation.h"

#include <algorithm>
#include <unordered_set>

namespace ibisrock {

namespace {

template<typename Visitor>
void
ForEachPool(const RouteTable& aTable, Visitor aVisitor)
{
  for (const Route& route : aTable.Routes()) {
    for (const WeightedPool& pool : route.pools_) {
      aVisitor(pool.pool_);
    }
    if (route.gather_) {
      std::for_each(route.gather_->shards_.begin(), route.gather_->shards_.end(), aVisitor);
    }
  }
}

} // namespace

RouteActivation::RouteActivation(TimerService& aTimers,
                                 Router& aRouter,
                                 Micros aMaxDelay,
                                 std::function<void()> aOnActivated)
  : timers_(aTimers)
  , router_(aRouter)
  , maxDelay_(aMaxDelay)
  , onActivated_(std::move(aOnActivated))
{
}

RouteActivation::~RouteActivation()
{
  timers_.Cancel(deadline_);
}

bool
RouteActivation::Offer(std::shared_ptr<const RouteTable> aTable)
{
  const auto& newest = waiting_ ? waiting_ : router_.Routes();
  if (newest && aTable->Version() <= newest->Version()) {
    return waiting_ != nullptr;
  }
  // A newer configuration takes over the deadline of the one that waits, so that a series does not extend the wait.
  const bool wasWaiting = waiting_ != nullptr;
  waiting_ = std::move(aTable);
  if (!router_.Routes() || HasTargetsForNewPools()) {
    Activate();
    return false;
  }
  if (!wasWaiting) {
    deadline_ = timers_.After(maxDelay_, [this] { Activate(); });
  }
  return true;
}

void
RouteActivation::OnTargetsChanged()
{
  if (waiting_ && HasTargetsForNewPools()) {
    Activate();
  }
}

/// Whether each pool that the waiting configuration adds has a target. Pools of the active configuration may have lost
/// all of theirs.
bool
RouteActivation::HasTargetsForNewPools() const
{
  std::unordered_set<PoolName> active;
  ForEachPool(*router_.Routes(), [&active](const PoolName& aPool) { active.insert(aPool); });
  bool hasAll = true;
  ForEachPool(*waiting_,
              [&](const PoolName& aPool) { hasAll = hasAll && (active.contains(aPool) || router_.HasTargets(aPool)); });
  return hasAll;
}

void
RouteActivation::Activate()
{
  timers_.Cancel(deadline_);
  router_.SetRoutes(std::move(waiting_));
  waiting_ = nullptr;
  onActivated_();
}

} // namespace ibisrock
