#ifndef IBISROCK_VERSION_INDEX_CATALOGUE_H
#define IBISROCK_VERSION_INDEX_CATALOGUE_H

#include "base/last_reason.h"
#include "version/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock {

/// The published index versions of one service.
struct IndexCatalogue
{
  /// Version of the catalogue object; increases with each change.
  uint64_t version_ = 0;
  /// Sorted by index version, newest first.
  std::vector<ShardMap> maps_;

  bool operator==(const IndexCatalogue&) const = default;
};

/// Maximum number of index versions in one catalogue.
constexpr size_t kMaxIndexVersions = 64;

/// Key of the object that holds a service's catalogue.
std::string
CatalogueKey(const ServiceName& aService);

std::string
EncodeCatalogue(const IndexCatalogue& aCatalogue);

/// Rejects a catalogue without versions, with a duplicate version, or with a shard without targets.
std::optional<IndexCatalogue>
DecodeCatalogue(const std::string& aText, LastReason& aReason);

/// Shard maps from which a query of a service may choose.
struct CandidateShardMaps
{
  /// Sorted by index version, newest first.
  std::vector<ShardMap> maps_;
  /// Number of catalogue entries that refer to a target which the configuration does not describe.
  size_t unknownTargets_ = 0;
};

/// Merges the sheet's map with those of the catalogue, which may be null. For an index version that is in both, the
/// catalogue's map takes precedence. A map with a shard that no known target holds is omitted, because it cannot give
/// full coverage. When no map of the catalogue remains, the result is the sheet's map.
CandidateShardMaps
FindCandidateShardMaps(const ServiceConfig& aService, const IndexCatalogue* aCatalogue);

} // namespace ibisrock

#endif
