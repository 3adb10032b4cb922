#include "process/coordinator.h"

#include <utility>

namespace ibisrock {

namespace {

Answer
Refusal(const RequestId& aId, Reason aReason)
{
  Answer answer;
  answer.request_ = aId;
  answer.verdict_ = Verdict::NotRun;
  answer.reason_ = aReason;
  return answer;
}

} // namespace

Coordinator::Coordinator(InstanceIdentity aSelf,
                         Environment aEnvironment,
                         const ConfigKeeper& aConfig,
                         AttemptSender& aSender,
                         const RunTuning& aTuning)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , config_(aConfig)
  , sender_(aSender)
  , services_(aTuning, aEnvironment.random_)
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
Coordinator::Submit(Query aQuery, AnswerCallback aCallback)
{
  aCallback = Counted(aQuery.service_, std::move(aCallback));
  const RequestId id{ self_.id_, self_.incarnation_, ++lastSequence_ };
  auto configuration = config_.Current();
  if (!configuration) {
    aCallback(Refusal(id, Reason::NotReady));
    return;
  }
  auto service = configuration->services_.find(aQuery.service_);
  if (service == configuration->services_.end()) {
    aCallback(Refusal(id, Reason::UnknownService));
    return;
  }
  auto shards = versions_.Choose(*service->second, {});
  if (!shards) {
    aCallback(Refusal(id, Reason::VersionNotHeld));
    return;
  }
  inFlight_++;
  RunPlan plan{ id, std::move(aQuery), service->second, configuration->version_, std::move(*shards) };
  const RunEnvironment environment{
    environment_.timers_, sender_, services_.Get(service->first), versions_, crashes_, services_.Tuning().hedges_
  };
  auto run = QueryRun::Create(std::move(plan), environment, [this, callback = std::move(aCallback)](Answer aAnswer) {
    callback(std::move(aAnswer));
    inFlight_--;
  });
  run->Start();
}

} // namespace ibisrock
