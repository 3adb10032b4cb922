#ifndef IBISROCK_ADAPTERS_HTTP_OUTCOME_H
#define IBISROCK_ADAPTERS_HTTP_OUTCOME_H

#include "adapters/http_caller.h"

#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <exception>

namespace ibisrock::adapters {

cxxtools::http::Request
BuildRequest(const HttpCall& aCall);

HttpOutcome
FailedOutcome(Verdict aVerdict, Reason aReason, std::string aError);

/// Outcome of a call whose reply was read completely.
HttpOutcome
CompleteOutcome(const cxxtools::http::ReplyHeader& aHeader, std::string aBody);

/// Outcome of the first request of a client that was not connected before. cxxtools reports an attempt to connect that
/// failed only in the text of the exception; any other text counts as a lost connection.
HttpOutcome
FailureOnNewConnection(const std::exception& aError);

} // namespace ibisrock::adapters

#endif
