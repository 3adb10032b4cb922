#include "process/crash_guard.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

using wire::CrashState;

constexpr Micros kBlockDuration = Seconds(600);
/// Maximum time for which a running canary makes other queries with the same fingerprint be refused.
constexpr Micros kCanaryTimeout = Seconds(1);
/// Tolerance when comparing times from gossip: an update is forwarded with its initial age, so that its time is off by
/// the propagation delay.
constexpr Micros kGossipTimeTolerance = Seconds(2);
/// Maximum number of fingerprints per shard, about 16,000 in total; each takes about 100 bytes.
constexpr size_t kMaxEntries = 1000;
/// Maximum number of log lines of each kind per period. Each crash costs a target, so that few lines are expected
/// unless a target is lost.
constexpr unsigned kLogLines = 10;
constexpr size_t kStates = 3;

/// Precedence of the states of one crash: a suspect is later cleared or blocked by its canary.
int
PrecedenceOf(CrashState aState)
{
  return aState == CrashState::Suspect ? 0 : aState == CrashState::Cleared ? 1 : 2;
}

} // namespace

CrashGuard::CrashGuard(TimerService& aTimers, PublishUpdate aPublish, LogSink* aLogs)
  : timers_(aTimers)
  , publish_(std::move(aPublish))
  , log_(aTimers, aLogs, "crash guard", kStates, kLogLines)
{
}

CrashDecision
CrashGuard::Check(Fingerprint aFingerprint)
{
  Shard& shard = ShardOf(aFingerprint);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.entries_.find(aFingerprint);
  if (found == shard.entries_.end() || found->second.state_ == CrashState::Cleared) {
    return CrashDecision::Run;
  }
  Entry& entry = found->second;
  const TimePoint now = timers_.Now();
  if (IsBlocked(entry) || now < entry.canaryDeadline_) {
    return CrashDecision::Refuse;
  }
  entry.canaryDeadline_ = now + kCanaryTimeout;
  return CrashDecision::RunCanaryFirst;
}

/// Evicts one entry when the shard is full, in the order cleared, suspect, blocked and the oldest first within a state.
/// The caller holds the lock of the shard.
void
CrashGuard::EvictIfFull(Shard& aShard)
{
  if (aShard.entries_.size() < kMaxEntries) {
    return;
  }
  aShard.entries_.erase(
    std::min_element(aShard.entries_.begin(), aShard.entries_.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.second.state_, aLeft.second.since_) <
             std::pair(aRight.second.state_, aRight.second.since_);
    }));
}

bool
CrashGuard::IsBlocked(const Entry& aEntry) const
{
  return aEntry.state_ == CrashState::Blocked && timers_.Now() - aEntry.since_ < kBlockDuration;
}

/// The caller holds the lock of the shard.
void
CrashGuard::Store(Shard& aShard, Fingerprint aFingerprint, const Entry& aEntry)
{
  if (!aShard.entries_.contains(aFingerprint)) {
    EvictIfFull(aShard);
  }
  aShard.entries_[aFingerprint] = aEntry;
}

void
CrashGuard::OnConnectionLost(const RequestId& aRun, Fingerprint aFingerprint, uint32_t aInFlight)
{
  wire::CrashUpdate update{ aFingerprint, aInFlight <= 1 ? CrashState::Blocked : CrashState::Suspect, Micros(0) };
  {
    Shard& shard = ShardOf(aFingerprint);
    std::lock_guard lock(shard.mutex_);
    const TimePoint now = timers_.Now();
    auto found = shard.entries_.find(aFingerprint);
    const bool known = found != shard.entries_.end();
    if (known && IsBlocked(found->second) && update.state_ == CrashState::Suspect) {
      return;
    }
    // Each loss of a run is reported separately. Only the first one, and one that changes the state, is published.
    const bool isRepeated = known && found->second.run_ == aRun && found->second.state_ == update.state_;
    Store(shard, aFingerprint, { update.state_, now, aRun, {} });
    if (isRepeated) {
      return;
    }
  }
  publish_(update);
  log_.Write(LogLevel::Warning, static_cast<size_t>(PrecedenceOf(update.state_)), [&] {
    const bool isBlocked = update.state_ == CrashState::Blocked;
    return "query " + std::to_string(aFingerprint.Value()) + " of request " + ToString(aRun) +
           (isBlocked ? " blocked as crash suspect: its connection to a target was lost"
                      : " is a crash suspect: a connection that it shared was lost");
  });
}

void
CrashGuard::OnCanarySucceeded(Fingerprint aFingerprint)
{
  {
    Shard& shard = ShardOf(aFingerprint);
    std::lock_guard lock(shard.mutex_);
    auto found = shard.entries_.find(aFingerprint);
    if (found == shard.entries_.end() || found->second.state_ == CrashState::Cleared) {
      return;
    }
    found->second = { CrashState::Cleared, timers_.Now(), {}, {} };
  }
  publish_(wire::CrashUpdate{ aFingerprint, CrashState::Cleared, Micros(0) });
}

/// A later update replaces the entry. Between updates with about the same time, the state with the higher precedence
/// wins. Both rules ensure that contradicting updates stop circulating.
bool
CrashGuard::OnUpdate(const wire::CrashUpdate& aUpdate)
{
  const Entry received{ aUpdate.state_, timers_.Now() - aUpdate.age_, {}, {} };
  Shard& shard = ShardOf(aUpdate.fingerprint_);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.entries_.find(aUpdate.fingerprint_);
  if (found != shard.entries_.end()) {
    const Entry& known = found->second;
    const bool isLater = received.since_ > known.since_ + kGossipTimeTolerance;
    const bool isEarlier = known.since_ > received.since_ + kGossipTimeTolerance;
    const bool hasPrecedence = PrecedenceOf(received.state_) > PrecedenceOf(known.state_);
    if (received.state_ == known.state_ || isEarlier || (!isLater && !hasPrecedence) ||
        (IsBlocked(known) && received.state_ != CrashState::Blocked)) {
      return false;
    }
  }
  Store(shard, aUpdate.fingerprint_, received);
  return true;
}

size_t
CrashGuard::Size() const
{
  size_t size = 0;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex_);
    size += shard.entries_.size();
  }
  return size;
}

} // namespace ibisrock
