#ifndef IBISROCK_PROCESS_OWNERSHIP_H
#define IBISROCK_PROCESS_OWNERSHIP_H

#include "process/membership.h"
#include "version/configuration.h"

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace ibisrock {

/// Returns the owner of a replica by rendezvous hashing, among the members in the replica's data centre if there are
/// any, otherwise among all members. Returns nullptr for an empty view. The result is valid as long as the view.
const Member*
FindOwner(const MemberView& aView, const TargetName& aTarget, const DataCentre& aDataCentre);

/// As above, but considers only the members for which aIsEligible returns true.
const Member*
FindOwner(const MemberView& aView,
          const TargetName& aTarget,
          const DataCentre& aDataCentre,
          const std::function<bool(const Member&)>& aIsEligible);

/// Caches the results of FindOwner for the newest member view, because the owner is looked up for each attempt of a
/// query and the view rarely changes. Thread-safe.
class OwnerCache
{
public:
  /// Returns the same result as FindOwner.
  const Member* Find(const std::shared_ptr<const MemberView>& aView,
                     const TargetName& aTarget,
                     const DataCentre& aDataCentre);

private:
  struct Entry
  {
    DataCentre dataCentre_;
    const Member* owner_ = nullptr;
  };
  struct Shard
  {
    std::mutex mutex_;
    /// Keeps alive the members that the entries point to.
    std::shared_ptr<const MemberView> view_;
    std::unordered_map<TargetName, Entry> owners_;
  };
  static constexpr size_t kShardCount = 16;

  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
