#ifndef IBISROCK_ADAPTERS_API_ERROR_H
#define IBISROCK_ADAPTERS_API_ERROR_H

#include "adapters/http_server.h"

namespace ibisrock::adapters {

/// The reply to a request that was never given to the library, so that it was certainly not run. Its JSON has the
/// members verdict, reason, message and request, as has the reply to a refused query. The request id is unique in this
/// process.
HttpReply
NotRunReply(unsigned aStatus, const std::string& aReason, const std::string& aMessage);

} // namespace ibisrock::adapters

#endif
