#include "process/target_notices.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Targets that are remembered. Each start of a target may have a new name.
constexpr size_t kMaxEntries = 20'000;

} // namespace

/// What is known of the target, unless its record is of a later incarnation. An entry of an earlier one may come late.
const TargetNotices::Entry*
TargetNotices::Find(const TargetRecord& aTarget) const
{
  auto found = entries_.find(aTarget.name_);
  if (found == entries_.end()) {
    return nullptr;
  }
  const Entry& entry = found->second;
  const bool isLater = aTarget.startedAt_ > entry.startedAt_ ||
                       (aTarget.startedAt_ == entry.startedAt_ && aTarget.address_ != entry.address_);
  return isLater ? nullptr : &entry;
}

void
TargetNotices::Add(const TargetRecord& aTarget, const TargetNotice& aNotice, TimePoint aNow)
{
  OnRecord(aTarget);
  if (entries_.size() >= kMaxEntries && !entries_.contains(aTarget.name_)) {
    entries_.erase(std::min_element(entries_.begin(), entries_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.saidAt_ < aRight.second.saidAt_;
    }));
  }
  Entry& entry = entries_[aTarget.name_];
  entry.startedAt_ = aTarget.startedAt_;
  entry.address_ = aTarget.address_;
  entry.isLeaving_ = entry.isLeaving_ || aNotice.isLeaving_;
  entry.saidAt_ = aNow;
  if (aNotice.pause_) {
    entry.pauseEnd_ = std::max(entry.pauseEnd_, aNow + std::min(*aNotice.pause_, kMaxPause));
  }
}

void
TargetNotices::OnRecord(const TargetRecord& aTarget)
{
  if (Find(aTarget) == nullptr) {
    entries_.erase(aTarget.name_);
  }
}

bool
TargetNotices::IsLeaving(const TargetRecord& aTarget) const
{
  const Entry* entry = Find(aTarget);
  return entry != nullptr && entry->isLeaving_;
}

TimePoint
TargetNotices::PauseEnd(const TargetRecord& aTarget) const
{
  const Entry* entry = Find(aTarget);
  return entry == nullptr ? TimePoint() : entry->pauseEnd_;
}

} // namespace ibisrock
