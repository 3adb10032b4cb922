#ifndef IBISROCK_ADAPTERS_CALLER_API_H
#define IBISROCK_ADAPTERS_CALLER_API_H

#include "adapters/http_server.h"
#include "process/instance.h"

namespace ibisrock::adapters {

/// The HTTP API for callers and operators of one instance. aInstance outlives the server that uses the handler.
HttpHandler
MakeCallerApi(Instance& aInstance);

/// HTTP status of an answer, as listed in docs/design.md.
unsigned
StatusOf(const Answer& aAnswer);

/// JSON text of an answer.
std::string
EncodeAnswer(const Answer& aAnswer);

} // namespace ibisrock::adapters

#endif
