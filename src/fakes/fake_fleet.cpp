#include "fakes/fake_fleet.h"

#include "wire/codec.h"

#include <algorithm>
#include <utility>

namespace ibisrock::fakes {

namespace {

constexpr Micros kStep = Millis(10);
/// Start times of real processes differ by far more than the incarnations that refutations add.
constexpr uint64_t kIncarnationStep = 1000;
constexpr const char* kObject = "config/head";

} // namespace

FleetNode::FleetNode(FakeNetwork& aNetwork, Environment aPlatform, InstanceIdentity aSelf)
  : self_(std::move(aSelf))
  , gate_(std::make_shared<ProcessGate>())
  , timers_(aPlatform.timers_, gate_)
  , transport_(aNetwork, self_.address_)
  , environment_{ timers_, aPlatform.random_, transport_, aPlatform.targets_, aPlatform.store_, aPlatform.instances_ }
  , membership_(self_, environment_)
  , gossip_(self_,
            environment_,
            membership_,
            [this](const PeerAddress& aPeer, wire::Body aBody) { return Send(aPeer, std::move(aBody)); })
  , prober_(self_, environment_, membership_, gossip_, [this](const PeerAddress& aPeer, wire::Body aBody) {
    return Send(aPeer, std::move(aBody));
  })
{
  gossip_.Subscribe([this](const wire::Update& aUpdate) {
    const auto* version = std::get_if<wire::VersionUpdate>(&aUpdate);
    if (version == nullptr || version->version_ <= version_) {
      return false;
    }
    version_ = version->version_;
    return true;
  });
}

bool
FleetNode::Send(const PeerAddress& aPeer, wire::Body aBody)
{
  const wire::Envelope envelope{
    self_.id_, self_.address_, self_.incarnation_, timers_.Now().time_since_epoch(), std::move(aBody)
  };
  return transport_.Send(aPeer, wire::Encode(envelope));
}

void
FleetNode::Receive(std::string_view aBytes)
{
  LastReason reason;
  const auto envelope = wire::Decode(aBytes, reason);
  if (!envelope) {
    return;
  }
  if (const auto* ping = std::get_if<wire::Ping>(&envelope->body_)) {
    prober_.OnPing(envelope->replyTo_, *ping);
  } else if (const auto* ack = std::get_if<wire::Ack>(&envelope->body_)) {
    prober_.OnAck(*ack);
  } else if (const auto* request = std::get_if<wire::PingRequest>(&envelope->body_)) {
    prober_.OnPingRequest(envelope->replyTo_, *request);
  } else if (const auto* message = std::get_if<wire::GossipMessage>(&envelope->body_)) {
    gossip_.OnGossipMessage(*message);
  }
}

void
FleetNode::Publish(uint64_t aVersion)
{
  version_ = aVersion;
  gossip_.Disseminate(wire::VersionUpdate{ kObject, aVersion, self_.address_ });
}

FakeFleet::FakeFleet(size_t aCount, unsigned aDataCentres, uint64_t aSeed)
  : random_(aSeed)
  , network_(timers_)
  , store_(timers_)
  , targets_(timers_, random_)
  , unusedTransport_(network_, PeerAddress())
  , dataCentres_(aDataCentres)
  , nodes_(aCount)
{
}

ListedInstance
FakeFleet::Listed(size_t aIndex) const
{
  return { InstanceId("node-" + std::to_string(aIndex)),
           PeerAddress("10.0." + std::to_string(aIndex / 250) + "." + std::to_string(aIndex % 250 + 1) + ":7000"),
           DataCentre("dc" + std::to_string(aIndex % dataCentres_)),
           false };
}

void
FakeFleet::Launch(size_t aIndex)
{
  const ListedInstance listed = Listed(aIndex);
  lastIncarnation_ += kIncarnationStep;
  nodes_[aIndex] = std::make_unique<FleetNode>(
    network_,
    Environment{ timers_, random_, unusedTransport_, targets_, store_, list_ },
    InstanceIdentity{ listed.id_, listed.address_, listed.dataCentre_, Incarnation(lastIncarnation_) });
  network_.Attach(listed.address_, [node = nodes_[aIndex].get()](std::string_view aBytes) {
    node->gate_->Pass([node, bytes = std::string(aBytes)] { node->Receive(bytes); });
  });
  nodes_[aIndex]->prober_.Start();
}

void
FakeFleet::ListAll()
{
  std::vector<ListedInstance> listed;
  for (size_t index = 0; index < Size(); index++) {
    listed.push_back(Listed(index));
  }
  list_.Set(std::move(listed));
}

void
FakeFleet::StartJoined()
{
  for (size_t index = 0; index < Size(); index++) {
    Launch(index);
  }
  for (const auto& observer : nodes_) {
    for (const auto& subject : nodes_) {
      observer->membership_.Merge(subject->membership_.Self());
    }
  }
  ListAll();
}

bool
FakeFleet::Start(Micros aLimit)
{
  ListAll();
  for (size_t index = 0; index < Size(); index++) {
    Launch(index);
  }
  return AdvanceUntil([this] { return AllSee(AllBut({})); }, aLimit) < aLimit;
}

void
FakeFleet::Kill(size_t aIndex)
{
  network_.Detach(Listed(aIndex).address_);
  nodes_[aIndex]->gate_->Kill();
  ended_.push_back(std::move(nodes_[aIndex]));
}

void
FakeFleet::SetFrozen(size_t aIndex, bool aFrozen)
{
  if (aFrozen) {
    nodes_[aIndex]->gate_->Freeze();
  } else {
    nodes_[aIndex]->gate_->Thaw();
  }
}

void
FakeFleet::SetSplit(size_t aSplit, bool aUp, bool aDown)
{
  for (size_t low = 0; low < aSplit; low++) {
    for (size_t high = aSplit; high < Size(); high++) {
      network_.SetCut(Listed(low).address_, Listed(high).address_, aUp);
      network_.SetCut(Listed(high).address_, Listed(low).address_, aDown);
    }
  }
}

Micros
FakeFleet::AdvanceUntil(const std::function<bool()>& aDone, Micros aLimit)
{
  const TimePoint start = timers_.Now();
  while (!aDone() && timers_.Now() - start < aLimit) {
    timers_.Advance(kStep);
  }
  return std::min<Micros>(timers_.Now() - start, aLimit);
}

bool
FakeFleet::Sees(size_t aObserver, size_t aSubject) const
{
  const auto view = nodes_.at(aObserver)->membership_.View();
  const InstanceId id = Listed(aSubject).id_;
  const auto place = std::lower_bound(view->members_.begin(),
                                      view->members_.end(),
                                      id,
                                      [](const Member& aMember, const InstanceId& aId) { return aMember.id_ < aId; });
  return place != view->members_.end() && place->id_ == id;
}

std::vector<size_t>
FakeFleet::AllBut(const std::vector<size_t>& aGone) const
{
  std::vector<size_t> rest;
  for (size_t index = 0; index < Size(); index++) {
    if (std::find(aGone.begin(), aGone.end(), index) == aGone.end()) {
      rest.push_back(index);
    }
  }
  return rest;
}

bool
FakeFleet::AllSee(const std::vector<size_t>& aExpected) const
{
  return std::all_of(aExpected.begin(), aExpected.end(), [&](size_t aObserver) {
    return nodes_.at(aObserver)->membership_.View()->members_.size() == aExpected.size() &&
           std::all_of(aExpected.begin(), aExpected.end(), [&](size_t aSubject) { return Sees(aObserver, aSubject); });
  });
}

} // namespace ibisrock::fakes
