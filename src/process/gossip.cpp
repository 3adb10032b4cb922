#include "process/gossip.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

/// Peers that an update is pushed to at once.
constexpr size_t kFanOut = 3;

} // namespace

Gossip::Gossip(InstanceIdentity aSelf, Environment aEnvironment, const Membership& aMembership, SendToPeer aSend)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , membership_(aMembership)
  , send_(std::move(aSend))
{
}

void
Gossip::Subscribe(Handler aHandler)
{
  handlers_.push_back(std::move(aHandler));
}

void
Gossip::Spread(const wire::Update& aUpdate)
{
  std::vector<Member> peers = membership_.View()->members_;
  std::erase_if(peers, [this](const Member& aMember) { return aMember.id_ == self_.id_; });
  for (size_t sent = 0; sent < kFanOut && !peers.empty(); sent++) {
    const size_t index = environment_.random_.Below(static_cast<uint32_t>(peers.size()));
    send_(peers[index].address_, wire::Rumours{ { aUpdate } });
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void
Gossip::OnRumours(const wire::Rumours& aRumours)
{
  for (const wire::Update& update : aRumours.updates_) {
    const bool isNews =
      std::any_of(handlers_.begin(), handlers_.end(), [&update](const Handler& aHandler) { return aHandler(update); });
    if (isNews) {
      Spread(update);
    }
  }
}

} // namespace ibisrock
