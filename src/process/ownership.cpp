#include "process/ownership.h"

#include "base/hashing.h"

namespace ibisrock {

const Member*
FindOwner(const MemberView& aView, const TargetName& aTarget, const DataCentre& aDataCentre)
{
  const Member* owner = nullptr;
  bool ownerIsLocal = false;
  uint64_t ownerWeight = 0;
  for (const Member& member : aView.members_) {
    const bool isLocal = member.dataCentre_ == aDataCentre;
    if (ownerIsLocal && !isLocal) {
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

} // namespace ibisrock
