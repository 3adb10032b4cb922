#include "process/version_selector.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Time for which a version reported as missing is not selected. It covers the time until gossip has distributed which
/// targets hold the version.
constexpr Micros kMissingVersionTimeout = Millis(500);

} // namespace

bool
VersionSelector::CanCoverAllShards(const ShardMap& aMap) const
{
  return std::all_of(aMap.shards_.begin(), aMap.shards_.end(), [&](const auto& aEntry) {
    return std::any_of(aEntry.second.begin(), aEntry.second.end(), [&](const TargetName& aTarget) {
      return !targets_.IsDraining(aTarget) && targets_.MayHaveVersion(aTarget, aMap.version_);
    });
  });
}

bool
VersionSelector::IsRecentlyMissing(const ServiceName& aService, IndexVersion aVersion)
{
  std::lock_guard lock(mutex_);
  auto found = missingUntil_.find({ aService, aVersion });
  if (found == missingUntil_.end()) {
    return false;
  }
  if (found->second > timers_.Now()) {
    return true;
  }
  missingUntil_.erase(found);
  return false;
}

std::optional<ShardMap>
VersionSelector::Choose(const ServiceConfig& aService, const std::set<IndexVersion>& aMissing)
{
  std::vector<ShardMap> maps = catalogues_.CandidateMaps(aService).maps_;
  std::erase_if(maps, [&](const ShardMap& aMap) { return aMissing.contains(aMap.version_); });
  for (ShardMap& map : maps) {
    if (!IsRecentlyMissing(aService.name_, map.version_) && CanCoverAllShards(map)) {
      return std::move(map);
    }
  }
  return maps.empty() ? std::nullopt : std::optional(std::move(maps.front()));
}

void
VersionSelector::OnVersionMissing(const ServiceName& aService, IndexVersion aVersion, const ShardName& /*aShard*/)
{
  std::lock_guard lock(mutex_);
  missingUntil_[{ aService, aVersion }] = timers_.Now() + kMissingVersionTimeout;
}

} // namespace ibisrock
