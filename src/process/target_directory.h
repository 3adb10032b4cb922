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

/// The targets published by discovery, indexed by name and pool. A target that leaves serves on for a while; it is used
/// during part of that time where its pool has no other. Not thread-safe.
class TargetDirectory
{
public:
  /// Called with the name of a target that was removed, restarted or given another address.
  using OnRemovedOrRestarted = std::function<void(const TargetName&)>;

  /// Time for which a target that is missing from the first list after a discovery outage is still used. Running
  /// targets register again within two seconds of the return of discovery.
  static constexpr Micros kMissingTargetRetention = Millis(2000);

  /// aLeavingUse is the time for which a target is used after it was seen to leave.
  TargetDirectory(TimerService& aTimers, Micros aLeavingUse, OnRemovedOrRestarted aOnRemovedOrRestarted);
  ~TargetDirectory();

  /// Replaces the full list. After a discovery outage, missing targets are kept for kMissingTargetRetention.
  void Replace(const std::vector<TargetRecord>& aRecords, bool aAfterOutage);
  /// Another outage has begun: targets that are missing since the latest one get the full time from the next list on.
  void RestartRetention();
  void Upsert(const TargetRecord& aRecord) { Upsert(aRecord, false); }
  void Remove(const TargetName& aName);

  /// Takes what the target of a call has said of itself, also while its entry is missing; passes over what an earlier
  /// incarnation than the known one has said. Returns the end of the target's pause, which may be past, or no value if
  /// it was passed over.
  std::optional<TimePoint> TakeNotice(const TargetCall& aCall, const TargetNotice& aNotice);

  /// Returns the target, or null.
  TargetPtr Find(const TargetName& aName) const;
  /// Targets of the pool that accept new calls, in unspecified order. If it has none, those that leave.
  std::span<const TargetPtr> TargetsOf(const PoolName& aPool) const;
  /// Whether the pool has a target that does not leave.
  bool HasServingTargets(const PoolName& aPool) const;
  template<typename Visitor>
  void ForEach(Visitor aVisitor) const
  {
    for (const auto& [name, target] : byName_) {
      aVisitor(target);
    }
  }
  size_t Size() const { return byName_.size(); }

private:
  struct PoolTargets
  {
    std::vector<TargetPtr> serving_;
    std::vector<TargetPtr> leaving_;
  };

  void Upsert(const TargetRecord& aRecord, bool aAfterOutage);
  void Retain(const TargetName& aName);
  void EndRetention(const TargetName& aName);
  void AddToPool(const TargetPtr& aTarget, bool aWasServing);
  bool RemoveFromPool(const TargetPtr& aTarget);
  void ApplyNotices(const TargetPtr& aTarget);

  TimerService& timers_;
  const Micros leavingUse_;
  const OnRemovedOrRestarted onRemovedOrRestarted_;
  TargetNotices notices_;
  std::unordered_map<TargetName, TargetPtr> byName_;
  std::unordered_map<PoolName, PoolTargets> byPool_;
  /// Targets that were missing after a discovery outage and have not registered again, and when they are removed.
  std::unordered_map<TargetName, TimerId> retained_;
};

} // namespace ibisrock

#endif
