#include "process/crash_history.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

/// Requests that are remembered; each takes some hundred bytes.
constexpr size_t kMaxEntries = 4000;
/// Answers that are remembered of one request, and items that are taken from one report.
constexpr size_t kMaxItems = 16;

Fingerprint
PoolFingerprint(const PoolName& aPool)
{
  return Fingerprint(HashBytes(aPool.Value()));
}

Fingerprint
RunFingerprint(const TargetRun& aRun)
{
  const uint64_t seed = HashBytes(std::to_string(aRun.began_.time_since_epoch().count()));
  return Fingerprint(HashBytes(aRun.target_.Value(), HashBytes(aRun.request_->id_, seed)));
}

} // namespace

Fingerprint
RequestFingerprint(const CallerRequest& aRequest)
{
  uint64_t hash = HashBytes(aRequest.host_);
  hash = HashBytes(aRequest.method_, hash);
  hash = HashBytes(aRequest.target_, hash);
  return Fingerprint(HashBytes(aRequest.body_ ? std::string_view(*aRequest.body_) : std::string_view(), hash));
}

CrashReport
CrashReport::After(Micros aTime) const
{
  CrashReport later = *this;
  for (Crash& crash : later.crashes_) {
    crash.beganAge_ += aTime;
    crash.endedAge_ += aTime;
  }
  for (Answer& answer : later.answers_) {
    answer.age_ += aTime;
  }
  return later;
}

TimePoint
CrashHistory::Entry::LastChange() const
{
  TimePoint last{};
  for (const Crash& crash : crashes_) {
    last = std::max(last, crash.ended_);
  }
  for (const Answer& answer : answers_) {
    last = std::max(last, answer.at_);
  }
  return last;
}

bool
CrashHistory::HasLapsed(const Entry& aEntry) const
{
  return timers_.Now() - aEntry.LastChange() >= kRefuseTime;
}

const CrashHistory::Entry*
CrashHistory::Find(Fingerprint aRequest) const
{
  auto found = entries_.find(aRequest);
  return found == entries_.end() || HasLapsed(found->second) ? nullptr : &found->second;
}

CrashHistory::Entry&
CrashHistory::FindOrAdd(Fingerprint aRequest)
{
  if (Find(aRequest) == nullptr) {
    EvictIfFull();
    entries_[aRequest] = {};
  }
  Entry& entry = entries_[aRequest];
  if (CountCrashes(&entry) == 0) {
    entry.crashes_.clear();
  }
  return entry;
}

/// The crashes of a request lapse together, some time after the last one.
size_t
CrashHistory::CountCrashes(const Entry* aEntry) const
{
  const bool isKnown = aEntry != nullptr && !aEntry->crashes_.empty();
  return isKnown && timers_.Now() - aEntry->crashes_.back().ended_ < kRefuseTime ? aEntry->crashes_.size() : 0;
}

CrashPrecaution
CrashHistory::Check(const CallerRequest& aRequest) const
{
  // Nearly always nothing is known, and the request is not hashed.
  const size_t crashes = entries_.empty() ? 0 : CountCrashes(Find(RequestFingerprint(aRequest)));
  return crashes == 0            ? CrashPrecaution::None
         : crashes < kMaxCrashes ? CrashPrecaution::SingleAttempts
                                 : CrashPrecaution::Refuse;
}

Micros
CrashHistory::RefusedFor(const CallerRequest& aRequest) const
{
  const Entry* entry = entries_.empty() ? nullptr : Find(RequestFingerprint(aRequest));
  return CountCrashes(entry) < kMaxCrashes ? Micros::zero()
                                           : entry->crashes_.back().ended_ + kRefuseTime - timers_.Now();
}

/// Adds a crash and keeps the longest sequence of runs that do not overlap. Returns whether the crash is one of them.
bool
CrashHistory::AddCrash(Entry& aEntry, const Crash& aCrash)
{
  const bool isKnown = std::any_of(
    aEntry.crashes_.begin(), aEntry.crashes_.end(), [&](const Crash& aKnown) { return aKnown.run_ == aCrash.run_; });
  const bool isCleared = std::any_of(aEntry.answers_.begin(), aEntry.answers_.end(), [&](const Answer& aAnswer) {
    return aAnswer.pool_ == aCrash.pool_ && aCrash.ended_ <= aAnswer.at_;
  });
  if (isKnown || isCleared) {
    return false;
  }
  std::vector<Crash> all = std::exchange(aEntry.crashes_, {});
  all.push_back(aCrash);
  std::stable_sort(
    all.begin(), all.end(), [](const Crash& aLeft, const Crash& aRight) { return aLeft.ended_ < aRight.ended_; });
  bool isCounted = false;
  for (const Crash& crash : all) {
    const bool isSeparate = aEntry.crashes_.empty() || crash.began_ >= aEntry.crashes_.back().ended_;
    if (isSeparate && aEntry.crashes_.size() < kMaxCrashes) {
      aEntry.crashes_.push_back(crash);
      isCounted = isCounted || crash.run_ == aCrash.run_;
    }
  }
  return isCounted;
}

