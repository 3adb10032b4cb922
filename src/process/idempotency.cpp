#include "process/idempotency.h"

#include "base/hashing.h"

#include <utility>

namespace ibisrock {

namespace {

constexpr PerSecond kInitialRate{ 20.0 };
/// Keyed requests that may come at once after a quiet time, in seconds of the rate.
constexpr double kBurstSeconds = 0.5;
constexpr double kWritesPerRequest = 2.0;
/// Store calls that one claim may use before it is refused.
constexpr unsigned kMaxClaimSteps = 6;
/// Tries to record an outcome, with growing delays: about two minutes, which outlasts a short outage of the store.
constexpr unsigned kMaxRecordTries = 12;
constexpr Micros kFirstRecordDelay = Millis(100);
constexpr Micros kMaxRecordDelay = Seconds(15);

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

/// One request on its way to a claim.
struct IdempotencyManager::ClaimRun
{
  KeyClaim claim_;
  RequestId request_;
  std::function<void(KeyClaimResult)> callback_;
  unsigned steps_ = 0;
};

IdempotencyManager::IdempotencyManager(TimerService& aTimers, ObjectStore& aStore)
  : timers_(aTimers)
  , store_(aStore)
  , writes_(kInitialRate, kInitialRate.value_ * kBurstSeconds, aTimers.Now())
{
}

void
IdempotencyManager::SetWriteRate(PerSecond aRate)
{
  const PerSecond requests{ aRate.value_ / kWritesPerRequest };
  std::lock_guard lock(mutex_);
  writes_.SetRate(requests, requests.value_ * kBurstSeconds, timers_.Now());
}

void
IdempotencyManager::Claim(const Query& aQuery, const RequestId& aRequest, std::function<void(KeyClaimResult)> aCallback)
{
  auto run = std::make_shared<ClaimRun>();
  run->request_ = aRequest;
  run->callback_ = std::move(aCallback);
  run->claim_.object_ = KeyRecordObject(aQuery.service_, aQuery.caller_, aQuery.key_);
  run->claim_.record_ = { aQuery.caller_,     aQuery.key_,       QueryFingerprint(aQuery.service_, aQuery.body_),
                          ToString(aRequest), KeyState::Claimed, std::nullopt };
  bool allowed = false;
  {
    std::lock_guard lock(mutex_);
    allowed = writes_.TryTake(timers_.Now());
  }
  if (!allowed) {
    counters_.overBudget_++;
    Refuse(run, Verdict::MayHaveRun, Reason::OverLimit);
    return;
  }
  Create(run);
}

void
IdempotencyManager::Create(const std::shared_ptr<ClaimRun>& aRun)
{
  store_.Put(aRun->claim_.object_,
             EncodeKeyRecord(aRun->claim_.record_),
             StoreRevision(),
             [this, aRun](const StoreResult& aResult) { OnCreated(aRun, aResult); });
}

void
IdempotencyManager::OnCreated(const std::shared_ptr<ClaimRun>& aRun, const StoreResult& aResult)
{
  switch (aResult.outcome_) {
    case StoreOutcome::Ok:
      counters_.claimed_++;
      aRun->claim_.revision_ = aResult.revision_;
      aRun->callback_({ aRun->claim_, std::nullopt });
      return;
    case StoreOutcome::Conflict:
    case StoreOutcome::Unknown:
      ReadRecord(aRun);
      return;
    default:
      counters_.storeFailures_++;
      Refuse(aRun, Verdict::MayHaveRun, Reason::StoreUnavailable);
  }
}

void
IdempotencyManager::ReadRecord(const std::shared_ptr<ClaimRun>& aRun)
{
  if (++aRun->steps_ > kMaxClaimSteps) {
    Refuse(aRun, Verdict::MayHaveRun, Reason::StoreUnavailable);
    return;
  }
  store_.Get(aRun->claim_.object_, [this, aRun](const StoreResult& aResult) { OnRecord(aRun, aResult); });
}

/// Decides by the record that is in the store. A lost answer to our own write is recognized by the claim in it.
void
IdempotencyManager::OnRecord(const std::shared_ptr<ClaimRun>& aRun, const StoreResult& aResult)
{
  LastReason reason;
  auto record = aResult.outcome_ == StoreOutcome::Ok ? DecodeKeyRecord(aResult.value_, reason) : std::nullopt;
  if (!record) {
    counters_.storeFailures_++;
    Refuse(aRun, Verdict::MayHaveRun, Reason::StoreUnavailable);
    return;
  }
  const KeyRecord& ours = aRun->claim_.record_;
  if (record->fingerprint_ != ours.fingerprint_ || record->caller_ != ours.caller_ || record->key_ != ours.key_) {
    counters_.conflicts_++;
    Refuse(aRun, Verdict::NotRun, Reason::KeyConflict);
  } else if (record->claim_ == ours.claim_ && record->state_ == KeyState::Claimed) {
    counters_.claimed_++;
    aRun->claim_.revision_ = aResult.revision_;
    aRun->callback_({ aRun->claim_, std::nullopt });
  } else if (record->state_ == KeyState::Released) {
    TakeReleased(aRun, aResult.revision_);
  } else if (record->state_ == KeyState::Done && record->answer_) {
    counters_.replayed_++;
    aRun->callback_({ std::nullopt, std::move(record->answer_) });
  } else {
    counters_.inProgress_++;
    Refuse(aRun, Verdict::MayHaveRun, Reason::KeyInProgress);
  }
}

void
IdempotencyManager::TakeReleased(const std::shared_ptr<ClaimRun>& aRun, StoreRevision aRevision)
{
  store_.Put(aRun->claim_.object_,
             EncodeKeyRecord(aRun->claim_.record_),
             aRevision,
             [this, aRun](const StoreResult& aResult) { OnCreated(aRun, aResult); });
}

void
IdempotencyManager::Refuse(const std::shared_ptr<ClaimRun>& aRun, Verdict aVerdict, Reason aReason)
{
  aRun->callback_({ std::nullopt, MakeRefusal(aRun->request_, aVerdict, aReason) });
}

void
IdempotencyManager::Finish(const KeyClaim& aClaim, const Answer& aAnswer)
{
  auto claim = std::make_shared<KeyClaim>(aClaim);
  if (aAnswer.verdict_ == Verdict::NotRun) {
    claim->record_.state_ = KeyState::Released;
  } else {
    claim->record_.state_ = KeyState::Done;
    claim->record_.answer_ = aAnswer;
  }
  unrecorded_++;
  StoreOutcomeOf(claim, 0);
}

/// Writes the outcome until it is in the store. The condition on the revision makes a repeated write harmless.
void
IdempotencyManager::StoreOutcomeOf(const std::shared_ptr<KeyClaim>& aClaim, unsigned aTry)
{
  store_.Put(aClaim->object_,
             EncodeKeyRecord(aClaim->record_),
             aClaim->revision_,
             [this, aClaim, aTry](const StoreResult& aResult) {
               const bool stored = aResult.outcome_ == StoreOutcome::Ok || aResult.outcome_ == StoreOutcome::Conflict;
               if (stored || aTry + 1 == kMaxRecordTries) {
                 unrecorded_--;
                 return;
               }
               const Micros delay = std::min(kMaxRecordDelay, kFirstRecordDelay * (1U << aTry));
               timers_.After(delay, [this, aClaim, aTry] { StoreOutcomeOf(aClaim, aTry + 1); });
             });
}

} // namespace ibisrock
