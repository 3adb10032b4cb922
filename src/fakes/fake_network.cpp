#include "fakes/fake_network.h"

namespace ibisrock::fakes {

void
FakeNetwork::Attach(const PeerAddress& aAddress, Receiver aReceiver)
{
  std::lock_guard lock(mutex_);
  receivers_[aAddress] = std::move(aReceiver);
}

void
FakeNetwork::Detach(const PeerAddress& aAddress)
{
  std::lock_guard lock(mutex_);
  receivers_.erase(aAddress);
}

void
FakeNetwork::SetCut(const PeerAddress& aFrom, const PeerAddress& aTo, bool aCut)
{
  std::lock_guard lock(mutex_);
  if (aCut) {
    cuts_.emplace(aFrom, aTo);
  } else {
    cuts_.erase({ aFrom, aTo });
  }
}

void
FakeNetwork::SetFrozen(const PeerAddress& aAddress, bool aFrozen)
{
  std::vector<std::string> waiting;
  {
    std::lock_guard lock(mutex_);
    if (aFrozen) {
      frozen_[aAddress];
      return;
    }
    waiting = std::move(frozen_[aAddress]);
    frozen_.erase(aAddress);
  }
  for (const std::string& bytes : waiting) {
    Deliver(aAddress, bytes);
  }
}

void
FakeNetwork::SetDelay(Micros aDelay)
{
  std::lock_guard lock(mutex_);
  delay_ = aDelay;
}

void
FakeNetwork::SetLoss(double aShare)
{
  std::lock_guard lock(mutex_);
  loss_ = aShare;
}

void
FakeNetwork::SetLossInterval(uint64_t aInterval)
{
  std::lock_guard lock(mutex_);
  lossInterval_ = aInterval;
}

void
FakeNetwork::SetObserver(Receiver aObserver)
{
  observer_ = std::move(aObserver);
}

bool
FakeNetwork::Send(const PeerAddress& aFrom, const PeerAddress& aTo, std::string aBytes)
{
  if (observer_) {
    observer_(aBytes);
  }
  std::lock_guard lock(mutex_);
  if (!receivers_.contains(aTo)) {
    return false;
  }
  messages_++;
  bytes_ += aBytes.size();
  const bool isLost = (lossInterval_ > 0 && messages_ % lossInterval_ == 0) || (loss_ > 0 && random_.Unit() < loss_);
  if (!isLost && !cuts_.contains({ aFrom, aTo })) {
    timers_.After(delay_, [this, aTo, bytes = std::move(aBytes)] { Deliver(aTo, bytes); });
  }
  return true;
}

void
FakeNetwork::Deliver(const PeerAddress& aTo, const std::string& aBytes)
{
  Receiver receiver;
  {
    std::lock_guard lock(mutex_);
    auto waiting = frozen_.find(aTo);
    if (waiting != frozen_.end()) {
      waiting->second.push_back(aBytes);
      return;
    }
    auto found = receivers_.find(aTo);
    if (found == receivers_.end()) {
      return;
    }
    receiver = found->second;
  }
  receiver(aBytes);
}

uint64_t
FakeNetwork::MessagesSent() const
{
  std::lock_guard lock(mutex_);
  return messages_;
}

uint64_t
FakeNetwork::BytesSent() const
{
  std::lock_guard lock(mutex_);
  return bytes_;
}

} // namespace ibisrock::fakes
