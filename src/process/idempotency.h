#ifndef IBISROCK_PROCESS_IDEMPOTENCY_H
#define IBISROCK_PROCESS_IDEMPOTENCY_H

#include "base/object_store.h"
#include "base/timer_service.h"
#include "process/token_bucket.h"
#include "request/query.h"
#include "version/idempotency_record.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace ibisrock {

/// Exclusive right to run one keyed request. A claim does not expire and cannot be taken over while it is held.
struct KeyClaim
{
  std::string object_;
  IdempotencyRecord record_;
  StoreRevision revision_;
};

/// Result of claiming a key. Exactly one field is set.
struct KeyClaimResult
{
  std::optional<KeyClaim> claim_;
  /// Recorded answer or refusal for the caller; the request must not run.
  std::optional<Answer> answer_;
};

/// Counters of key claims by result.
struct KeyCounters
{
  std::atomic<uint64_t> claimed_{ 0 };
  std::atomic<uint64_t> replayed_{ 0 };
  std::atomic<uint64_t> conflicts_{ 0 };
  std::atomic<uint64_t> inProgress_{ 0 };
  std::atomic<uint64_t> storeFailures_{ 0 };
  std::atomic<uint64_t> rateLimited_{ 0 };
};

/// Prevents requests with an idempotency key from running twice. Stores one record per key in the object store.
/// Thread-safe.
class IdempotencyManager
{
public:
  IdempotencyManager(TimerService& aTimers, ObjectStore& aStore);

  /// Sets this instance's share of the store's write rate. Each keyed request costs two writes.
  void SetWriteRate(PerSecond aRate);
  /// Claims the query's key for a request. Calls aCallback exactly once. A refusal has the verdict NotRun only when the
  /// record was read and proves it: otherwise an earlier submission with the same key may have run.
  void Claim(const Query& aQuery, const RequestId& aRequest, std::function<void(KeyClaimResult)> aCallback);
  /// Records the outcome of a claimed request, or releases its key when the request is proven not to have run.
  void Finish(const KeyClaim& aClaim, const Answer& aAnswer);
  /// Number of outcomes that are not yet in the store.
  uint64_t PendingOutcomes() const { return pendingOutcomes_.load(); }
  const KeyCounters& Counters() const { return counters_; }

private:
  struct ClaimOperation;

  void CreateRecord(const std::shared_ptr<ClaimOperation>& aOperation);
  void OnRecordWritten(const std::shared_ptr<ClaimOperation>& aOperation, const StoreResult& aResult);
  void ReadRecord(const std::shared_ptr<ClaimOperation>& aOperation);
  void OnRecordRead(const std::shared_ptr<ClaimOperation>& aOperation, const StoreResult& aResult);
  void ClaimReleased(const std::shared_ptr<ClaimOperation>& aOperation, StoreRevision aRevision);
  void Refuse(const std::shared_ptr<ClaimOperation>& aOperation, Verdict aVerdict, Reason aReason);
  void WriteOutcome(const std::shared_ptr<KeyClaim>& aClaim, unsigned aAttempt);

  TimerService& timers_;
  ObjectStore& store_;
  KeyCounters counters_;
  std::atomic<uint64_t> pendingOutcomes_{ 0 };
  std::mutex mutex_;
  TokenBucket requestLimiter_;
};

} // namespace ibisrock

#endif
