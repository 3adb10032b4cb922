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

/// The member that owns a replica by rendezvous hashing: among the members of the replica's data centre if there are
/// any, else among all. Returns nullptr for an empty view. The result lives as long as the view.
const Member*
FindOwner(const MemberView& aView, const TargetName& aTarget, const DataCentre& aDataCentre);

/// The same among the members for which aMayOwn is true.
const Member*
FindOwner(const MemberView& aView,
          const TargetName& aTarget,
          const DataCentre& aDataCentre,
          const std::function<bool(const Member&)>& aMayOwn);

/// Remembers the results of FindOwner for the newest member view, because a query asks for the owner of each of its
/// attempts and the view seldom changes. Thread-safe.
class OwnerCache
{
public:
  /// Same result as FindOwner.
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
    /// Keeps the members alive that the entries point to.
    std::shared_ptr<const MemberView> view_;
    std::unordered_map<TargetName, Entry> owners_;
  };
  static constexpr size_t kShardCount = 16;

  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
