#include "process/target_directory.h"

#include <algorithm>

namespace ibisrock {

namespace {

bool
IsSameIncarnation(const TargetRecord& aLeft, const TargetRecord& aRight)
{
  return aLeft.address_ == aRight.address_ && aLeft.startedAt_ == aRight.startedAt_;
}

/// What is known of the target of a call without its entry.
TargetRecord
MakeRecord(const TargetCall& aCall)
{
  TargetRecord record;
  record.name_ = aCall.target_;
  record.address_ = aCall.address_;
  record.startedAt_ = aCall.targetStartedAt_;
  return record;
}

} // namespace

TargetDirectory::TargetDirectory(TimerService& aTimers, Micros aLeavingUse, OnRemovedOrRestarted aOnRemovedOrRestarted)
  : timers_(aTimers)
  , leavingUse_(aLeavingUse)
  , onRemovedOrRestarted_(std::move(aOnRemovedOrRestarted))
{
}

TargetDirectory::~TargetDirectory()
{
  RestartRetention();
}

void
TargetDirectory::Replace(const std::vector<TargetRecord>& aRecords, bool aAfterOutage)
{
  std::unordered_set<TargetName> listed;
  for (const TargetRecord& record : aRecords) {
    listed.insert(record.name_);
    Upsert(record, aAfterOutage);
  }
  std::vector<TargetName> missing;
  for (const auto& [name, target] : byName_) {
    if (!listed.contains(name)) {
      missing.push_back(name);
    }
  }
  for (const TargetName& name : missing) {
    if (aAfterOutage || retained_.contains(name)) {
      Retain(name);
    } else {
      Remove(name);
    }
  }
}

/// Keeps a missing target until kMissingTargetRetention has passed, unless it registers again.
void
TargetDirectory::Retain(const TargetName& aName)
{
  if (!retained_.contains(aName)) {
    retained_[aName] = timers_.After(kMissingTargetRetention, [this, aName] { Remove(aName); });
  }
}

void
TargetDirectory::EndRetention(const TargetName& aName)
{
  if (const auto node = retained_.extract(aName)) {
    timers_.Cancel(node.mapped());
  }
}

void
TargetDirectory::RestartRetention()
{
  for (const auto& [name, timer] : retained_) {
    timers_.Cancel(timer);
  }
  retained_.clear();
}

/// After an outage it is not known for how long a target has been leaving already.
void
TargetDirectory::Upsert(const TargetRecord& aRecord, bool aAfterOutage)
{
  EndRetention(aRecord.name_);
  notices_.OnRecord(aRecord);
  auto found = byName_.find(aRecord.name_);
  if (found == byName_.end()) {
    auto target = std::make_shared<Target>(aRecord, timers_.Now());
    byName_.emplace(aRecord.name_, target);
    ApplyNotices(target);
    AddToPool(target, false);
    return;
  }
  TargetPtr target = found->second;
  const bool wasServing = RemoveFromPool(target);
  const bool isSame = IsSameIncarnation(target->Record(), aRecord);
  if (!isSame) {
    onRemovedOrRestarted_(aRecord.name_);
  }
  target->Update(aRecord, timers_.Now());
  AddToPool(target, wasServing && isSame && !aAfterOutage);
}

void
TargetDirectory::Remove(const TargetName& aName)
{
  EndRetention(aName);
  auto found = byName_.find(aName);
  if (found == byName_.end()) {
    return;
  }
  found->second->MarkRemoved();
  RemoveFromPool(found->second);
  byName_.erase(found);
  onRemovedOrRestarted_(aName);
}

TargetPtr
TargetDirectory::Find(const TargetName& aName) const
{
  auto found = byName_.find(aName);
  return found == byName_.end() ? nullptr : found->second;
}

std::span<const TargetPtr>
TargetDirectory::TargetsOf(const PoolName& aPool) const
{
  auto found = byPool_.find(aPool);
  if (found == byPool_.end()) {
    return {};
  }
  return found->second.serving_.empty() ? found->second.leaving_ : found->second.serving_;
}

bool
TargetDirectory::HasServingTargets(const PoolName& aPool) const
{
  auto found = byPool_.find(aPool);
  return found != byPool_.end() && !found->second.serving_.empty();
}

std::optional<TimePoint>
TargetDirectory::TakeNotice(const TargetCall& aCall, const TargetNotice& aNotice)
{
  const TargetRecord record = MakeRecord(aCall);
  const TargetPtr target = Find(aCall.target_);
  const bool isEarlier =
    target && (target->Record().startedAt_ > record.startedAt_ ||
               (target->Record().startedAt_ == record.startedAt_ && target->Record().address_ != record.address_));
  if (isEarlier) {
    return std::nullopt;
  }
  notices_.Add(record, aNotice, timers_.Now());
  if (target) {
    const bool wasServing = RemoveFromPool(target);
    ApplyNotices(target);
    AddToPool(target, wasServing);
  }
  return notices_.PauseEnd(record);
}

void
TargetDirectory::ApplyNotices(const TargetPtr& aTarget)
{
  const TimePoint pauseEnd = notices_.PauseEnd(aTarget->Record());
  if (pauseEnd > timers_.Now()) {
    aTarget->PauseUntil(pauseEnd);
  }
}

/// A target that leaves is used on only if it was seen serving before, because it is not known since when another one
/// leaves.
void
TargetDirectory::AddToPool(const TargetPtr& aTarget, bool aWasServing)
{
  PoolTargets& pool = byPool_[aTarget->Record().pool_];
  if (!aTarget->Record().isLeaving_ && !notices_.IsLeaving(aTarget->Record())) {
    aTarget->Stay();
    pool.serving_.push_back(aTarget);
    return;
  }
  const TimePoint now = timers_.Now();
  if (!aTarget->IsLeaving()) {
    aTarget->LeaveAt(aWasServing ? now + leavingUse_ : now);
  }
  if (!aTarget->HasLeft(now)) {
    pool.leaving_.push_back(aTarget);
  }
}

/// Returns whether the target was one that does not leave.
bool
TargetDirectory::RemoveFromPool(const TargetPtr& aTarget)
{
  auto found = byPool_.find(aTarget->Record().pool_);
  if (found == byPool_.end()) {
    return false;
  }
  std::erase(found->second.leaving_, aTarget);
  return std::erase(found->second.serving_, aTarget) > 0;
}

} // namespace ibisrock
