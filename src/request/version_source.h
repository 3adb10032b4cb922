#ifndef IBISROCK_REQUEST_VERSION_SOURCE_H
#define IBISROCK_REQUEST_VERSION_SOURCE_H

#include "version/configuration.h"

#include <optional>
#include <set>

namespace ibisrock {

/// Selects the index version that a run is pinned to, with its shard map. Thread-safe.
class VersionSource
{
public:
  virtual ~VersionSource() = default;

  /// Returns the newest usable version of the service that is not in aMissing; no value if there is none.
  virtual std::optional<ShardMap> Choose(const ServiceConfig& aService, const std::set<IndexVersion>& aMissing) = 0;
  /// Called when a run finds that no reachable replica of aShard holds the version.
  virtual void OnVersionMissing(const ServiceName& aService, IndexVersion aVersion, const ShardName& aShard) = 0;
};

/// Offers only the shard map that is configured in the sheet.
class SheetVersionSource final : public VersionSource
{
public:
  std::optional<ShardMap> Choose(const ServiceConfig& aService, const std::set<IndexVersion>& aMissing) override
  {
    return aMissing.contains(aService.shardMap_.version_) ? std::nullopt : std::optional(aService.shardMap_);
  }
  /// Does nothing, because the sheet has no other version.
  void OnVersionMissing(const ServiceName& /*aService*/,
                        IndexVersion /*aVersion*/,
                        const ShardName& /*aShard*/) override
  {
  }
};

} // namespace ibisrock

#endif
