#include "version/index_catalogue.h"

#include "version/stored_json.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

using nlohmann::json;

ShardMap
DecodeMap(const json& aValue)
{
  ShardMap map;
  map.version_ = IndexVersion(ReadStoredNumber(aValue, "index_version", UINT64_MAX));
  map.shards_ = DecodeShards(aValue.at("shards"));
  if (map.version_.IsNone() || map.shards_.empty()) {
    throw StoredValueError("an index version has no version number or no shards");
  }
  return map;
}

bool
IsNewer(const ShardMap& aLeft, const ShardMap& aRight)
{
  return aLeft.version_ > aRight.version_;
}

IndexCatalogue
DecodeCatalogueValue(const json& aValue)
{
  IndexCatalogue catalogue;
  catalogue.version_ = ReadStoredNumber(aValue, "version", UINT64_MAX);
  const json& versions = aValue.at("versions");
  if (!versions.is_array() || versions.empty() || versions.size() > kMaxIndexVersions) {
    throw StoredValueError("the versions are not a list of 1 to " + std::to_string(kMaxIndexVersions));
  }
  for (const json& version : versions) {
    catalogue.maps_.push_back(DecodeMap(version));
  }
  std::sort(catalogue.maps_.begin(), catalogue.maps_.end(), &IsNewer);
  const auto haveSameVersion = [](const ShardMap& aLeft, const ShardMap& aRight) {
    return aLeft.version_ == aRight.version_;
  };
  if (std::adjacent_find(catalogue.maps_.begin(), catalogue.maps_.end(), haveSameVersion) != catalogue.maps_.end()) {
    throw StoredValueError("an index version is listed twice");
  }
  return catalogue;
}

/// Removes targets that the configuration does not describe. Returns the number of removed entries.
size_t
RemoveUnknownTargets(const ServiceConfig& aService, ShardMap& aMap)
{
  size_t removed = 0;
  for (auto& [shard, targets] : aMap.shards_) {
    removed +=
      std::erase_if(targets, [&aService](const TargetName& aTarget) { return !aService.targets_.contains(aTarget); });
  }
  return removed;
}

} // namespace

std::string
CatalogueKey(const ServiceName& aService)
{
  return "index/" + aService.Value();
}

std::string
EncodeCatalogue(const IndexCatalogue& aCatalogue)
{
  json versions = json::array();
  for (const ShardMap& map : aCatalogue.maps_) {
    versions.push_back({ { "index_version", map.version_.Value() }, { "shards", EncodeShards(map.shards_) } });
  }
  return json{ { "version", aCatalogue.version_ }, { "versions", versions } }.dump();
}

std::optional<IndexCatalogue>
DecodeCatalogue(const std::string& aText, LastReason& aReason)
{
  return DecodeStored(aText, "index catalogue", &DecodeCatalogueValue, aReason);
}

CandidateShardMaps
FindCandidateShardMaps(const ServiceConfig& aService, const IndexCatalogue* aCatalogue)
{
  CandidateShardMaps candidates;
  bool containsSheetVersion = false;
  if (aCatalogue != nullptr) {
    for (ShardMap map : aCatalogue->maps_) {
      containsSheetVersion = containsSheetVersion || map.version_ == aService.shardMap_.version_;
      candidates.unknownTargets_ += RemoveUnknownTargets(aService, map);
      const bool coversAllShards =
        std::none_of(map.shards_.begin(), map.shards_.end(), [](const auto& aShard) { return aShard.second.empty(); });
      if (coversAllShards) {
        candidates.maps_.push_back(std::move(map));
      }
    }
  }
  if (!containsSheetVersion || candidates.maps_.empty()) {
    candidates.maps_.push_back(aService.shardMap_);
  }
  std::sort(candidates.maps_.begin(), candidates.maps_.end(), &IsNewer);
  return candidates;
}

} // namespace ibisrock
