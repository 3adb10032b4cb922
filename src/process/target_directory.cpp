#include "process/target_directory.h"

#include <algorithm>

namespace ibisrock {

TargetDirectory::TargetDirectory(TimerService& aTimers, OnRemovedOrRestarted aOnRemovedOrRestarted)
  : timers_(aTimers)
  , onRemovedOrRestarted_(std::move(aOnRemovedOrRestarted))
{
}

void
TargetDirectory::Replace(const std::vector<TargetRecord>& aRecords, bool aAfterOutage)
{
  std::unordered_set<TargetName> listed;
  for (const TargetRecord& record : aRecords) {
    listed.insert(record.name_);
    Upsert(record);
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
  if (!retained_.insert(aName).second) {
    return;
  }
  timers_.After(kMissingTargetRetention, [this, aName] {
    if (retained_.contains(aName)) {
      Remove(aName);
    }
  });
}

void
TargetDirectory::Upsert(const TargetRecord& aRecord)
{
  retained_.erase(aRecord.name_);
  notices_.OnRecord(aRecord);
  auto found = byName_.find(aRecord.name_);
  if (found == byName_.end()) {
    auto target = std::make_shared<Target>(aRecord, timers_.Now());
    byName_.emplace(aRecord.name_, target);
    ApplyNotices(target);
    AddToPool(target);
    return;
  }
  TargetPtr target = found->second;
  RemoveFromPool(target);
  if (target->Record().address_ != aRecord.address_ || target->Record().startedAt_ != aRecord.startedAt_) {
    onRemovedOrRestarted_(aRecord.name_);
  }
  target->Update(aRecord, timers_.Now());
  AddToPool(target);
}

void
TargetDirectory::Remove(const TargetName& aName)
{
  retained_.erase(aName);
  auto found = byName_.find(aName);
  if (found == byName_.end()) {
    return;
  }
  found->second->MarkRemoved();
  RemoveFromPool(found->second);
  byName_.erase(found);
  onRemovedOrRestarted_(aName);
}

std::span<const TargetPtr>
TargetDirectory::TargetsOf(const PoolName& aPool) const
{
  auto found = byPool_.find(aPool);
  return found == byPool_.end() ? std::span<const TargetPtr>() : found->second;
}

TargetPtr
TargetDirectory::TakeNotice(const TargetName& aName, uint64_t aStartedAt, const TargetNotice& aNotice)
{
  auto found = byName_.find(aName);
  if (found == byName_.end() || found->second->Record().startedAt_ != aStartedAt) {
    return nullptr;
  }
  TargetPtr target = found->second;
  notices_.Add(target->Record(), aNotice, timers_.Now());
  RemoveFromPool(target);
  ApplyNotices(target);
  AddToPool(target);
  return target;
}

void
TargetDirectory::ApplyNotices(const TargetPtr& aTarget)
{
  const TimePoint pauseEnd = notices_.PauseEnd(aTarget->Record());
  if (pauseEnd > timers_.Now()) {
    aTarget->PauseUntil(pauseEnd);
  }
}

void
TargetDirectory::AddToPool(const TargetPtr& aTarget)
{
  if (!aTarget->Record().isLeaving_ && !notices_.IsLeaving(aTarget->Record())) {
    byPool_[aTarget->Record().pool_].push_back(aTarget);
  }
}

void
TargetDirectory::RemoveFromPool(const TargetPtr& aTarget)
{
  auto found = byPool_.find(aTarget->Record().pool_);
  if (found != byPool_.end()) {
    std::erase(found->second, aTarget);
  }
}

} // namespace ibisrock
