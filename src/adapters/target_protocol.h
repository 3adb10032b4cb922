#ifndef IBISROCK_ADAPTERS_TARGET_PROTOCOL_H
#define IBISROCK_ADAPTERS_TARGET_PROTOCOL_H

namespace ibisrock::adapters {

/// HTTP between owners and targets: POST /search/<service>/<shard> with the query as body; the reply is JSON
/// {"matches":[{"id":...,"text":...}]} with a Content-Length; a chunked reply is not read and counts as lost. POST
/// /cancel with the attempt id stops an attempt.
inline constexpr const char* kAttemptHeader = "Ibisrock-Attempt";
inline constexpr const char* kIndexVersionHeader = "Ibisrock-Index-Version";
inline constexpr const char* kDeadlineHeader = "Ibisrock-Deadline-Ms";
inline constexpr const char* kIdempotentHeader = "Ibisrock-Idempotent";
/// Index versions that the target holds, separated by commas.
inline constexpr const char* kHeldVersionsHeader = "Ibisrock-Held-Versions";
/// "ready", "warming" or "draining".
inline constexpr const char* kTargetStateHeader = "Ibisrock-Target-State";
inline constexpr const char* kBootHeader = "Ibisrock-Boot";
/// Present only on a refusal of a request that the target certainly did not run; its value is the reason.
inline constexpr const char* kNotRunHeader = "Ibisrock-Not-Run";

} // namespace ibisrock::adapters

#endif
