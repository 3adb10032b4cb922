#include "process/target_states.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ibisrock {

namespace {

constexpr Micros kRampTime = Seconds(10);
/// Smallest share of a ramping target; with none it would not be seen to work.
constexpr double kMinShare = 0.05;
/// Lines of each kind in a period: a rolling restart is seen target by target, the loss of a data centre is cut short.
constexpr unsigned kLogLines = 40;
constexpr size_t kLeavingLines = 0;
constexpr size_t kBackLines = 1;

/// Order in which the states of one boot follow each other.
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

TargetStates::TargetStates(TimerService& aTimers, Spread aSpread, LogSink* aLogs)
  : timers_(aTimers)
  , spread_(std::move(aSpread))
  , log_(aTimers, aLogs, "targets", 2, kLogLines)
{
}

/// Logs a target that has begun to leave or is back.
void
TargetStates::Log(const wire::TargetUpdate& aSeen, TargetState aBefore, TargetState aAfter)
{
  const bool isLeaving = aAfter == TargetState::Draining;
  if (isLeaving == (aBefore == TargetState::Draining)) {
    return;
  }
  log_.Write(LogLevel::Info, isLeaving ? kLeavingLines : kBackLines, [&] {
    return "target " + aSeen.target_.Value() + (isLeaving ? " is leaving" : " is back, boot " + aSeen.boot_.Value());
  });
}

/// Returns true when something changed. Needs the shard's lock.
bool
TargetStates::Learn(Entry& aEntry, const wire::TargetUpdate& aSeen, bool aFirstHand) const
{
  const BootId before = aEntry.boots_.Current();
  const BootChange change = aEntry.boots_.See(aSeen.boot_, aFirstHand);
  if (change == BootChange::Outdated) {
    return false;
  }
  if (change == BootChange::Restarted) {
    aEntry.state_ = TargetState::Unknown;
    aEntry.held_.clear();
    aEntry.ramping_ = true;
    aEntry.rampStart_ = timers_.Now();
  }
  bool changed = before != aEntry.boots_.Current();
  const bool isLater = aFirstHand ? aSeen.state_ != TargetState::Unknown && aEntry.state_ != TargetState::Draining
                                  : RankOf(aSeen.state_) > RankOf(aEntry.state_);
  if (isLater) {
    changed = changed || aSeen.state_ != aEntry.state_;
    aEntry.state_ = aSeen.state_;
    if (aSeen.state_ == TargetState::Warming) {
      aEntry.ramping_ = true;
      aEntry.rampStart_ = timers_.Now();
    }
  }
  if (!aSeen.held_.empty()) {
    std::set<IndexVersion> held(aSeen.held_.begin(), aSeen.held_.end());
    if (!aFirstHand) {
      held.insert(aEntry.held_.begin(), aEntry.held_.end());
    }
    changed = changed || held != aEntry.held_;
    aEntry.held_ = std::move(held);
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
    if (!Learn(entry, update, true)) {
      return;
    }
    update.boot_ = entry.boots_.Current();
    after = entry.state_;
  }
  spread_(update);
  Log(update, before, after);
}

void
TargetStates::SpreadLeaving()
{
  std::vector<wire::TargetUpdate> leaving;
  for (Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex_);
    for (const auto& [target, entry] : shard.entries_) {
      if (entry.state_ == TargetState::Draining) {
        leaving.push_back({ target, entry.boots_.Current(), entry.state_, {} });
      }
    }
  }
  for (const wire::TargetUpdate& update : leaving) {
    spread_(update);
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
    spread_(update);
  }
}

bool
TargetStates::OnUpdate(const wire::TargetUpdate& aUpdate)
{
  TargetState before{};
  TargetState after{};
  bool isNews = false;
  {
    Shard& shard = ShardOf(aUpdate.target_);
    std::lock_guard lock(shard.mutex_);
    Entry& entry = shard.entries_[aUpdate.target_];
    before = entry.state_;
    isNews = Learn(entry, aUpdate, false);
    after = entry.state_;
  }
  Log(aUpdate, before, after);
  return isNews;
}

bool
TargetStates::IsLeaving(const TargetName& aTarget) const
{
  const Shard& shard = ShardOf(aTarget);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.entries_.find(aTarget);
  return found != shard.entries_.end() && found->second.state_ == TargetState::Draining;
}

bool
TargetStates::MayHold(const TargetName& aTarget, IndexVersion aVersion) const
{
  const Shard& shard = ShardOf(aTarget);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.entries_.find(aTarget);
  return found == shard.entries_.end() || found->second.held_.empty() || found->second.held_.contains(aVersion);
}

double
TargetStates::RampShare(const TargetName& aTarget) const
{
  const Shard& shard = ShardOf(aTarget);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.entries_.find(aTarget);
  if (found == shard.entries_.end() || !found->second.ramping_) {
    return 1;
  }
  const Micros passed = timers_.Now() - found->second.rampStart_;
  return std::clamp(static_cast<double>(passed.count()) / static_cast<double>(kRampTime.count()), kMinShare, 1.0);
}

} // namespace ibisrock
