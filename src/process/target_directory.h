#ifndef IBISROCK_PROCESS_TARGET_DIRECTORY_H
#define IBISROCK_PROCESS_TARGET_DIRECTORY_H

#include "base/timer_service.h"
#include "process/target_choice.h"
#include "process/target_notices.h"

#include <functional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace ibisrock {

/// The targets published by discovery, indexed by name and pool. Not thread-safe.
class TargetDirectory
{
public:
  /// Called with the name of a target that was removed, restarted or given another address.
  using OnRemovedOrRestarted = std::function<void(const TargetName&)>;

  /// Time for which a target that is missing from the first list after a discovery outage is still used. Running
  /// targets register again within two seconds of the return of discovery.
  static constexpr Micros kMissingTargetRetention = Millis(2000);

  TargetDirectory(TimerService& aTimers, OnRemovedOrRestarted aOnRemovedOrRestarted);

  /// Replaces the full list. After a discovery outage, missing targets are kept for kMissingTargetRetention.
  void Replace(const std::vector<TargetRecord>& aRecords, bool aAfterOutage);
  void Upsert(const TargetRecord& aRecord);
  void Remove(const TargetName& aName);

  /// Takes what a target has said of itself. aStartedAt tells which incarnation has said it; another one than the known
  /// is passed over. Returns the target, or null.
  TargetPtr TakeNotice(const TargetName& aName, uint64_t aStartedAt, const TargetNotice& aNotice);

  /// Targets of the pool that accept new calls, in unspecified order.
  std::span<const TargetPtr> TargetsOf(const PoolName& aPool) const;
  template<typename Visitor>
  void ForEach(Visitor aVisitor) const
  {
    for (const auto& [name, target] : byName_) {
      aVisitor(target);
    }
  }
  size_t Size() const { return byName_.size(); }

private:
  void Retain(const TargetName& aName);
  void AddToPool(const TargetPtr& aTarget);
  void RemoveFromPool(const TargetPtr& aTarget);
  void ApplyNotices(const TargetPtr& aTarget);

  TimerService& timers_;
  const OnRemovedOrRestarted onRemovedOrRestarted_;
  TargetNotices notices_;
  std::unordered_map<TargetName, TargetPtr> byName_;
  std::unordered_map<PoolName, std::vector<TargetPtr>> byPool_;
  /// Targets that were missing after a discovery outage and have not registered again.
  std::unordered_set<TargetName> retained_;
};

} // namespace ibisrock

#endif
