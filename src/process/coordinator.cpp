#include "process/coordinator.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

/// Writes a second that keyed requests of all instances together may cost the object store, which takes several hundred
/// and also carries the configuration.
constexpr PerSecond kStoreWriteRate{ 300 };

Answer
Refusal(const RequestId& aId, Reason aReason)
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

/// A refusal before the record of the query's key was read. An earlier submission under the key may have run.
Answer
RefusalOf(const Query& aQuery, const RequestId& aId, Reason aReason)
{
  Answer answer = Refusal(aId, aReason);
  answer.verdict_ = IsKeyed(aQuery) ? Verdict::MayHaveRun : Verdict::NotRun;
  return answer;
}

} // namespace

Coordinator::Coordinator(InstanceIdentity aSelf,
                         Environment aEnvironment,
                         CoordinatorParts aParts,
                         const RunTuning& aTuning)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , parts_(aParts)
  , services_(aTuning, aEnvironment.random_, aParts.targets_)
  , versions_(aEnvironment.timers_, aParts.catalogues_, aParts.targets_)
  , crashes_(aParts.crashGuard_)
  , admission_(aEnvironment.timers_)
  , keys_(aEnvironment.timers_, aEnvironment.store_)
{
}

AnswerCallback
Coordinator::Counted(const ServiceName& aService, AnswerCallback aCallback) const
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
Coordinator::FollowMembership()
{
  auto view = parts_.membership_.View();
  if (memberEpoch_.exchange(view->epoch_) == view->epoch_) {
    return;
  }
  const auto instances = static_cast<unsigned>(std::max<size_t>(view->members_.size(), 1));
  admission_.SetInstances(instances);
  keys_.SetWriteRate(PerSecond{ kStoreWriteRate.value_ / instances });
}

void
Coordinator::Submit(Query aQuery, AnswerCallback aCallback)
{
  aCallback = Counted(aQuery.service_, std::move(aCallback));
  const RequestId id{ self_.id_, self_.incarnation_, ++lastSequence_ };
  auto configuration = parts_.config_.Current();
  if (!configuration) {
    aCallback(RefusalOf(aQuery, id, Reason::NotReady));
    return;
  }
  auto service = configuration->services_.find(aQuery.service_);
  if (service == configuration->services_.end()) {
    aCallback(RefusalOf(aQuery, id, Reason::UnknownService));
    return;
  }
  FollowMembership();
  auto admitted = std::make_shared<Admitted>();
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

/// Enters the query into the limits and asks the crash guard. A query that is refused has left the limits again.
std::optional<Answer>
Coordinator::Admit(const AdmittedPtr& aAdmitted)
{
  const Query& query = aAdmitted->query_;
  if (auto refusal = admission_.Enter(*aAdmitted->service_, query.caller_)) {
    Answer answer = RefusalOf(query, aAdmitted->id_, refusal->reason_);
    answer.retryAfter_ = refusal->retryAfter_;
    return answer;
  }
  const CrashDecision decision = parts_.crashGuard_.Check(QueryFingerprint(query.service_, query.body_));
  if (decision == CrashDecision::Refuse) {
    admission_.Leave(query.service_, query.caller_, {});
    return RefusalOf(query, aAdmitted->id_, Reason::CrashSuspect);
  }
  aAdmitted->canaryFirst_ = decision == CrashDecision::RunCanaryFirst;
  aAdmitted->inFlight_ = admission_.InFlight(query.service_);
  return std::nullopt;
}

void
Coordinator::ClaimKey(const AdmittedPtr& aAdmitted)
{
  keys_.Claim(aAdmitted->query_, aAdmitted->id_, [this, aAdmitted](KeyClaimResult aDecision) {
    if (aDecision.answer_) {
      Finish(aAdmitted, std::move(*aDecision.answer_));
      return;
    }
    aAdmitted->claim_ = std::move(aDecision.claim_);
    StartRun(aAdmitted);
  });
}

bool
Coordinator::MayHedge(const ServiceName& aService) const
{
  return services_.Tuning().hedges_ && !admission_.IsOverloaded(aService);
}

void
Coordinator::StartRun(const AdmittedPtr& aAdmitted)
{
  auto shards = versions_.Choose(*aAdmitted->service_, {});
  const Micros left = aAdmitted->deadline_ - environment_.timers_.Now();
  if (!shards || left <= Micros::zero()) {
    Finish(aAdmitted, Refusal(aAdmitted->id_, shards ? Reason::Expired : Reason::VersionNotHeld));
    return;
  }
  Query query = aAdmitted->query_;
  query.deadline_ = left;
  RunPlan plan{ aAdmitted->id_,     std::move(query),   aAdmitted->service_,
                aAdmitted->config_, std::move(*shards), aAdmitted->canaryFirst_ };
  const RunEnvironment environment{ environment_.timers_,
                                    parts_.sender_,
                                    services_.Get(aAdmitted->service_->name_),
                                    versions_,
                                    crashes_,
                                    MayHedge(aAdmitted->service_->name_) };
  auto run = QueryRun::Create(
    std::move(plan), environment, [this, aAdmitted](Answer aAnswer) { Finish(aAdmitted, std::move(aAnswer)); });
  run->Start();
}

/// Records the outcome of a claimed key, leaves the limits and answers the caller.
void
Coordinator::Finish(const AdmittedPtr& aAdmitted, Answer aAnswer)
{
  if (aAdmitted->claim_) {
    keys_.Finish(*aAdmitted->claim_, aAnswer);
  }
  const ConcurrencyLimit::Sample sample{ aAnswer.load_.overloaded_, aAnswer.load_.queueWait_, aAdmitted->inFlight_ };
  admission_.Leave(aAdmitted->query_.service_, aAdmitted->query_.caller_, sample);
  aAdmitted->callback_(std::move(aAnswer));
  inFlight_--;
}

} // namespace ibisrock
