#include "fakes/control_counter.h"

#include "wire/codec.h"

namespace ibisrock::fakes {

namespace {

size_t
KindOf(const wire::Update& aUpdate)
{
  const auto* member = std::get_if<wire::MemberUpdate>(&aUpdate);
  return member != nullptr ? static_cast<size_t>(member->state_) : ControlCounter::kMemberStates + aUpdate.index() - 1;
}

} // namespace

const char*
ControlCounter::MessageName(size_t aKind)
{
  static constexpr std::array<const char*, kMessageKinds> kNames{ "SubRequest",    "SubReply",     "CancelAttempt",
                                                                  "GossipMessage", "Ping",         "Ack",
                                                                  "PingRequest",   "ConfigDigest", "ConfigFetch",
                                                                  "ConfigParts" };
  return kNames.at(aKind);
}

const char*
ControlCounter::UpdateName(size_t aKind)
{
  static constexpr std::array<const char*, kUpdateKinds> kNames{ "alive",  "suspect", "leaving", "dead",
                                                                 "target", "crash",   "version" };
  return kNames.at(aKind);
}

void
ControlCounter::Reset()
{
  messages_ = {};
  updates_ = {};
  suspected_.clear();
  dead_.clear();
  refutations_ = 0;
}

void
ControlCounter::OnMember(const wire::MemberUpdate& aMember)
{
  if (aMember.state_ == wire::MemberState::Suspect) {
    suspected_.emplace(aMember.id_, aMember.incarnation_);
  } else if (aMember.state_ == wire::MemberState::Dead) {
    dead_.emplace(aMember.id_, aMember.incarnation_);
  }
  const auto [known, isNew] = newest_.try_emplace(aMember.id_, aMember.incarnation_);
  if (!isNew && known->second < aMember.incarnation_) {
    known->second = aMember.incarnation_;
    refutations_++;
  }
}

void
ControlCounter::OnUpdates(const std::vector<wire::Update>& aUpdates)
{
  for (const wire::Update& update : aUpdates) {
    KindCount& kind = updates_.at(KindOf(update));
    kind.count_++;
    kind.bytes_ += wire::EncodedSize(update);
    if (const auto* member = std::get_if<wire::MemberUpdate>(&update)) {
      OnMember(*member);
    }
  }
}

void
ControlCounter::OnMessage(std::string_view aBytes)
{
  LastReason reason;
  const auto envelope = wire::Decode(aBytes, reason);
  if (!envelope) {
    return;
  }
  KindCount& kind = messages_.at(envelope->body_.index());
  kind.count_++;
  kind.bytes_ += aBytes.size();
  std::visit(
    [this](const auto& aBody) {
      if constexpr (requires { aBody.sender_; }) {
        OnMember(aBody.sender_);
      }
      if constexpr (requires { aBody.updates_; }) {
        OnUpdates(aBody.updates_);
      }
    },
    envelope->body_);
}

} // namespace ibisrock::fakes
