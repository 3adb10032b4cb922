#include "process/gossip.h"

#include <bit>
#include <utility>

namespace ibisrock {

namespace {

/// Number of peers that an urgent update is pushed to at once.
constexpr size_t kFanOut = 3;
/// Each update is sent this factor times log2 of the number of known instances, so that it reaches all of them with
/// high probability despite message loss.
constexpr uint32_t kRetransmitFactor = 3;
/// Size limit of piggybacked updates; a probe message with them fits into one packet.
constexpr size_t kMaxPiggybackBytes = 1200;
/// Pushes within this interval are coalesced, which bounds their rate when many members change state at once.
constexpr Micros kMinPushInterval = Millis(20);

/// Suspicions and joins are piggybacked on the next probe. All other updates change the behaviour of instances and are
/// pushed at once.
bool
IsUrgent(const wire::Update& aUpdate)
{
  const auto* member = std::get_if<wire::MemberUpdate>(&aUpdate);
  return member == nullptr || member->state_ == MemberState::Leaving || member->state_ == MemberState::Dead;
}

} // namespace

Gossip::Gossip(InstanceIdentity aSelf, Environment aEnvironment, const Membership& aMembership, SendToPeer aSend)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , membership_(aMembership)
  , send_(std::move(aSend))
{
}

void
Gossip::Subscribe(UpdateHandler aHandler)
{
  handlers_.push_back(std::move(aHandler));
}

void
Gossip::Disseminate(const wire::Update& aUpdate)
{
  queue_.Add(aUpdate);
  SchedulePush();
}

void
Gossip::Enqueue(const wire::Update& aUpdate)
{
  queue_.Add(aUpdate);
}

std::vector<wire::Update>
Gossip::TakeUpdates()
{
  const size_t known = membership_.KnownCount();
  return queue_.Take(kMaxPiggybackBytes, kRetransmitFactor * static_cast<uint32_t>(std::bit_width(known + 1)));
}

/// Pushes at once, or after the minimum interval if the latest push is too recent.
void
Gossip::SchedulePush()
{
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = environment_.timers_.Now();
    if (pushScheduled_) {
      return;
    }
    if (now < earliestPush_) {
      pushScheduled_ = true;
      environment_.timers_.After(earliestPush_ - now, [this] {
        {
          std::lock_guard inner(mutex_);
          pushScheduled_ = false;
          earliestPush_ = environment_.timers_.Now() + kMinPushInterval;
        }
        SendPush();
      });
      return;
    }
    earliestPush_ = now + kMinPushInterval;
  }
  SendPush();
}

void
Gossip::SendPush()
{
  std::vector<Member> peers = membership_.View()->members_;
  std::erase_if(peers, [this](const Member& aMember) { return aMember.id_ == self_.id_; });
  for (size_t sent = 0; sent < kFanOut && !peers.empty(); sent++) {
    std::vector<wire::Update> updates = TakeUpdates();
    if (updates.empty()) {
      return;
    }
    const size_t index = environment_.random_.Below(static_cast<uint32_t>(peers.size()));
    send_(peers[index].address_, wire::GossipMessage{ std::move(updates) });
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void
Gossip::OnGossipMessage(const wire::GossipMessage& aMessage)
{
  bool hasUrgent = false;
  for (const wire::Update& update : aMessage.updates_) {
    bool isNew = false;
    for (const UpdateHandler& handler : handlers_) {
      isNew = handler(update) || isNew;
    }
    if (isNew) {
      queue_.Add(update);
      hasUrgent = hasUrgent || IsUrgent(update);
    }
  }
  if (hasUrgent) {
    SchedulePush();
  }
}

} // namespace ibisrock
