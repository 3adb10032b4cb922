#include "process/watchers.h"

#include "base/hashing.h"

#include <algorithm>

namespace ibisrock {

bool
IsWatcher(const MemberView& aView, const InstanceId& aMember, const std::string& aObject)
{
  const auto self = std::find_if(aView.members_.begin(), aView.members_.end(), [&aMember](const Member& aCandidate) {
    return aCandidate.id_ == aMember;
  });
  if (self == aView.members_.end()) {
    return false;
  }
  const uint64_t weight = RendezvousWeight(aObject, aMember.Value());
  size_t heavier = 0;
  for (const Member& member : aView.members_) {
    if (member.dataCentre_ == self->dataCentre_ && RendezvousWeight(aObject, member.id_.Value()) > weight) {
      heavier++;
    }
  }
  return heavier < kWatchersPerDataCentre;
}

} // namespace ibisrock
