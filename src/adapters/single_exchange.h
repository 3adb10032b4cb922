#ifndef IBISROCK_ADAPTERS_SINGLE_EXCHANGE_H
#define IBISROCK_ADAPTERS_SINGLE_EXCHANGE_H

#include "adapters/http_caller.h"
#include "adapters/socket_address.h"

namespace ibisrock::adapters {

/// Sends a request once, on a new connection, and waits for the whole reply until aCall.timeout_ has passed in total.
/// NotRun means that the connection was never established, so nothing was sent. Any other failure gives MayHaveRun.
HttpOutcome
ExchangeOnce(const SocketAddress& aAddress, const HttpCall& aCall);

} // namespace ibisrock::adapters

#endif
