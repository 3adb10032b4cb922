#include "adapters/connection_pool.h"

#include <algorithm>

namespace ibisrock::adapters {

namespace {

/// Idle connections to one address; more than the 2 to 4 slots of a replica can never be in use for long.
constexpr size_t kMaxIdle = 4;
/// Shorter than the 15 s after which servers close a connection, so that a request seldom meets a closed one.
constexpr std::chrono::seconds kMaxIdleTime{ 10 };

} // namespace

std::optional<ConnectionPool::Lease>
ConnectionPool::Take(const std::string& aAddress, uint32_t aMaxOpen, bool aWithoutKept)
{
  Lease lease{ aAddress, nullptr };
  std::unique_ptr<HttpConnection> replaced;
  std::lock_guard lock(mutex_);
  Connections& connections = connections_[aAddress];
  while (!aWithoutKept && !connections.idle_.empty() && !lease.kept_) {
    std::unique_ptr<HttpConnection> candidate = std::move(connections.idle_.back().connection_);
    connections.idle_.pop_back();
    if (candidate->CanBeReused()) {
      lease.kept_ = std::move(candidate);
    }
  }
  const size_t open = connections.inUse_ + connections.idle_.size();
  if (!lease.kept_ && aMaxOpen != 0 && open >= aMaxOpen) {
    if (connections.idle_.empty()) {
      return std::nullopt;
    }
    replaced = std::move(connections.idle_.front().connection_);
    connections.idle_.erase(connections.idle_.begin());
  }
  connections.inUse_++;
  return lease;
}

void
ConnectionPool::Return(const std::string& aAddress, std::unique_ptr<HttpConnection> aConnection)
{
  const bool canBeReused = aConnection && aConnection->CanBeReused();
  const Clock::time_point now = Clock::now();
  std::lock_guard lock(mutex_);
  Connections& connections = connections_[aAddress];
  connections.inUse_--;
  if (canBeReused && connections.idle_.size() < kMaxIdle) {
    connections.idle_.push_back({ std::move(aConnection), now });
  }
  if (now - lastSweep_ >= kMaxIdleTime) {
    lastSweep_ = now;
    CloseUnused(now);
  }
}

/// Needs the lock.
void
ConnectionPool::CloseUnused(Clock::time_point aNow)
{
  for (auto& [address, connections] : connections_) {
    std::erase_if(connections.idle_, [aNow](const Idle& aIdle) { return aNow - aIdle.since_ >= kMaxIdleTime; });
  }
  std::erase_if(connections_,
                [](const auto& aEntry) { return aEntry.second.inUse_ == 0 && aEntry.second.idle_.empty(); });
}

} // namespace ibisrock::adapters
