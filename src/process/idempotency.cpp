#include "process/idempotency.h"

#include "base/hashing.h"

#include <utility>

namespace ibisrock {

namespace {

constexpr PerSecond kInitialRequestRate{ 20.0 };
/// Burst of keyed requests that the rate limiter allows, in seconds at its rate.
constexpr double kBurstSeconds = 0.5;
constexpr double kWritesPerRequest = 2.0;
/// Number of reads of the record by one claim before it is refused.
constexpr unsigned kMaxRecordReads = 6;
/// Attempts to record an outcome, with exponential backoff: about two minutes, which outlasts a short store outage.
constexpr unsigned kMaxOutcomeWrites = 12;
constexpr Micros kInitialRetryDelay = Millis(100);
constexpr Micros kMaxRetryDelay = Seconds(15);

Answer
MakeRefusal(const RequestId& aRequest, Verdict aVerdict, Reason aReason)
{
  Answer answer;
  answer.request_ = aRequest;
  answer.verdict_ = aVerdict;
  answer.reason_ = aReason;
  return answer;
}

} // namespace

/// State of one claim in progress.
struct IdempotencyManager::ClaimOperation
{
  KeyClaim claim_;
  RequestId request_;
  std::function<void(KeyClaimResult)> callback_;
  unsigned reads_ = 0;
};

IdempotencyManager::IdempotencyManager(TimerService& aTimers, ObjectStore& aStore)
  : timers_(aTimers)
  , store_(aStore)
  , requestLimiter_(kInitialRequestRate, kInitialRequestRate.value_ * kBurstSeconds, aTimers.Now())
{
}

void
IdempotencyManager::SetWriteRate(PerSecond aRate)
{
  const PerSecond requests{ aRate.value_ / kWritesPerRequest };
  std::lock_guard lock(mutex_);
  requestLimiter_.SetRate(requests, requests.value_ * kBurstSeconds, timers_.Now());
}

void
IdempotencyManager::Claim(const Query& aQuery, const RequestId& aRequest, std::function<void(KeyClaimResult)> aCallback)
{
  auto operation = std::make_shared<ClaimOperation>();
  operation->request_ = aRequest;
  operation->callback_ = std::move(aCallback);
  operation->claim_.object_ = IdempotencyRecordKey(aQuery.service_, aQuery.caller_, aQuery.key_);
  operation->claim_.record_ = { aQuery.caller_,
                                aQuery.key_,
                                QueryFingerprint(aQuery.service_, aQuery.body_),
                                ToString(aRequest),
                                IdempotencyState::Claimed,
                                std::nullopt };
  bool allowed = false;
  {
    std::lock_guard lock(mutex_);
    allowed = requestLimiter_.TryTake(timers_.Now());
  }
  if (!allowed) {
    counters_.rateLimited_++;
    Refuse(operation, Verdict::MayHaveRun, Reason::OverLimit);
    return;
  }
  CreateRecord(operation);
}

void
IdempotencyManager::CreateRecord(const std::shared_ptr<ClaimOperation>& aOperation)
{
  store_.Put(aOperation->claim_.object_,
             EncodeIdempotencyRecord(aOperation->claim_.record_),
             StoreRevision(),
             [this, aOperation](const StoreResult& aResult) { OnRecordWritten(aOperation, aResult); });
}

void
IdempotencyManager::OnRecordWritten(const std::shared_ptr<ClaimOperation>& aOperation, const StoreResult& aResult)
{
  switch (aResult.outcome_) {
    case StoreOutcome::Ok:
      counters_.claimed_++;
      aOperation->claim_.revision_ = aResult.revision_;
      aOperation->callback_({ aOperation->claim_, std::nullopt });
      return;
    case StoreOutcome::Conflict:
    case StoreOutcome::Unknown:
      ReadRecord(aOperation);
      return;
    default:
      counters_.storeFailures_++;
      Refuse(aOperation, Verdict::MayHaveRun, Reason::StoreUnavailable);
  }
}

void
IdempotencyManager::ReadRecord(const std::shared_ptr<ClaimOperation>& aOperation)
{
  if (++aOperation->reads_ > kMaxRecordReads) {
    Refuse(aOperation, Verdict::MayHaveRun, Reason::StoreUnavailable);
    return;
  }
  store_.Get(aOperation->claim_.object_,
             [this, aOperation](const StoreResult& aResult) { OnRecordRead(aOperation, aResult); });
}

/// Resolves the claim from the stored record. A record that holds this claim means that the write succeeded although
/// its reply was lost.
void
IdempotencyManager::OnRecordRead(const std::shared_ptr<ClaimOperation>& aOperation, const StoreResult& aResult)
{
  LastReason reason;
  auto record = aResult.outcome_ == StoreOutcome::Ok ? DecodeIdempotencyRecord(aResult.value_, reason) : std::nullopt;
  if (!record) {
    counters_.storeFailures_++;
    Refuse(aOperation, Verdict::MayHaveRun, Reason::StoreUnavailable);
    return;
  }
  const IdempotencyRecord& expected = aOperation->claim_.record_;
  if (record->fingerprint_ != expected.fingerprint_ || record->caller_ != expected.caller_ ||
      record->key_ != expected.key_) {
    counters_.conflicts_++;
    Refuse(aOperation, Verdict::NotRun, Reason::KeyConflict);
  } else if (record->claim_ == expected.claim_ && record->state_ == IdempotencyState::Claimed) {
    counters_.claimed_++;
    aOperation->claim_.revision_ = aResult.revision_;
    aOperation->callback_({ aOperation->claim_, std::nullopt });
  } else if (record->state_ == IdempotencyState::Released) {
    ClaimReleased(aOperation, aResult.revision_);
  } else if (record->state_ == IdempotencyState::Done && record->answer_) {
    counters_.replayed_++;
    aOperation->callback_({ std::nullopt, std::move(record->answer_) });
  } else {
    counters_.inProgress_++;
    Refuse(aOperation, Verdict::MayHaveRun, Reason::KeyInProgress);
  }
}

void
IdempotencyManager::ClaimReleased(const std::shared_ptr<ClaimOperation>& aOperation, StoreRevision aRevision)
{
  store_.Put(aOperation->claim_.object_,
             EncodeIdempotencyRecord(aOperation->claim_.record_),
             aRevision,
             [this, aOperation](const StoreResult& aResult) { OnRecordWritten(aOperation, aResult); });
}

void
IdempotencyManager::Refuse(const std::shared_ptr<ClaimOperation>& aOperation, Verdict aVerdict, Reason aReason)
{
  aOperation->callback_({ std::nullopt, MakeRefusal(aOperation->request_, aVerdict, aReason) });
}

void
IdempotencyManager::Finish(const KeyClaim& aClaim, const Answer& aAnswer)
{
  auto claim = std::make_shared<KeyClaim>(aClaim);
  if (aAnswer.verdict_ == Verdict::NotRun) {
    claim->record_.state_ = IdempotencyState::Released;
  } else {
    claim->record_.state_ = IdempotencyState::Done;
    claim->record_.answer_ = aAnswer;
  }
  pendingOutcomes_++;
  WriteOutcome(claim, 0);
}

/// Writes the outcome and retries until it is stored or the attempts are used up. The condition on the revision makes
/// the write idempotent.
void
IdempotencyManager::WriteOutcome(const std::shared_ptr<KeyClaim>& aClaim, unsigned aAttempt)
{
  store_.Put(aClaim->object_,
             EncodeIdempotencyRecord(aClaim->record_),
             aClaim->revision_,
             [this, aClaim, aAttempt](const StoreResult& aResult) {
               const bool stored = aResult.outcome_ == StoreOutcome::Ok || aResult.outcome_ == StoreOutcome::Conflict;
               if (stored || aAttempt + 1 == kMaxOutcomeWrites) {
                 pendingOutcomes_--;
                 return;
               }
               const Micros delay = std::min(kMaxRetryDelay, kInitialRetryDelay * (1U << aAttempt));
               timers_.After(delay, [this, aClaim, aAttempt] { WriteOutcome(aClaim, aAttempt + 1); });
             });
}

} // namespace ibisrock
