#include "process/target_states.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ibisrock {

namespace {

constexpr Micros kSlowStartDuration = Seconds(10);
/// Minimum weight during slow start. With a weight of zero, a target would get no calls that show whether it works.
constexpr double kMinSlowStartWeight = 0.05;
/// Log lines of each kind per period: enough to log each target of a rolling restart, while the loss of a data centre
/// is truncated.
constexpr unsigned kMaxLogLinesPerKind = 40;
constexpr size_t kDrainingLogKind = 0;
constexpr size_t kRestartedLogKind = 1;

/// Position of a state in the sequence that a target passes through during one boot.
int
RankOf(TargetState aState)
{
  switch (aState) {
    case TargetState::Unknown:
      return 0;
    case TargetState::Warming:
      return 1;
    case TargetState::Ready:
      return 2;
    case TargetState::Draining:
      return 3;
  }
  return 0;
}

wire::TargetUpdate
ToUpdate(const TargetName& aTarget, const TargetReply& aReply)
{
  wire::TargetUpdate update{ aTarget, aReply.boot_, aReply.state_, aReply.held_ };
  if (aReply.verdict_ == Verdict::NotRun && aReply.reason_ == Reason::Draining) {
    update.state_ = TargetState::Draining;
  }
  return update;
}

} // namespace

TargetStates::TargetStates(TimerService& aTimers, Publisher aPublish, LogSink* aLogs)
  : timers_(aTimers)
  , publish_(std::move(aPublish))
  , log_(aTimers, aLogs, "targets", 2, kMaxLogLinesPerKind)
{
}

/// Logs a target that started to drain or that restarted after draining.
void
TargetStates::Log(const wire::TargetUpdate& aUpdate, TargetState aBefore, TargetState aAfter)
{
  const bool isDraining = aAfter == TargetState::Draining;
  if (isDraining == (aBefore == TargetState::Draining)) {
    return;
  }
  log_.Write(LogLevel::Info, isDraining ? kDrainingLogKind : kRestartedLogKind, [&] {
    return "target " + aUpdate.target_.Value() +
           (isDraining ? " is leaving" : " is back, boot " + aUpdate.boot_.Value());
  });
}

/// Returns whether the entry changed. Requires the lock of its shard.
bool
TargetStates::Merge(Entry& aEntry, const wire::TargetUpdate& aUpdate, bool aIsDirect) const
{
  const BootId before = aEntry.boots_.Current();
  const BootChange change = aEntry.boots_.Record(aUpdate.boot_, aIsDirect);
  if (change == BootChange::Outdated) {
    return false;
  }
  if (change == BootChange::Restarted) {
    aEntry.state_ = TargetState::Unknown;
    aEntry.versions_.clear();
    aEntry.inSlowStart_ = true;
    aEntry.slowStartBegin_ = timers_.Now();
  }
  bool changed = before != aEntry.boots_.Current();
  const bool isNewerState = aIsDirect ? aUpdate.state_ != TargetState::Unknown && aEntry.state_ != TargetState::Draining
                                      : RankOf(aUpdate.state_) > RankOf(aEntry.state_);
  if (isNewerState) {
    changed = changed || aUpdate.state_ != aEntry.state_;
    aEntry.state_ = aUpdate.state_;
    if (aUpdate.state_ == TargetState::Warming) {
      aEntry.inSlowStart_ = true;
      aEntry.slowStartBegin_ = timers_.Now();
    }
  }
  if (!aUpdate.held_.empty()) {
    std::set<IndexVersion> versions(aUpdate.held_.begin(), aUpdate.held_.end());
    if (!aIsDirect) {
      versions.insert(aEntry.versions_.begin(), aEntry.versions_.end());
    }
    changed = changed || versions != aEntry.versions_;
    aEntry.versions_ = std::move(versions);
  }
  return changed;
}

void
TargetStates::OnReply(const TargetName& aTarget, const TargetReply& aReply)
{
  wire::TargetUpdate update = ToUpdate(aTarget, aReply);
  TargetState before{};
  TargetState after{};
  {
    Shard& shard = ShardOf(aTarget);
    std::lock_guard lock(shard.mutex_);
    Entry& entry = shard.entries_[aTarget];
    before = entry.state_;
    if (!Merge(entry, update, true)) {
      return;
    }
    update.boot_ = entry.boots_.Current();
    after = entry.state_;
  }
  publish_(update);
  Log(update, before, after);
}

void
TargetStates::PublishDraining()
{
  std::vector<wire::TargetUpdate> draining;
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex_);
    for (const auto& [target, entry] : shard.entries_) {
      if (entry.state_ == TargetState::Draining) {
        draining.push_back({ target, entry.boots_.Current(), entry.state_, {} });
      }
    }
  }
  for (const wire::TargetUpdate& update : draining) {
    publish_(update);
  }
}

void
TargetStates::OnHealth(const TargetName& aTarget, const TargetReply& aReply)
{
  if (aReply.verdict_ != Verdict::Ran) {
    return;
  }
  wire::TargetUpdate update = ToUpdate(aTarget, aReply);
  if (update.state_ == TargetState::Ready) {
    update.state_ = TargetState::Unknown;
  }
  if (OnUpdate(update)) {
    publish_(update);
  }
}

bool
TargetStates::OnUpdate(const wire::TargetUpdate& aUpdate)
{
  TargetState before{};
  TargetState after{};
  bool changed = false;
  {
    Shard& shard = ShardOf(aUpdate.target_);
    std::lock_guard lock(shard.mutex_);
    Entry& entry = shard.entries_[aUpdate.target_];
    before = entry.state_;
    changed = Merge(entry, aUpdate, false);
    after = entry.state_;
  }
  Log(aUpdate, before, after);
  return changed;
}

bool
TargetStates::IsDraining(const TargetName& aTarget) const
{
  const Shard& shard = ShardOf(aTarget);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.entries_.find(aTarget);
  return found != shard.entries_.end() && found->second.state_ == TargetState::Draining;
}

bool
TargetStates::MayHaveVersion(const TargetName& aTarget, IndexVersion aVersion) const
{
  const Shard& shard = ShardOf(aTarget);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.entries_.find(aTarget);
  return found == shard.entries_.end() || found->second.versions_.empty() || found->second.versions_.contains(aVersion);
}

double
TargetStates::SlowStartWeight(const TargetName& aTarget) const
{
  const Shard& shard = ShardOf(aTarget);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.entries_.find(aTarget);
  if (found == shard.entries_.end() || !found->second.inSlowStart_) {
    return 1;
  }
  const Micros passed = timers_.Now() - found->second.slowStartBegin_;
  return std::clamp(
    static_cast<double>(passed.count()) / static_cast<double>(kSlowStartDuration.count()), kMinSlowStartWeight, 1.0);
}

} // namespace ibisrock
