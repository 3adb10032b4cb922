#include "process/instance.h"

#include "wire/codec.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

/// Maximum number of log lines on activated configuration versions in one rate limit period. 11,000 changes a day are
/// about one in 8 s.
constexpr unsigned kMaxLogLines = 10;

/// Combines several lambdas into one visitor for std::visit.
template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

std::optional<std::unique_ptr<Instance>>
Instance::Create(InstanceIdentity aSelf, Environment aEnvironment, LastReason& aReason, const RunTuning& aTuning)
{
  if (aSelf.id_.IsEmpty() || aSelf.address_.IsEmpty()) {
    aReason.Set("the instance id or address is empty");
    return std::nullopt;
  }
  return std::unique_ptr<Instance>(new Instance(std::move(aSelf), aEnvironment, aTuning));
}

Instance::Instance(InstanceIdentity aSelf, Environment aEnvironment, const RunTuning& aTuning)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , membership_(self_, environment_)
  , gossip_(self_,
            environment_,
            membership_,
            [this](const PeerAddress& aPeer, wire::Body aBody) { return SendToPeerAddress(aPeer, std::move(aBody)); })
  , prober_(self_,
            environment_,
            membership_,
            gossip_,
            [this](const PeerAddress& aPeer, wire::Body aBody) { return SendToPeerAddress(aPeer, std::move(aBody)); })
  , sync_(self_,
          environment_,
          membership_,
          gossip_,
          [this](const PeerAddress& aPeer, wire::Body aBody) { return SendToPeerAddress(aPeer, std::move(aBody)); })
  , config_(sync_)
  , catalogues_(sync_, config_)
  , targetStates_(
      environment_.timers_,
      [this](const wire::Update& aUpdate) { gossip_.Disseminate(aUpdate); },
      environment_.logs_)
  , crashGuard_(
      environment_.timers_,
      [this](const wire::Update& aUpdate) { gossip_.Disseminate(aUpdate); },
      environment_.logs_)
  , targetPoller_(self_, environment_, membership_, config_, targetStates_)
  , dispatchers_(
      environment_,
      [this](const TargetName& aTarget, const TargetReply& aReply) { targetStates_.OnReply(aTarget, aReply); })
  , router_(self_,
            environment_,
            membership_,
            config_,
            dispatchers_,
            [this](const PeerAddress& aPeer, wire::Body aBody) { return SendToPeerAddress(aPeer, std::move(aBody)); })
  , coordinator_(self_,
                 environment_,
                 { config_, membership_, catalogues_, targetStates_, crashGuard_, router_ },
                 aTuning)
  , services_(coordinator_.Services())
  , answerLog_(environment_.timers_, environment_.logs_)
  , log_(environment_.timers_, environment_.logs_, "instance", 1, kMaxLogLines)
{
  config_.Subscribe([this](const Configuration& aConfiguration) {
    log_.Write(LogLevel::Info, 0, [&aConfiguration] {
      return "configuration version " + std::to_string(aConfiguration.version_.Value()) + " is in force with " +
             std::to_string(aConfiguration.services_.size()) + " services";
    });
  });
  gossip_.Subscribe([this](const wire::Update& aUpdate) {
    const auto* target = std::get_if<wire::TargetUpdate>(&aUpdate);
    return target != nullptr && targetStates_.OnUpdate(*target);
  });
  gossip_.Subscribe([this](const wire::Update& aUpdate) {
    const auto* crash = std::get_if<wire::CrashUpdate>(&aUpdate);
    return crash != nullptr && crashGuard_.OnUpdate(*crash);
  });
  gossip_.Subscribe([this](const wire::Update& aUpdate) {
    if (const auto* update = std::get_if<wire::VersionUpdate>(&aUpdate)) {
      sync_.OnUpdate(*update);
    }
    // Not forwarded here: ObjectSync announces the version, with this instance as the holder, once it is active.
    return false;
  });
}

void
Instance::Start()
{
  prober_.Start();
  sync_.Start();
  targetPoller_.Start();
}

void
Instance::Submit(Query aQuery, AnswerCallback aCallback)
{
  const ServiceName service = aQuery.service_;
  coordinator_.Submit(std::move(aQuery), [this, service, callback = std::move(aCallback)](Answer aAnswer) {
    answerLog_.OnAnswer(service, aAnswer);
    callback(std::move(aAnswer));
  });
}

bool
Instance::SendToPeerAddress(const PeerAddress& aPeer, wire::Body aBody)
{
  const wire::Envelope envelope{
    self_.id_, self_.address_, self_.incarnation_, environment_.timers_.Now().time_since_epoch(), std::move(aBody)
  };
  return environment_.transport_.Send(aPeer, wire::Encode(envelope));
}

void
Instance::Receive(std::string_view aBytes)
{
  LastReason reason;
  auto envelope = wire::Decode(aBytes, reason);
  if (!envelope) {
    return;
  }
  const Micros delay = messageDelayEstimator_.Observe(
    envelope->from_, envelope->incarnation_, envelope->sentAt_, environment_.timers_.Now());
  std::visit(Overloaded{
               [&](const wire::SubRequest& aRequest) { OnSubRequest(*envelope, aRequest, delay); },
               [&](const wire::SubReply& aReply) {
                 router_.OnPeerAnswer(envelope->replyTo_);
                 router_.OnSubReply(aReply);
               },
               [&](const wire::CancelAttempt& aCancel) { router_.OnCancel(aCancel); },
               [&](const wire::GossipMessage& aMessage) { gossip_.OnGossipMessage(aMessage); },
               [&](const wire::Ping& aPing) { prober_.OnPing(envelope->replyTo_, aPing); },
               [&](const wire::Ack& aAck) {
                 router_.OnPeerAnswer(envelope->replyTo_);
                 prober_.OnAck(aAck);
               },
               [&](const wire::PingRequest& aRequest) { prober_.OnPingRequest(envelope->replyTo_, aRequest); },
               [&](const wire::ConfigDigest& aDigest) { sync_.OnDigest(envelope->replyTo_, aDigest); },
               [&](const wire::ConfigFetch& aFetch) { sync_.OnFetch(envelope->replyTo_, aFetch); },
               [&](const wire::ConfigParts& aParts) { sync_.OnParts(envelope->replyTo_, aParts); },
             },
             envelope->body_);
}

/// While the process resumes from a pause, and until a peer has answered, treats the budget of a forwarded request as
/// used up, so that the request is rejected.
void
Instance::OnSubRequest(const wire::Envelope& aEnvelope, const wire::SubRequest& aRequest, Micros aDelay)
{
  const Micros delay = prober_.IsResuming() ? std::max(aDelay, aRequest.budget_) : aDelay;
  router_.OnSubRequest(aEnvelope.replyTo_, aRequest, delay);
}

void
Instance::BeginLeave()
{
  leaving_ = true;
  membership_.Leave();
}

bool
Instance::IsIdle() const
{
  return coordinator_.InFlight() == 0 && dispatchers_.IsIdle();
}

bool
Instance::IsReady(LastReason& aReason) const
{
  if (leaving_) {
    aReason.Set("the instance is leaving");
    return false;
  }
  return config_.IsReady(aReason);
}

ConfigVersion
Instance::ActiveConfigVersion() const
{
  auto configuration = config_.Current();
  return configuration ? configuration->version_ : ConfigVersion();
}

} // namespace ibisrock
