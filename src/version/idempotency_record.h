#ifndef IBISROCK_VERSION_IDEMPOTENCY_RECORD_H
#define IBISROCK_VERSION_IDEMPOTENCY_RECORD_H

#include "base/last_reason.h"
#include "request/query.h"

#include <optional>
#include <string>

namespace ibisrock {

enum class IdempotencyState : uint8_t
{
  /// A request has claimed the key and may have run.
  Claimed,
  /// The claiming request provably did not run; another request may claim the key.
  Released,
  /// The outcome is recorded.
  Done,
};

/// The stored record of one idempotency key.
struct IdempotencyRecord
{
  CallerName caller_;
  IdempotencyKey key_;
  Fingerprint fingerprint_;
  /// Request that made the current or the last claim.
  std::string claim_;
  IdempotencyState state_ = IdempotencyState::Claimed;
  /// Present when state_ is Done and the answer fits into a stored value.
  std::optional<Answer> answer_;
};

/// Store key of the record. The caller and the idempotency key are hashed, because they may contain any characters.
std::string
IdempotencyRecordKey(const ServiceName& aService, const CallerName& aCaller, const IdempotencyKey& aKey);

/// Serializes the record as JSON. Omits the answer when the text would exceed the size limit of a stored value.
std::string
EncodeIdempotencyRecord(const IdempotencyRecord& aRecord);

std::optional<IdempotencyRecord>
DecodeIdempotencyRecord(const std::string& aText, LastReason& aReason);

} // namespace ibisrock

#endif
