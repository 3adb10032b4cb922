#ifndef IBISROCK_PROCESS_IDEMPOTENCY_H
#define IBISROCK_PROCESS_IDEMPOTENCY_H

#include "base/object_store.h"
#include "base/timer_service.h"
#include "process/token_bucket.h"
#include "request/query.h"
#include "version/key_record.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace ibisrock {

/// Right to run one keyed request. A claim never expires and is never taken over while it is held.
struct KeyClaim
{
  std::string object_;
  KeyRecord record_;
  StoreRevision revision_;
};

/// Outcome of asking for a claim: exactly one of the two is set.
struct KeyClaimResult
{
  std::optional<KeyClaim> claim_;
  /// Answer or refusal for the caller; the request must not run.
  std::optional<Answer> answer_;
};

/// Counters for metrics.
struct KeyCounters
{
  std::atomic<uint64_t> claimed_{ 0 };
  std::atomic<uint64_t> replayed_{ 0 };
  std::atomic<uint64_t> conflicts_{ 0 };
  std::atomic<uint64_t> inProgress_{ 0 };
  std::atomic<uint64_t> storeFailures_{ 0 };
  std::atomic<uint64_t> overBudget_{ 0 };
};

/// Keeps requests with an idempotency key from running twice, by one record for each key in the object store.
/// Thread-safe.
class IdempotencyManager
{
public:
  IdempotencyManager(TimerService& aTimers, ObjectStore& aStore);

  /// Share of the store's write rate that this instance may use; two writes for each keyed request.
  void SetWriteRate(PerSecond aRate);
  /// Claims the query's key for a request. aCallback is called exactly once. A refusal is NotRun only when the record
  /// was read and shows it: without the record, an earlier submission under the key may have run.
  void Claim(const Query& aQuery, const RequestId& aRequest, std::function<void(KeyClaimResult)> aCallback);
  /// Records the outcome of a claimed request, or frees its key when it was proven not to have run.
  void Finish(const KeyClaim& aClaim, const Answer& aAnswer);
  /// Outcomes that are not yet in the store.
  uint64_t Unrecorded() const { return unrecorded_.load(); }
  const KeyCounters& Counters() const { return counters_; }

private:
  struct ClaimRun;

  void Create(const std::shared_ptr<ClaimRun>& aRun);
  void OnCreated(const std::shared_ptr<ClaimRun>& aRun, const StoreResult& aResult);
  void ReadRecord(const std::shared_ptr<ClaimRun>& aRun);
  void OnRecord(const std::shared_ptr<ClaimRun>& aRun, const StoreResult& aResult);
  void TakeReleased(const std::shared_ptr<ClaimRun>& aRun, StoreRevision aRevision);
  void Refuse(const std::shared_ptr<ClaimRun>& aRun, Verdict aVerdict, Reason aReason);
  void StoreOutcomeOf(const std::shared_ptr<KeyClaim>& aClaim, unsigned aTry);

  TimerService& timers_;
  ObjectStore& store_;
  KeyCounters counters_;
  std::atomic<uint64_t> unrecorded_{ 0 };
  std::mutex mutex_;
  TokenBucket writes_;
};

} // namespace ibisrock

#endif