/// Takes the crashes at the pool that came before its answer out. Returns whether there were any.
bool
CrashHistory::AddAnswer(Entry& aEntry, const Answer& aAnswer)
{
  auto known = std::find_if(aEntry.answers_.begin(), aEntry.answers_.end(), [&](const Answer& aOther) {
    return aOther.pool_ == aAnswer.pool_;
  });
  if (known != aEntry.answers_.end()) {
    known->at_ = std::max(known->at_, aAnswer.at_);
  } else {
    if (aEntry.answers_.size() >= kMaxItems) {
      aEntry.answers_.erase(aEntry.answers_.begin());
    }
    aEntry.answers_.push_back(aAnswer);
  }
  return std::erase_if(aEntry.crashes_, [&](const Crash& aCrash) {
           return aCrash.pool_ == aAnswer.pool_ && aCrash.ended_ <= aAnswer.at_;
         }) > 0;
}

void
CrashHistory::OnCrash(const TargetRun& aRun, TimePoint aEnded)
{
  const Fingerprint request = RequestFingerprint(*aRun.request_);
  const Crash crash{ RunFingerprint(aRun), PoolFingerprint(aRun.pool_), aRun.began_, aEnded };
  if (AddCrash(FindOrAdd(request), crash) && publish_) {
    publish_(request);
  }
}

void
CrashHistory::OnAnswered(const CallerRequest& aRequest, const std::vector<PoolName>& aPools)
{
  if (entries_.empty()) {
    return;
  }
  const Fingerprint request = RequestFingerprint(aRequest);
  auto found = entries_.find(request);
  if (found == entries_.end() || found->second.crashes_.empty()) {
    return;
  }
  bool isCleared = false;
  for (const PoolName& name : aPools) {
    const Fingerprint pool = PoolFingerprint(name);
    const auto& crashes = found->second.crashes_;
    if (std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aCrash) { return aCrash.pool_ == pool; })) {
      isCleared = AddAnswer(found->second, { pool, timers_.Now() }) || isCleared;
    }
  }
  if (isCleared && publish_) {
    publish_(request);
  }
}

void
CrashHistory::OnReport(const CrashReport& aReport)
{
  const TimePoint now = timers_.Now();
  for (size_t i = 0; i < std::min(aReport.answers_.size(), kMaxItems); i++) {
    if (const CrashReport::Answer& answer = aReport.answers_[i]; answer.age_ < kRefuseTime) {
      AddAnswer(FindOrAdd(aReport.request_), { answer.pool_, now - answer.age_ });
    }
  }
  for (size_t i = 0; i < std::min(aReport.crashes_.size(), kMaxItems); i++) {
    if (const CrashReport::Crash& crash = aReport.crashes_[i]; crash.endedAge_ < kRefuseTime) {
      const Micros beganAge = std::max(crash.beganAge_, crash.endedAge_) + kReportDelay;
      AddCrash(FindOrAdd(aReport.request_), { crash.run_, crash.pool_, now - beganAge, now - crash.endedAge_ });
    }
  }
}

CrashReport
CrashHistory::MakeReport(Fingerprint aRequest, const Entry& aEntry) const
{
  const TimePoint now = timers_.Now();
  CrashReport report;
  report.request_ = aRequest;
  for (const Crash& crash : aEntry.crashes_) {
    report.crashes_.push_back({ crash.run_, crash.pool_, now - crash.began_, now - crash.ended_ });
  }
  for (const Answer& answer : aEntry.answers_) {
    report.answers_.push_back({ answer.pool_, now - answer.at_ });
  }
  return report;
}

CrashReport
CrashHistory::ReportOn(Fingerprint aRequest) const
{
  const Entry* entry = Find(aRequest);
  return MakeReport(aRequest, entry == nullptr ? Entry() : *entry);
}

std::vector<CrashReport>
CrashHistory::Reports(size_t aMaxCount, size_t aMinCrashes) const
{
  std::vector<CrashReport> reports;
  for (const auto& [request, entry] : entries_) {
    if (!HasLapsed(entry) && entry.crashes_.size() >= aMinCrashes) {
      reports.push_back(MakeReport(request, entry));
    }
  }
  // Equal counts have a fixed order, so that the same requests are chosen each time.
  std::sort(reports.begin(), reports.end(), [](const CrashReport& aLeft, const CrashReport& aRight) {
    return std::pair(aRight.crashes_.size(), aLeft.request_) < std::pair(aLeft.crashes_.size(), aRight.request_);
  });
  reports.resize(std::min(reports.size(), aMaxCount));
  return reports;
}

size_t
CrashHistory::Size() const
{
  return static_cast<size_t>(std::count_if(
    entries_.begin(), entries_.end(), [this](const auto& aEntry) { return CountCrashes(&aEntry.second) > 0; }));
}

/// Makes room: what has lapsed goes, then the request with the fewest crashes that has not changed for longest.
void
CrashHistory::EvictIfFull()
{
  if (entries_.size() < kMaxEntries) {
    return;
  }
  std::erase_if(entries_, [this](const auto& aEntry) { return HasLapsed(aEntry.second); });
  if (entries_.size() >= kMaxEntries) {
    entries_.erase(std::min_element(entries_.begin(), entries_.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.second.crashes_.size(), aLeft.second.LastChange()) <
             std::pair(aRight.second.crashes_.size(), aRight.second.LastChange());
    }));
  }
}

} // namespace ibisrock
