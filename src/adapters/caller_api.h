#ifndef IBISROCK_ADAPTERS_CALLER_API_H
#define IBISROCK_ADAPTERS_CALLER_API_H

#include "adapters/http_server.h"
#include "adapters/prometheus_metrics.h"
#include "process/instance.h"

namespace ibisrock::adapters {

/// The HTTP API for callers and operators of one instance. aInstance and aMetrics outlive the server that uses the
/// handler. Without aMetrics, /metrics is an unknown path.
HttpHandler
MakeCallerApi(Instance& aInstance, PrometheusMetrics* aMetrics = nullptr);

/// Reads a query from the path and the headers. Returns no value when a header is malformed.
std::optional<Query>
ReadQuery(const HttpRequest& aRequest, LastReason& aReason);

/// The reply that carries an answer or a refusal.
HttpReply
ReplyTo(const Answer& aAnswer);

/// HTTP status of an answer, as listed in docs/design.md.
unsigned
StatusOf(const Answer& aAnswer);

/// JSON text of an answer. Bytes that are not valid UTF-8 become the replacement character U+FFFD.
std::string
EncodeAnswer(const Answer& aAnswer);

} // namespace ibisrock::adapters

#endif
