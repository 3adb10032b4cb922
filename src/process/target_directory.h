#ifndef IBISROCK_PROCESS_TARGET_DIRECTORY_H
#define IBISROCK_PROCESS_TARGET_DIRECTORY_H

#include "base/timer_service.h"
#include "process/target_choice.h"

#include <functional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace ibisrock {

/// The targets that discovery names, by pool. Used on one thread.
class TargetDirectory
{
public:
  using OnRemovedOrRestarted = std::function<void(const TargetName&)>;

  /// Time for which a target that is missing from the first list after an outage of discovery is still used: targets
  /// that live register again within two seconds of its return.
  static constexpr Micros kMissingTargetRetention = Millis(2000);

  TargetDirectory(TimerService& aTimers, OnRemovedOrRestarted aOnRemovedOrRestarted);

  /// Takes the full list. After an outage, targets that are missing are kept for kMissingTargetRetention.
  void Replace(const std::vector<TargetRecord>& aRecords, bool aAfterOutage);
  void Upsert(const TargetRecord& aRecord);
  void Remove(const TargetName& aName);

  /// Targets of the pool that take new work, in no order.
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

  TimerService& timers_;
  const OnRemovedOrRestarted onRemovedOrRestarted_;
  std::unordered_map<TargetName, TargetPtr> byName_;
  std::unordered_map<PoolName, std::vector<TargetPtr>> byPool_;
  /// Targets that lapsed during an outage and have not registered again.
  std::unordered_set<TargetName> retained_;
};

} // namespace ibisrock

#endif
