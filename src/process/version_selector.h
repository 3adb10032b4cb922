#ifndef IBISROCK_PROCESS_VERSION_SELECTOR_H
#define IBISROCK_PROCESS_VERSION_SELECTOR_H

#include "process/catalogue_table.h"
#include "process/target_states.h"
#include "request/version_source.h"

#include <map>
#include <mutex>
#include <utility>

namespace ibisrock {

/// Chooses the index version of a run among those of the catalogue and the sheet, by what is known of the targets.
/// Thread-safe.
class VersionSelector final : public VersionSource
{
public:
  VersionSelector(TimerService& aTimers, const CatalogueTable& aCatalogues, const TargetStates& aTargets)
    : timers_(aTimers)
    , catalogues_(aCatalogues)
    , targets_(aTargets)
  {
  }

  /// The newest version for which every shard has a replica that is neither leaving nor known to lack it. Without such
  /// a version, the newest that is not in aMissing.
  std::optional<ShardMap> Choose(const ServiceConfig& aService, const std::set<IndexVersion>& aMissing) override;
  void OnVersionMissing(const ServiceName& aService, IndexVersion aVersion, const ShardName& aShard) override;

private:
  bool CanBeWhole(const ShardMap& aMap) const;
  bool WasMissing(const ServiceName& aService, IndexVersion aVersion);

  TimerService& timers_;
  const CatalogueTable& catalogues_;
  const TargetStates& targets_;
  std::mutex mutex_;
  /// Versions found missing lately, with the time at which they may be tried again.
  std::map<std::pair<ServiceName, IndexVersion>, TimePoint> missingUntil_;
};

} // namespace ibisrock

#endif
