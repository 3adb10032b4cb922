#ifndef IBISROCK_VERSION_IDEMPOTENCY_RECORD_H
#define IBISROCK_VERSION_IDEMPOTENCY_RECORD_H

#include "base/last_reason.h"
#include "request/query.h"

#include <optional>
#include <string>

namespace ibisrock {

enum class IdempotencyState : uint8_t
{
  /// One request holds the key; it may have run.
  Claimed,
  /// The holder proved that it did not run; the next request may claim the key.
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
  /// Request that holds or held the key.
  std::string claim_;
  IdempotencyState state_ = IdempotencyState::Claimed;
  /// Present when state_ is Done and the answer fits into a stored value.
  std::optional<Answer> answer_;
};

/// Key of the object that holds the record. Caller and key are hashed, because they may hold any characters.
std::string
IdempotencyRecordKey(const ServiceName& aService, const CallerName& aCaller, const IdempotencyKey& aKey);

/// Stored form as JSON. Leaves the answer out when the text would not fit into a stored value.
std::string
EncodeIdempotencyRecord(const IdempotencyRecord& aRecord);

std::optional<IdempotencyRecord>
DecodeIdempotencyRecord(const std::string& aText, LastReason& aReason);

} // namespace ibisrock

#endif
