#include "process/older_entries.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Removals that are remembered.
constexpr size_t kMaxRemovals = 20'000;

/// Whether an entry says nothing that was not known. Without a start time or a count of check-ins there is no order.
bool
IsNotNewer(const TargetRecord& aEntry, const TargetRecord& aKnown)
{
  if (aEntry.startedAt_ != aKnown.startedAt_) {
    return aEntry.startedAt_ < aKnown.startedAt_;
  }
  return aEntry.address_ == aKnown.address_ && aKnown.checkIns_ > 0 && aEntry.checkIns_ <= aKnown.checkIns_;
}

/// Whether two entries differ at most in the count of check-ins.
bool
SaysTheSame(const TargetRecord& aEntry, const TargetRecord& aKnown)
{
  TargetRecord entry = aEntry;
  entry.checkIns_ = aKnown.checkIns_;
  return entry == aKnown;
}

} // namespace

void
OlderEntries::OnRemoved(const TargetRecord& aTarget, TimePoint aNow)
{
  if (removed_.size() >= kMaxRemovals) {
    ForgetRemovals(aNow);
  }
  if (removed_.size() < kMaxRemovals) {
    removed_.insert_or_assign(aTarget.name_, RemovedTarget{ aTarget, aNow });
  }
}

void
OlderEntries::ForgetRemovals(TimePoint aNow)
{
  std::erase_if(removed_, [aNow](const auto& aEntry) { return aNow - aEntry.second.removedAt_ > kRemovalMemory; });
}

void
OlderEntries::Begin(const std::vector<TargetRecord>& aKnown, TimePoint aNow)
{
  ForgetRemovals(aNow);
  known_.clear();
  heldBack_.clear();
  for (const auto& [name, removed] : removed_) {
    known_.insert_or_assign(name, KnownTarget{ removed.record_, true });
  }
  for (const TargetRecord& record : aKnown) {
    known_.insert_or_assign(record.name_, KnownTarget{ record, false });
  }
}

std::optional<TargetRecord>
OlderEntries::Resolve(const TargetRecord& aEntry, TimePoint aNow)
{
  auto known = known_.find(aEntry.name_);
  if (known == known_.end()) {
    removed_.erase(aEntry.name_);
    return aEntry;
  }
  if (!IsNotNewer(aEntry, known->second.record_)) {
    known_.erase(known);
    removed_.erase(aEntry.name_);
    heldBack_.erase(aEntry.name_);
    return aEntry;
  }
  const KnownTarget& target = known->second;
  if (!target.isGone_ && SaysTheSame(aEntry, target.record_)) {
    heldBack_.erase(aEntry.name_);
    return target.record_;
  }
  heldBack_.insert_or_assign(aEntry.name_, aEntry);
  if (target.isGone_) {
    removed_.insert_or_assign(aEntry.name_, RemovedTarget{ target.record_, aNow });
    return std::nullopt;
  }
  return target.record_;
}

std::vector<TargetRecord>
OlderEntries::End()
{
  std::vector<TargetRecord> records;
  records.reserve(heldBack_.size());
  for (auto& [name, record] : heldBack_) {
    records.push_back(std::move(record));
    removed_.erase(name);
  }
  known_.clear();
  heldBack_.clear();
  return records;
}

} // namespace ibisrock
