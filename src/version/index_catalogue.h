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
  /// Number of the publication; it rises with each change of the object.
  uint64_t version_ = 0;
  /// Newest index version first.
  std::vector<ShardMap> maps_;

  bool operator==(const IndexCatalogue&) const = default;
};

/// Most index versions of one catalogue.
constexpr size_t kMaxIndexVersions = 64;

/// Key of the object that holds a service's catalogue.
std::string
CatalogueKey(const ServiceName& aService);

std::string
EncodeCatalogue(const IndexCatalogue& aCatalogue);

/// Refuses a catalogue without versions, with one version twice, and with a shard without targets.
std::optional<IndexCatalogue>
DecodeCatalogue(const std::string& aText, LastReason& aReason);

/// Shard maps that a query of a service may use.
struct CandidateShardMaps
{
  /// Newest index version first.
  std::vector<ShardMap> maps_;
  /// Entries of the catalogue that name a target which the configuration does not describe.
  size_t unknownTargets_ = 0;
};

/// Joins the sheet's map with those of the catalogue, which may be null. For an index version that both have, the
/// catalogue's map counts. A map with a shard that no known target holds is left out, because it cannot be whole.
CandidateShardMaps
FindCandidateShardMaps(const ServiceConfig& aService, const IndexCatalogue* aCatalogue);

} // namespace ibisrock

#endif
