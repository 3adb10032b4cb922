#ifndef IBISROCK_ADAPTERS_LISTEN_BACKLOG_H
#define IBISROCK_ADAPTERS_LISTEN_BACKLOG_H

#include "adapters/socket_address.h"

namespace ibisrock::adapters {

/// Sets how many connections may wait to be accepted on a TCP socket of this process that already listens on aAddress.
/// The kernel limits the number to net.core.somaxconn. Returns false when no such socket is found.
bool
SetListenBacklog(const SocketAddress& aAddress, unsigned aBacklog, LastReason& aReason);

} // namespace ibisrock::adapters

#endif
