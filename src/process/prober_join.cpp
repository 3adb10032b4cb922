// The parts of Prober that start from outside the probing: the instance list, and the pause of this process.

#include "base/hashing.h"
#include "process/prober.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

constexpr Micros kListPeriod = Seconds(1);
constexpr size_t kListReadersPerDataCentre = 2;
/// Pings to unheard instances per reading of the list; bounds the burst when a list holds thousands of them.
constexpr size_t kJoinPings = 512;
constexpr Micros kWatchPeriod = Millis(250);
/// A process that did not run for this long may have been declared dead.
constexpr Micros kPauseTime = Seconds(1);
/// An instance that reaches no peer for this long after a pause works alone, as it does when it is cut off.
constexpr Micros kResumeLimit = Seconds(2);
constexpr size_t kResumePings = 3;

} // namespace

/// Only the members with the highest rendezvous weights of each data centre read the list, so that its load grows with
/// the data centres. An instance without peers reads it as well.
bool
Prober::ReadsList() const
{
  const std::vector<Member> peers = Peers();
  const uint64_t own = RendezvousWeight("instance-list", self_.id_.Value());
  const auto ahead = std::count_if(peers.begin(), peers.end(), [this, own](const Member& aMember) {
    return aMember.dataCentre_ == self_.dataCentre_ && RendezvousWeight("instance-list", aMember.id_.Value()) > own;
  });
  return peers.empty() || static_cast<size_t>(ahead) < kListReadersPerDataCentre;
}

void
Prober::FetchList()
{
  environment_.instances_.Fetch([this](const std::optional<std::vector<ListedInstance>>& aListed) {
    if (aListed) {
      OnListed(*aListed);
    }
    environment_.timers_.After(kListPeriod, [this] { PollList(); });
  });
}

void
Prober::PollList()
{
  if (ReadsList()) {
    FetchList();
  } else {
    environment_.timers_.After(kListPeriod, [this] { PollList(); });
  }
}

/// Pings the listed instances that were never heard, or not at this address. An entry alone changes no member.
void
Prober::OnListed(const std::vector<ListedInstance>& aListed)
{
  std::vector<ListedInstance> unheard;
  for (const ListedInstance& listed : aListed) {
    const std::optional<Member> known = membership_.Find(listed.id_);
    if (!listed.leaving_ && listed.id_ != self_.id_ && (!known || known->address_ != listed.address_)) {
      unheard.push_back(listed);
    }
  }
  size_t offset = 0;
  {
    std::lock_guard lock(mutex_);
    offset = std::exchange(joinOffset_, joinOffset_ + kJoinPings);
  }
  for (size_t index = 0; index < std::min(unheard.size(), kJoinPings); index++) {
    const ListedInstance& listed = unheard[(offset + index) % unheard.size()];
    SendPing(listed.address_, listed.id_);
  }
}

void
Prober::Watchdog()
{
  IsResuming();
  bool giveUp = false;
  bool resuming = false;
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = environment_.timers_.Now();
    lastAwake_ = now;
    giveUp = resumedAt_ && now - *resumedAt_ >= kResumeLimit;
    resuming = resumedAt_ && !giveUp;
    if (giveUp) {
      resumedAt_.reset();
    }
  }
  if (giveUp) {
    membership_.SetEligibleOwner(true);
  } else if (resuming) {
    ProbeAfterPause();
  }
  environment_.timers_.After(kWatchPeriod, [this] { Watchdog(); });
}

bool
Prober::IsResuming()
{
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = environment_.timers_.Now();
    if (!started_ || now - lastAwake_ <= kPauseTime) {
      return resumedAt_.has_value();
    }
    lastAwake_ = now;
    resumedAt_ = now;
    resumeSequence_ = lastSequence_;
    // A probe that the pause interrupted says nothing about its subject.
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
