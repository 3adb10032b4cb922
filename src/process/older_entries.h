#ifndef IBISROCK_PROCESS_OLDER_ENTRIES_H
#define IBISROCK_PROCESS_OLDER_ENTRIES_H

#include "base/units.h"
#include "process/target.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisrock {

/// Holds back entries of targets that the store has from an older copy of itself, until the targets have had time to
/// write theirs again: a target that was known to leave or to be gone must not return through what it wrote before.
/// Entries of one target are ordered by its start time and its count of check-ins. Not thread-safe.
class OlderEntries
{
public:
  /// Time for which a removed target is remembered. Copies are some seconds old.
  static constexpr Micros kRemovalMemory = Seconds(30);

  /// The entry of a target was removed.
  void OnRemoved(const TargetRecord& aTarget, TimePoint aNow);
  /// The entries that follow come from an older copy. aKnown is what was known of the targets until now.
  void Begin(const std::vector<TargetRecord>& aKnown, TimePoint aNow);
  /// A whole list follows. Only what it holds may be held back from now on.
  void BeginList() { heldBack_.clear(); }
  /// Returns what holds of the target of an entry: the entry, what was known if the entry is not newer, or no value if
  /// the target was gone by then.
  std::optional<TargetRecord> Resolve(const TargetRecord& aEntry, TimePoint aNow);
  /// The entry that was held back no longer exists.
  void Drop(const TargetName& aName) { heldBack_.erase(aName); }
  /// Ends the time of holding back. Returns the entries that still stand.
  std::vector<TargetRecord> End();
  size_t HeldBack() const { return heldBack_.size(); }

private:
  struct KnownTarget
  {
    TargetRecord record_;
    bool isGone_ = false;
  };

  struct RemovedTarget
  {
    TargetRecord record_;
    TimePoint removedAt_;
  };

  void ForgetRemovals(TimePoint aNow);

  std::unordered_map<TargetName, RemovedTarget> removed_;
  /// What was known at the end of the older era; empty while nothing is held back.
  std::unordered_map<TargetName, KnownTarget> known_;
  std::unordered_map<TargetName, TargetRecord> heldBack_;
};

} // namespace ibisrock

#endif
