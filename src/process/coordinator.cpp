#include "process/coordinator.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

/// Total rate of object store writes for keyed requests of all instances. The store sustains several hundred writes per
/// second and also serves the configuration.
constexpr PerSecond kStoreWriteRate{ 300 };

Answer
MakeRefusal(const RequestId& aId, Reason aReason)
{
  Answer answer;
  answer.request_ = aId;
  answer.verdict_ = Verdict::NotRun;
  answer.reason_ = aReason;
  return answer;
}

bool
IsKeyed(const Query& aQuery)
{
  return !aQuery.idempotent_ && !aQuery.key_.IsEmpty();
}

/// Refusal issued before the record of the query's key was read. For a keyed query the verdict is MayHaveRun, because
/// an earlier submission with the same key may have run.
Answer
RefusalBeforeKeyRead(const Query& aQuery, const RequestId& aId, Reason aReason)
{
  Answer answer = MakeRefusal(aId, aReason);
  answer.verdict_ = IsKeyed(aQuery) ? Verdict::MayHaveRun : Verdict::NotRun;
  return answer;
}

} // namespace

Coordinator::Coordinator(InstanceIdentity aSelf,
                         Environment aEnvironment,
                         CoordinatorDependencies aDependencies,
                         const RunTuning& aTuning)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , dependencies_(aDependencies)
  , services_(aTuning, aEnvironment.random_, aDependencies.targets_)
  , versions_(aEnvironment.timers_, aDependencies.catalogues_, aDependencies.targets_)
  , crashes_(aDependencies.crashGuard_)
  , admission_(aEnvironment.timers_)
  , idempotency_(aEnvironment.timers_, aEnvironment.store_)
{
}

AnswerCallback
Coordinator::WithMetrics(const ServiceName& aService, AnswerCallback aCallback) const
{
  if (environment_.metrics_ == nullptr) {
    return aCallback;
  }
  return [metrics = environment_.metrics_,
          &timers = environment_.timers_,
          aService,
          start = environment_.timers_.Now(),
          callback = std::move(aCallback)](Answer aAnswer) {
    metrics->OnAnswer(aService, aAnswer, timers.Now() - start);
    callback(std::move(aAnswer));
  };
}

void
Coordinator::UpdateInstanceShares()
{
  auto view = dependencies_.membership_.View();
  if (membershipEpoch_.exchange(view->epoch_) == view->epoch_) {
    return;
  }
  const auto instances = static_cast<unsigned>(std::max<size_t>(view->members_.size(), 1));
  admission_.SetInstanceCount(instances);
  idempotency_.SetWriteRate(PerSecond{ kStoreWriteRate.value_ / instances });
}

void
Coordinator::Submit(Query aQuery, AnswerCallback aCallback)
{
  aCallback = WithMetrics(aQuery.service_, std::move(aCallback));
  const RequestId id{ self_.id_, self_.incarnation_, ++lastSequence_ };
  auto configuration = dependencies_.config_.Current();
  if (!configuration) {
    aCallback(RefusalBeforeKeyRead(aQuery, id, Reason::NotReady));
    return;
  }
  auto service = configuration->services_.find(aQuery.service_);
  if (service == configuration->services_.end()) {
    aCallback(RefusalBeforeKeyRead(aQuery, id, Reason::UnknownService));
    return;
  }
  UpdateInstanceShares();
  auto admitted = std::make_shared<AdmittedQuery>();
  admitted->id_ = id;
  admitted->service_ = service->second;
  admitted->config_ = configuration->version_;
  const Micros allowed = service->second->deadline_;
  admitted->deadline_ = environment_.timers_.Now() + std::min(aQuery.deadline_.value_or(allowed), allowed);
  admitted->query_ = std::move(aQuery);
  admitted->callback_ = std::move(aCallback);
  if (auto refusal = Admit(admitted)) {
    admitted->callback_(std::move(*refusal));
    return;
  }
  inFlight_++;
  if (IsKeyed(admitted->query_)) {
    ClaimKey(admitted);
  } else {
    StartRun(admitted);
  }
}

/// Applies admission control and the crash guard. A query that the crash guard refuses releases its slot.
std::optional<Answer>
Coordinator::Admit(const AdmittedQueryPtr& aAdmitted)
{
  const Query& query = aAdmitted->query_;
  if (auto refusal = admission_.Admit(*aAdmitted->service_, query.caller_)) {
    Answer answer = RefusalBeforeKeyRead(query, aAdmitted->id_, refusal->reason_);
    answer.retryAfter_ = refusal->retryAfter_;
    return answer;
  }
  const CrashDecision decision = dependencies_.crashGuard_.Check(QueryFingerprint(query.service_, query.body_));
  if (decision == CrashDecision::Refuse) {
    admission_.Release(query.service_, query.caller_, {});
    return RefusalBeforeKeyRead(query, aAdmitted->id_, Reason::CrashSuspect);
  }
  aAdmitted->canaryFirst_ = decision == CrashDecision::RunCanaryFirst;
  aAdmitted->inFlight_ = admission_.InFlight(query.service_);
  return std::nullopt;
}

void
Coordinator::ClaimKey(const AdmittedQueryPtr& aAdmitted)
{
  idempotency_.Claim(aAdmitted->query_, aAdmitted->id_, [this, aAdmitted](KeyClaimResult aResult) {
    if (aResult.answer_) {
      Finish(aAdmitted, std::move(*aResult.answer_));
      return;
    }
    aAdmitted->claim_ = std::move(aResult.claim_);
    StartRun(aAdmitted);
  });
}

bool
Coordinator::IsHedgingAllowed(const ServiceName& aService) const
{
  return services_.Tuning().hedges_ && !admission_.IsOverloaded(aService);
}

void
Coordinator::StartRun(const AdmittedQueryPtr& aAdmitted)
{
  auto shards = versions_.Choose(*aAdmitted->service_, {});
  const Micros left = aAdmitted->deadline_ - environment_.timers_.Now();
  if (!shards || left <= Micros::zero()) {
    Finish(aAdmitted, MakeRefusal(aAdmitted->id_, shards ? Reason::Expired : Reason::VersionNotHeld));
    return;
  }
  Query query = aAdmitted->query_;
  query.deadline_ = left;
  RunPlan plan{ aAdmitted->id_,     std::move(query),   aAdmitted->service_,
                aAdmitted->config_, std::move(*shards), aAdmitted->canaryFirst_ };
  const RunEnvironment environment{ environment_.timers_,
                                    dependencies_.sender_,
                                    services_.Get(aAdmitted->service_->name_),
                                    versions_,
                                    crashes_,
                                    IsHedgingAllowed(aAdmitted->service_->name_) };
  auto run = QueryRun::Create(
    std::move(plan), environment, [this, aAdmitted](Answer aAnswer) { Finish(aAdmitted, std::move(aAnswer)); });
  run->Start();
}

/// Records the outcome of a claimed key, releases the slot and answers the caller.
void
Coordinator::Finish(const AdmittedQueryPtr& aAdmitted, Answer aAnswer)
{
  if (aAdmitted->claim_) {
    idempotency_.Finish(*aAdmitted->claim_, aAnswer);
  }
  const ConcurrencyLimit::Sample sample{ aAnswer.load_.overloaded_, aAnswer.load_.queueWait_, aAdmitted->inFlight_ };
  admission_.Release(aAdmitted->query_.service_, aAdmitted->query_.caller_, sample);
  aAdmitted->callback_(std::move(aAnswer));
  inFlight_--;
}

} // namespace ibisrock
