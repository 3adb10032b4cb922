#ifndef IBISROCK_PROCESS_WATCHERS_H
#define IBISROCK_PROCESS_WATCHERS_H

#include "process/membership.h"

#include <string>

namespace ibisrock {

/// Number of watchers of one stored object in each data centre. With two, the failure of one does not delay
/// notification, and the number of watches grows with the data centres, not with the instances.
constexpr size_t kWatchersPerDataCentre = 2;

/// True if the member is one of its data centre's watchers of the object. Watchers are selected by rendezvous hashing
/// over the members of the data centre. False if the view does not contain the member.
bool
IsWatcher(const MemberView& aView, const InstanceId& aMember, const std::string& aObject);

} // namespace ibisrock

#endif
