#include "process/connection_warmer.h"

#include <algorithm>
#include <unordered_set>

namespace ibisrock {

namespace {

constexpr Micros kTick = Millis(250);
/// Time for which a new connection occupies a slot of its target, with a margin over the 6 ms that are usual.
constexpr Micros kSetUpTime = Millis(10);
/// Share of the slots of a shard that all instances together may occupy by warming, also right after all have started.
constexpr double kSlotShare = 0.05;
/// A small fleet checks each shard this often. A connection in use is found open and costs nothing.
constexpr Micros kMinInterval = Seconds(1);

} // namespace

ConnectionWarmer::ConnectionWarmer(TimerService& aTimers,
                                   Random& aRandom,
                                   TargetLink& aLink,
                                   TargetDirectory& aTargets,
                                   DataCentre aOwnDataCentre)
  : timers_(aTimers)
  , random_(aRandom)
  , link_(aLink)
  , targets_(aTargets)
  , ownDataCentre_(std::move(aOwnDataCentre))
{
}

ConnectionWarmer::~ConnectionWarmer()
{
  timers_.Cancel(timer_);
}

void
ConnectionWarmer::SetRoutes(const RouteTable& aTable)
{
  std::unordered_set<PoolName> shards;
  for (const Route& route : aTable.Routes()) {
    if (route.gather_) {
      shards.insert(route.gather_->shards_.begin(), route.gather_->shards_.end());
    }
  }
  shards_.assign(shards.begin(), shards.end());
  // Instances that start together visit the shards in different orders.
  for (size_t i = shards_.size(); i > 1; i--) {
    std::swap(shards_[i - 1], shards_[random_.Below(static_cast<uint32_t>(i))]);
  }
  next_ = 0;
  if (timer_.IsNone()) {
    timer_ = timers_.After(kTick, [this] { Tick(); });
  }
}

/// Checks as many shards as are due, in turn.
void
ConnectionWarmer::Tick()
{
  timer_ = timers_.After(kTick, [this] { Tick(); });
  if (shards_.empty()) {
    return;
  }
  const auto interval = static_cast<double>(Interval(shards_[next_ % shards_.size()]).count());
  const auto shards = static_cast<double>(shards_.size());
  due_ = std::min(due_ + shards * static_cast<double>(kTick.count()) / interval, shards);
  for (; due_ >= 1; due_ -= 1) {
    Warm(shards_[next_++ % shards_.size()]);
  }
}

/// Opens a connection to the best target of a shard, unless one is open or in use.
void
ConnectionWarmer::Warm(const PoolName& aPool)
{
  const auto targets = targets_.TargetsOf(aPool);
  const bool isWarm = std::any_of(targets.begin(), targets.end(), [this](const TargetPtr& aTarget) {
    return aTarget->InFlight() > 0 || link_.HasIdleConnection(aTarget->Record().name_);
  });
  if (isWarm) {
    return;
  }
  const TargetPtr target = ChooseTarget(targets, { timers_.Now(), ownDataCentre_, link_, {} }, random_).target_;
  if (target) {
    link_.OpenIdleConnection(target->Record().name_, target->Record().address_);
  }
}

/// Time between two checks of a shard: long enough that all instances together stay within kSlotShare if each check
/// opens a connection.
Micros
ConnectionWarmer::Interval(const PoolName& aPool) const
{
  unsigned slots = 0;
  for (const TargetPtr& target : targets_.TargetsOf(aPool)) {
    slots += target->Record().slots_;
  }
  const double factor = static_cast<double>(instances_) / (kSlotShare * std::max(slots, 1U));
  return std::max(kMinInterval, Scale(kSetUpTime, factor));
}

} // namespace ibisrock
