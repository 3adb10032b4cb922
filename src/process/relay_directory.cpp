#include "process/relay_directory.h"

#include <algorithm>
#include <tuple>

namespace ibisrock {

void
RelayDirectory::Replace(StoreEra aEra, const std::vector<RelaySlot>& aSlots, TimePoint aNow)
{
  era_ = aEra;
  std::map<RelaySlotName, Entry> entries;
  for (const RelaySlot& slot : aSlots) {
    auto known = entries_.find(slot.name_);
    const bool isUnchanged = known != entries_.end() && known->second.slot_.position_ == slot.position_;
    entries.insert_or_assign(slot.name_, Entry{ slot, isUnchanged ? known->second.changedAt_ : aNow });
  }
  entries_ = std::move(entries);
  size_t instances = 0;
  double requestRate = 0;
  for (const auto& [name, entry] : entries_) {
    if (!IsExpired(entry, aNow)) {
      instances += entry.slot_.served_;
      requestRate += entry.slot_.requestRate_.value_;
    }
  }
  counts_.Forget(aNow);
  counts_.Add(aNow, instances);
  rates_.Forget(aNow);
  rates_.Add(aNow, requestRate);
  std::erase_if(failedAt_, [aNow](const auto& aFailure) { return aNow - aFailure.second > kFailurePause; });
}

std::optional<RelaySlot>
RelayDirectory::FindHeldBy(const InstanceId& aInstance) const
{
  for (const auto& [name, entry] : entries_) {
    if (entry.slot_.instance_ == aInstance) {
      return entry.slot_;
    }
  }
  return std::nullopt;
}

std::optional<RelayVacancy>
RelayDirectory::FindVacancy(const DataCentre& aDataCentre, TimePoint aNow) const
{
  for (size_t i = 0; i < kRelaysPerDataCentre; i++) {
    const RelaySlotName name(aDataCentre.Value() + '.' + std::to_string(i));
    auto found = entries_.find(name);
    if (found == entries_.end()) {
      return RelayVacancy{ name, { era_, StoreRevision() } };
    }
    if (IsExpired(found->second, aNow)) {
      return RelayVacancy{ name, found->second.slot_.position_ };
    }
  }
  return std::nullopt;
}

std::optional<PeerAddress>
RelayDirectory::Choose(const DataCentre& aDataCentre, const InstanceId& aSelf, TimePoint aNow, Random& aRandom) const
{
  // Smaller ranks are better: failed lately or expired, in another data centre, random.
  using Rank = std::tuple<bool, bool, uint32_t>;
  std::optional<std::pair<Rank, PeerAddress>> best;
  for (const auto& [name, entry] : entries_) {
    if (entry.slot_.instance_ == aSelf || entry.slot_.isReleased_) {
      continue;
    }
    auto failure = failedAt_.find(entry.slot_.address_);
    const bool hasFailed = failure != failedAt_.end() && aNow - failure->second <= kFailurePause;
    const Rank rank{ hasFailed || IsExpired(entry, aNow),
                     entry.slot_.dataCentre_ != aDataCentre,
                     aRandom.Below(1U << 30U) };
    if (!best || rank < best->first) {
      best.emplace(rank, entry.slot_.address_);
    }
  }
  return best ? std::optional(best->second) : std::nullopt;
}

std::vector<RelaySlot>
RelayDirectory::Slots() const
{
  std::vector<RelaySlot> slots;
  for (const auto& [name, entry] : entries_) {
    if (!entry.slot_.isReleased_) {
      slots.push_back(entry.slot_);
    }
  }
  return slots;
}

} // namespace ibisrock
