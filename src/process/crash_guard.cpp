#include "process/crash_guard.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

using wire::CrashState;

constexpr Micros kBlockTime = Seconds(600);
/// Longest time for which one canary holds back others of the same fingerprint.
constexpr Micros kCanaryTime = Seconds(1);
/// Times of gossip updates are inexact by the time that they travel, because an update is passed on with its first age.
constexpr Micros kGossipSlack = Seconds(2);
/// Fingerprints kept in each shard, about 16,000 in all; one takes about 100 bytes.
constexpr size_t kMaxEntries = 1000;
/// Lines of each kind in a period; each crash costs a target, so that there are few unless a target is lost.
constexpr unsigned kLogLines = 10;
constexpr size_t kStates = 3;

/// Order in which the states of one crash follow each other: the canary of a suspect clears or blocks it.
int
RankOf(CrashState aState)
{
  return aState == CrashState::Suspect ? 0 : aState == CrashState::Cleared ? 1 : 2;
}

} // namespace

CrashGuard::CrashGuard(TimerService& aTimers, Spread aSpread, LogSink* aLogs)
  : timers_(aTimers)
  , spread_(std::move(aSpread))
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
  if (IsBlocked(entry) || now < entry.canaryUntil_) {
    return CrashDecision::Refuse;
  }
  entry.canaryUntil_ = now + kCanaryTime;
  return CrashDecision::RunCanaryFirst;
}

/// Removes an entry when the shard is full: a cleared one if there is any, then a suspect one, then a blocked one;
/// among equals the oldest. Needs the lock.
void
CrashGuard::MakeRoom(Shard& aShard)
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
  return aEntry.state_ == CrashState::Blocked && timers_.Now() - aEntry.since_ < kBlockTime;
}

/// Needs the lock.
void
CrashGuard::Store(Shard& aShard, Fingerprint aFingerprint, const Entry& aEntry)
{
  if (!aShard.entries_.contains(aFingerprint)) {
    MakeRoom(aShard);
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
    // The losses of one run arrive one by one; only the first, or a graver one, is spread.
    const bool sameRun = known && found->second.run_ == aRun && found->second.state_ == update.state_;
    Store(shard, aFingerprint, { update.state_, now, aRun, {} });
    if (sameRun) {
      return;
    }
  }
  spread_(update);
  log_.Write(LogLevel::Warning, static_cast<size_t>(RankOf(update.state_)), [&] {
    const bool isBlocked = update.state_ == CrashState::Blocked;
    return "query " + std::to_string(aFingerprint.Value()) + " of request " + ToString(aRun) +
           (isBlocked ? " blocked as crash suspect: its connection to a target was lost"
                      : " is a crash suspect: a connection that it shared was lost");
  });
}

void
CrashGuard::OnCleanCanary(Fingerprint aFingerprint)
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
  spread_(wire::CrashUpdate{ aFingerprint, CrashState::Cleared, Micros(0) });
}

/// A later update replaces what is known; of about simultaneous ones the state that follows the other in a crash. Both
/// rules end the circulation of contradicting updates.
bool
CrashGuard::OnUpdate(const wire::CrashUpdate& aUpdate)
{
  const Entry seen{ aUpdate.state_, timers_.Now() - aUpdate.age_, {}, {} };
  Shard& shard = ShardOf(aUpdate.fingerprint_);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.entries_.find(aUpdate.fingerprint_);
  if (found != shard.entries_.end()) {
    const Entry& known = found->second;
    const bool isLater = seen.since_ > known.since_ + kGossipSlack;
    const bool isEarlier = known.since_ > seen.since_ + kGossipSlack;
    const bool follows = RankOf(seen.state_) > RankOf(known.state_);
    if (seen.state_ == known.state_ || isEarlier || (!isLater && !follows) ||
        (IsBlocked(known) && seen.state_ != CrashState::Blocked)) {
      return false;
    }
  }
  Store(shard, aUpdate.fingerprint_, seen);
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
