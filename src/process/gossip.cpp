#include "process/gossip.h"

#include <bit>
#include <utility>

namespace ibisrock {

namespace {

/// Peers that an urgent update is pushed to at once.
constexpr size_t kFanOut = 3;
/// Each update is sent this often times the binary logarithm of the number of members, so that it reaches all of them
/// with high probability although some messages are lost.
constexpr uint32_t kSendFactor = 3;
/// Fits into one packet with the rest of a probe.
constexpr size_t kMaxUpdateBytes = 1200;
/// Pushes within this time become one, which bounds their number when many members change state together.
constexpr Micros kPushGap = Millis(20);

/// Suspicions and joins wait for the next probe; everything else changes what instances do and is passed on at once.
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
Gossip::Subscribe(Handler aHandler)
{
  handlers_.push_back(std::move(aHandler));
}

void
Gossip::Disseminate(const wire::Update& aUpdate)
{
  queue_.Add(aUpdate);
  Push();
}

void
Gossip::Queue(const wire::Update& aUpdate)
{
  queue_.Add(aUpdate);
}

std::vector<wire::Update>
Gossip::TakeUpdates()
{
  const size_t known = membership_.KnownCount();
  return queue_.Take(kMaxUpdateBytes, kSendFactor * static_cast<uint32_t>(std::bit_width(known + 1)));
}

/// Pushes now, or once after the gap when the latest push was just before.
void
Gossip::Push()
{
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = environment_.timers_.Now();
    if (pushScheduled_) {
      return;
    }
    if (now < nextPush_) {
      pushScheduled_ = true;
      environment_.timers_.After(nextPush_ - now, [this] {
        {
          std::lock_guard inner(mutex_);
          pushScheduled_ = false;
          nextPush_ = environment_.timers_.Now() + kPushGap;
        }
        SendPush();
      });
      return;
    }
    nextPush_ = now + kPushGap;
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
  bool urgent = false;
  for (const wire::Update& update : aMessage.updates_) {
    bool isNews = false;
    for (const Handler& handler : handlers_) {
      isNews = handler(update) || isNews;
    }
    if (isNews) {
      queue_.Add(update);
      urgent = urgent || IsUrgent(update);
    }
  }
  if (urgent) {
    Push();
  }
}

} // namespace ibisrock
