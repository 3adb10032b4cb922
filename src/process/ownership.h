#ifndef IBISROCK_PROCESS_OWNERSHIP_H
#define IBISROCK_PROCESS_OWNERSHIP_H

#include "process/membership.h"
#include "version/configuration.h"

namespace ibisrock {

/// The member that owns a replica by rendezvous hashing: among the members of the replica's data centre if there are
/// any, else among all. Returns nullptr for an empty view. The result lives as long as the view.
const Member*
FindOwner(const MemberView& aView, const TargetName& aTarget, const DataCentre& aDataCentre);

} // namespace ibisrock

#endif
