#include "process/ownership.h"

#include "base/hashing.h"

namespace ibisrock {

namespace {

/// The predicate is a template parameter so that it is inlined: it is called for each member of a large fleet.
template<typename Predicate>
const Member*
FindEligibleOwner(const MemberView& aView,
                  const TargetName& aTarget,
                  const DataCentre& aDataCentre,
                  const Predicate& aIsEligible)
{
  const Member* owner = nullptr;
  bool ownerIsLocal = false;
  uint64_t ownerWeight = 0;
  for (const Member& member : aView.members_) {
    const bool isLocal = member.dataCentre_ == aDataCentre;
    if ((ownerIsLocal && !isLocal) || !aIsEligible(member)) {
      continue;
    }
    const uint64_t weight = RendezvousWeight(aTarget.Value(), member.id_.Value());
    if (owner == nullptr || (isLocal && !ownerIsLocal) || weight > ownerWeight) {
      owner = &member;
      ownerIsLocal = isLocal;
      ownerWeight = weight;
    }
  }
  return owner;
}

} // namespace

const Member*
FindOwner(const MemberView& aView, const TargetName& aTarget, const DataCentre& aDataCentre)
{
  return FindEligibleOwner(aView, aTarget, aDataCentre, [](const Member&) { return true; });
}

const Member*
FindOwner(const MemberView& aView,
          const TargetName& aTarget,
          const DataCentre& aDataCentre,
          const std::function<bool(const Member&)>& aIsEligible)
{
  return FindEligibleOwner(aView, aTarget, aDataCentre, aIsEligible);
}

const Member*
OwnerCache::Find(const std::shared_ptr<const MemberView>& aView,
                 const TargetName& aTarget,
                 const DataCentre& aDataCentre)
{
  Shard& shard = shards_[std::hash<TargetName>()(aTarget) % kShardCount];
  std::lock_guard lock(shard.mutex_);
  if (shard.view_ != aView) {
    // A slow caller with an outdated view must not evict the entries of the newest view.
    if (shard.view_ && aView->epoch_ < shard.view_->epoch_) {
      return FindOwner(*aView, aTarget, aDataCentre);
    }
    shard.owners_.clear();
    shard.view_ = aView;
  }
  auto [found, isNew] = shard.owners_.try_emplace(aTarget);
  if (isNew || found->second.dataCentre_ != aDataCentre) {
    found->second = { aDataCentre, FindOwner(*aView, aTarget, aDataCentre) };
  }
  return found->second.owner_;
}

} // namespace ibisrock
