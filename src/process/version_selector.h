#ifndef IBISROCK_PROCESS_VERSION_SELECTOR_H
#define IBISROCK_PROCESS_VERSION_SELECTOR_H

#include "process/catalogue_table.h"
#include "process/target_states.h"
#include "request/version_source.h"

#include <map>
#include <mutex>
#include <utility>

namespace ibisrock {

/// Selects the index version of a run from the versions in the catalogue and the sheet, by the known states of the
/// targets. Thread-safe.
class VersionSelector final : public VersionSource
{
public:
  VersionSelector(TimerService& aTimers, const CatalogueTable& aCatalogues, const TargetStates& aTargets)
    : timers_(aTimers)
    , catalogues_(aCatalogues)
    , targets_(aTargets)
  {
  }

  /// Returns the newest version for which every shard has a replica that is neither draining nor known not to hold it.
  /// If there is none, returns the newest version that is not in aMissing.
  std::optional<ShardMap> Choose(const ServiceConfig& aService, const std::set<IndexVersion>& aMissing) override;
  void OnVersionMissing(const ServiceName& aService, IndexVersion aVersion, const ShardName& aShard) override;

private:
  bool CanCoverAllShards(const ShardMap& aMap) const;
  bool IsRecentlyMissing(const ServiceName& aService, IndexVersion aVersion);

  TimerService& timers_;
  const CatalogueTable& catalogues_;
  const TargetStates& targets_;
  std::mutex mutex_;
  /// Versions recently reported as missing, with the time at which they may be selected again.
  std::map<std::pair<ServiceName, IndexVersion>, TimePoint> missingUntil_;
};

} // namespace ibisrock

#endif
