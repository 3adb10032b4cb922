// Discovery of instances through the instance list, and detection of pauses of this process.

#include "base/hashing.h"
#include "process/prober.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

constexpr Micros kListFetchPeriod = Seconds(1);
constexpr size_t kListReadersPerDataCentre = 2;
/// Maximum number of pings to unconfirmed instances per fetch of the list; bounds the burst when thousands are listed.
constexpr size_t kMaxDiscoveryPings = 512;
constexpr Micros kPauseCheckPeriod = Millis(250);
/// An instance that did not run for this long may have been declared dead by its peers.
constexpr Micros kPauseThreshold = Seconds(1);
/// An instance that reaches no peer for this long after a pause becomes eligible as an owner again, like any instance
/// that is partitioned from all peers.
constexpr Micros kResumeTimeout = Seconds(2);
constexpr size_t kResumePings = 3;

} // namespace

/// Only the members with the highest rendezvous weights of each data centre fetch the list, so that its load grows with
/// the number of data centres, not of instances. An instance without peers fetches it as well.
bool
Prober::ShouldFetchList() const
{
  const std::vector<Member> peers = Peers();
  const uint64_t own = RendezvousWeight("instance-list", self_.id_.Value());
  const auto higherCount = std::count_if(peers.begin(), peers.end(), [this, own](const Member& aMember) {
    return aMember.dataCentre_ == self_.dataCentre_ && RendezvousWeight("instance-list", aMember.id_.Value()) > own;
  });
  return peers.empty() || static_cast<size_t>(higherCount) < kListReadersPerDataCentre;
}

void
Prober::FetchList()
{
  environment_.instances_.Fetch([this](const std::optional<std::vector<ListedInstance>>& aListed) {
    if (aListed) {
      OnInstanceList(*aListed);
    }
    environment_.timers_.After(kListFetchPeriod, [this] { PollList(); });
  });
}

void
Prober::PollList()
{
  if (ShouldFetchList()) {
    FetchList();
  } else {
    environment_.timers_.After(kListFetchPeriod, [this] { PollList(); });
  }
}

/// Pings the listed instances that are unknown, or known at another address. A list entry alone never changes the
/// membership.
void
Prober::OnInstanceList(const std::vector<ListedInstance>& aListed)
{
  std::vector<ListedInstance> unconfirmed;
  for (const ListedInstance& listed : aListed) {
    const std::optional<Member> known = membership_.Find(listed.id_);
    if (!listed.leaving_ && listed.id_ != self_.id_ && (!known || known->address_ != listed.address_)) {
      unconfirmed.push_back(listed);
    }
  }
  size_t offset = 0;
  {
    std::lock_guard lock(mutex_);
    offset = std::exchange(discoveryOffset_, discoveryOffset_ + kMaxDiscoveryPings);
  }
  for (size_t index = 0; index < std::min(unconfirmed.size(), kMaxDiscoveryPings); index++) {
    const ListedInstance& listed = unconfirmed[(offset + index) % unconfirmed.size()];
    SendPing(listed.address_, listed.id_);
  }
}

void
Prober::CheckForPause()
{
  IsResuming();
  bool timedOut = false;
  bool resuming = false;
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = environment_.timers_.Now();
    lastPauseCheck_ = now;
    timedOut = resumeStart_ && now - *resumeStart_ >= kResumeTimeout;
    resuming = resumeStart_ && !timedOut;
    if (timedOut) {
      resumeStart_.reset();
    }
  }
  if (timedOut) {
    membership_.SetEligibleOwner(true);
  } else if (resuming) {
    ProbeAfterPause();
  }
  environment_.timers_.After(kPauseCheckPeriod, [this] { CheckForPause(); });
}

bool
Prober::IsResuming()
{
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = environment_.timers_.Now();
    if (!started_ || now - lastPauseCheck_ <= kPauseThreshold) {
      return resumeStart_.has_value();
    }
    lastPauseCheck_ = now;
    resumeStart_ = now;
    lastSequenceBeforePause_ = lastSequence_;
    // The outcome of a probe interrupted by the pause says nothing about its subject.
    probe_.reset();
  }
  membership_.SetEligibleOwner(false);
  membership_.RestartSuspicionTimers();
  ProbeAfterPause();
  return true;
}

void
Prober::ProbeAfterPause()
{
  std::vector<Member> peers = Peers();
  for (size_t sent = 0; sent < kResumePings && !peers.empty(); sent++) {
    const size_t index = environment_.random_.Below(static_cast<uint32_t>(peers.size()));
    SendPing(peers[index].address_, peers[index].id_);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

} // namespace ibisrock
