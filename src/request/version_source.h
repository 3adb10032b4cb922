#ifndef IBISROCK_REQUEST_VERSION_SOURCE_H
#define IBISROCK_REQUEST_VERSION_SOURCE_H

#include "version/configuration.h"

#include <optional>
#include <set>

namespace ibisrock {

/// Gives the index version that a run pins, with its shard map. Thread-safe.
class VersionSource
{
public:
  virtual ~VersionSource() = default;

  /// Newest usable version of the service that is not in aMissing; no value when there is none.
  virtual std::optional<ShardMap> Choose(const ServiceConfig& aService, const std::set<IndexVersion>& aMissing) = 0;
  /// A run found that no reachable replica of aShard holds the version.
  virtual void OnVersionMissing(const ServiceName& aService, IndexVersion aVersion, const ShardName& aShard) = 0;
};

/// Knows only the shard map of the sheet.
class SheetVersionSource final : public VersionSource
{
public:
  std::optional<ShardMap> Choose(const ServiceConfig& aService, const std::set<IndexVersion>& aMissing) override
  {
    return aMissing.contains(aService.shardMap_.version_) ? std::nullopt : std::optional(aService.shardMap_);
  }
  /// The sheet has no other version to offer, so nothing is remembered.
  void OnVersionMissing(const ServiceName& /*aService*/,
                        IndexVersion /*aVersion*/,
                        const ShardName& /*aShard*/) override
  {
  }
};

} // namespace ibisrock

#endif
