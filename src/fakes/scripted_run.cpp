#include "fakes/scripted_run.h"

#include <algorithm>

namespace ibisrock::fakes {

namespace {

constexpr uint64_t kSeed = 3;

} // namespace

void
ScriptedSender::Start(const wire::SubRequest& aRequest, Callback aCallback)
{
  sent_.push_back(aRequest);
  callbacks_.push_back(std::move(aCallback));
}

std::optional<uint32_t>
ScriptedSender::Find(const ShardName& aShard, uint32_t aFrom) const
{
  for (size_t number = aFrom; number < sent_.size(); number++) {
    if (sent_[number].shard_ == aShard) {
      return static_cast<uint32_t>(number);
    }
  }
  return std::nullopt;
}

void
ScriptedSender::Succeed(uint32_t aNumber, std::optional<IndexVersion> aVersion)
{
  const wire::SubRequest& request = sent_.at(aNumber);
  wire::SubReply reply;
  reply.id_ = request.id_;
  reply.touchedTarget_ = true;
  reply.reply_.verdict_ = Verdict::Ran;
  reply.reply_.version_ = aVersion.value_or(request.version_);
  reply.reply_.matches_ = { { request.shard_.Value(), std::to_string(reply.reply_.version_.Value()) } };
  const Callback callback = callbacks_.at(aNumber);
  callback(reply);
}

void
ScriptedSender::Fail(uint32_t aNumber, Verdict aVerdict, Reason aReason, bool aTouched)
{
  wire::SubReply reply;
  reply.id_ = sent_.at(aNumber).id_;
  reply.touchedTarget_ = aTouched;
  reply.reply_.verdict_ = aVerdict;
  reply.reply_.reason_ = aReason;
  reply.inFlightAtLoss_ = aReason == Reason::ConnectionLost ? 1 : 0;
  const Callback callback = callbacks_.at(aNumber);
  callback(reply);
}

std::optional<ShardMap>
ScriptedVersions::Choose(const ServiceConfig& /*aService*/, const std::set<IndexVersion>& aMissing)
{
  auto found = std::find_if(
    maps_.begin(), maps_.end(), [&aMissing](const ShardMap& aMap) { return !aMissing.contains(aMap.version_); });
  return found == maps_.end() ? std::nullopt : std::optional(*found);
}

void
ScriptedVersions::OnVersionMissing(const ServiceName& /*aService*/, IndexVersion aVersion, const ShardName& /*aShard*/)
{
  reported_.push_back(aVersion);
}

ScriptedRun::ScriptedRun(unsigned aShards, unsigned aReplicas)
  : random_(kSeed)
  , state_({}, random_, targets_)
  , shards_(aShards)
  , replicas_(aReplicas)
{
  service_.name_ = ServiceName("dockdesk");
  service_.priority_ = Priority::Coverage;
  service_.deadline_ = Millis(500);
  service_.softDeadline_ = Millis(200);
  query_.service_ = service_.name_;
  query_.body_ = "paddler 7";
  versions_.maps_ = { MakeMap(IndexVersion(1)) };
}

ShardMap
ScriptedRun::MakeMap(IndexVersion aVersion) const
{
  ShardMap map;
  map.version_ = aVersion;
  for (unsigned shard = 0; shard < shards_; shard++) {
    const std::string name = "s" + std::to_string(shard);
    for (unsigned replica = 0; replica < replicas_; replica++) {
      map.shards_[ShardName(name)].emplace_back(name + "-r" + std::to_string(replica));
    }
  }
  return map;
}

void
ScriptedRun::Start()
{
  RunPlan plan;
  plan.id_ = { InstanceId("entry-0"), Incarnation(1), 1 };
  plan.query_ = query_;
  plan.service_ = std::make_shared<ServiceConfig>(service_);
  plan.shards_ = versions_.maps_.front();
  plan.canaryFirst_ = canaryFirst_;
  QueryRun::Create(plan, { timers_, sender_, state_, versions_, crashes_, true }, [this](Answer aAnswer) {
    answer_ = std::move(aAnswer);
    answers_++;
  })->Start();
}

void
ScriptedRun::SucceedFrom(unsigned aSkip)
{
  for (unsigned shard = aSkip; shard < shards_; shard++) {
    sender_.Succeed(*sender_.Find(ShardName("s" + std::to_string(shard))));
  }
}

} // namespace ibisrock::fakes
