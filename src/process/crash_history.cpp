#include "process/crash_history.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

/// Requests that are remembered; each takes about 50 bytes.
constexpr size_t kMaxEntries = 4000;

} // namespace

Fingerprint
RequestFingerprint(const CallerRequest& aRequest)
{
  uint64_t hash = HashBytes(aRequest.host_);
  hash = HashBytes(aRequest.method_, hash);
  hash = HashBytes(aRequest.target_, hash);
  return Fingerprint(HashBytes(aRequest.body_ ? std::string_view(*aRequest.body_) : std::string_view(), hash));
}

bool
CrashHistory::HasLapsed(const Entry& aEntry) const
{
  return timers_.Now() - aEntry.lastCrashAt_ >= kRefuseTime;
}

const CrashHistory::Entry*
CrashHistory::Find(Fingerprint aRequest) const
{
  auto found = entries_.find(aRequest);
  return found == entries_.end() || HasLapsed(found->second) ? nullptr : &found->second;
}

CrashHistory::Entry*
CrashHistory::Find(Fingerprint aRequest)
{
  return const_cast<Entry*>(std::as_const(*this).Find(aRequest));
}

CrashPrecaution
CrashHistory::Check(const CallerRequest& aRequest) const
{
  // Nearly always nothing is known, and the request is not hashed.
  const Entry* entry = entries_.empty() ? nullptr : Find(RequestFingerprint(aRequest));
  if (entry == nullptr) {
    return CrashPrecaution::None;
  }
  return entry->crashes_ < kMaxCrashes ? CrashPrecaution::SingleAttempts : CrashPrecaution::Refuse;
}

Micros
CrashHistory::RefusedFor(const CallerRequest& aRequest) const
{
  const Entry* entry = entries_.empty() ? nullptr : Find(RequestFingerprint(aRequest));
  return entry == nullptr || entry->crashes_ < kMaxCrashes ? Micros::zero()
                                                           : entry->lastCrashAt_ + kRefuseTime - timers_.Now();
}

void
CrashHistory::OnCrash(const CallerRequest& aRequest, TimePoint aBegan)
{
  const Fingerprint request = RequestFingerprint(aRequest);
  Entry* known = Find(request);
  if (known != nullptr && aBegan <= known->lastCrashAt_) {
    return;
  }
  if (known == nullptr) {
    EvictIfFull();
    known = &(entries_[request] = {});
  }
  known->crashes_++;
  known->lastCrashAt_ = timers_.Now();
  if (publish_) {
    publish_({ request, known->crashes_, Micros::zero() });
  }
}

void
CrashHistory::OnAnswered(const CallerRequest& aRequest)
{
  if (entries_.empty()) {
    return;
  }
  const Fingerprint request = RequestFingerprint(aRequest);
  const bool wasKnown = entries_.erase(request) > 0;
  if (wasKnown && publish_) {
    publish_({ request, 0, Micros::zero() });
  }
}

void
CrashHistory::OnReport(const CrashReport& aReport)
{
  if (aReport.crashes_ == 0) {
    entries_.erase(aReport.request_);
    return;
  }
  if (aReport.age_ >= kRefuseTime) {
    return;
  }
  Entry* known = Find(aReport.request_);
  if (known == nullptr) {
    EvictIfFull();
    known = &(entries_[aReport.request_] = {});
  }
  if (aReport.crashes_ > known->crashes_) {
    known->crashes_ = std::min(aReport.crashes_, kMaxCrashes);
    known->lastCrashAt_ = timers_.Now() - aReport.age_;
  }
}

std::vector<CrashReport>
CrashHistory::Reports(size_t aMaxCount) const
{
  std::vector<CrashReport> reports;
  for (const auto& [request, entry] : entries_) {
    if (!HasLapsed(entry)) {
      reports.push_back({ request, entry.crashes_, timers_.Now() - entry.lastCrashAt_ });
    }
  }
  std::sort(reports.begin(), reports.end(), [](const CrashReport& aLeft, const CrashReport& aRight) {
    return aLeft.crashes_ > aRight.crashes_;
  });
  reports.resize(std::min(reports.size(), aMaxCount));
  return reports;
}

/// Makes room: what has lapsed goes, then the request with the fewest crashes that is known longest.
void
CrashHistory::EvictIfFull()
{
  if (entries_.size() < kMaxEntries) {
    return;
  }
  std::erase_if(entries_, [this](const auto& aEntry) { return HasLapsed(aEntry.second); });
  if (entries_.size() >= kMaxEntries) {
    entries_.erase(std::min_element(entries_.begin(), entries_.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.second.crashes_, aLeft.second.lastCrashAt_) <
             std::pair(aRight.second.crashes_, aRight.second.lastCrashAt_);
    }));
  }
}

} // namespace ibisrock
