#ifndef IBISROCK_PROCESS_WATCHERS_H
#define IBISROCK_PROCESS_WATCHERS_H

#include "process/membership.h"

#include <string>

namespace ibisrock {

/// Watchers of one stored object in each data centre. Two, so that one can be lost without delay, and so that their
/// number grows with the data centres and not with the instances.
constexpr size_t kWatchersPerDataCentre = 2;

/// True when the member is one of its data centre's watchers of the object, by rendezvous hashing over the members.
/// False for an id that the view does not hold.
bool
IsWatcher(const MemberView& aView, const InstanceId& aMember, const std::string& aObject);

} // namespace ibisrock

#endif
