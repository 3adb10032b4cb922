#include "process/dispatcher_table.h"

#include <algorithm>

namespace ibisrock {

DispatcherTable::Shard&
DispatcherTable::ShardOf(const TargetName& aTarget)
{
  return shards_[std::hash<TargetName>()(aTarget) % kShardCount];
}

std::shared_ptr<ReplicaDispatcher>
DispatcherTable::Get(const TargetConfig& aTarget)
{
  Shard& shard = ShardOf(aTarget.name_);
  std::lock_guard lock(shard.mutex_);
  Entry& entry = shard.entries_[aTarget.name_];
  if (!entry.dispatcher_ || entry.config_ != aTarget) {
    entry.config_ = aTarget;
    entry.dispatcher_ = ReplicaDispatcher::Create(aTarget, environment_.timers_, environment_.targets_, observer_);
  }
  return entry.dispatcher_;
}

void
DispatcherTable::Cancel(const TargetName& aTarget, const AttemptId& aId)
{
  std::shared_ptr<ReplicaDispatcher> dispatcher;
  {
    Shard& shard = ShardOf(aTarget);
    std::lock_guard lock(shard.mutex_);
    auto found = shard.entries_.find(aTarget);
    if (found == shard.entries_.end()) {
      return;
    }
    dispatcher = found->second.dispatcher_;
  }
  dispatcher->Cancel(aId);
}

std::map<TargetName, DispatcherLoad>
DispatcherTable::Loads() const
{
  std::map<TargetName, DispatcherLoad> loads;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex_);
    for (const auto& [target, entry] : shard.entries_) {
      loads[target] = entry.dispatcher_->Load();
    }
  }
  return loads;
}

bool
DispatcherTable::IsIdle() const
{
  return std::all_of(shards_.begin(), shards_.end(), [](const Shard& aShard) {
    std::lock_guard lock(aShard.mutex_);
    return std::all_of(aShard.entries_.begin(), aShard.entries_.end(), [](const auto& aEntry) {
      return aEntry.second.dispatcher_->IsIdle();
    });
  });
}

} // namespace ibisrock
