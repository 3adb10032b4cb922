#ifndef IBISROCK_PROCESS_TARGET_NOTICES_H
#define IBISROCK_PROCESS_TARGET_NOTICES_H

#include "base/target_link.h"
#include "process/target.h"

#include <unordered_map>

namespace ibisrock {

/// What targets have said of themselves in answers. It holds for the incarnation that has said it, whatever discovery
/// tells of that one later, and also while its entry is missing. Not thread-safe.
class TargetNotices
{
public:
  /// Longest pause that is kept. A longer one is a fault of the target.
  static constexpr Micros kMaxPause = Seconds(600);

  void Add(const TargetRecord& aTarget, const TargetNotice& aNotice, TimePoint aNow);
  /// Drops what an earlier incarnation has said.
  void OnRecord(const TargetRecord& aTarget);
  bool IsLeaving(const TargetRecord& aTarget) const;
  /// End of the pause that the target has asked for, or the default value.
  TimePoint PauseEnd(const TargetRecord& aTarget) const;

private:
  struct Entry
  {
    uint64_t startedAt_ = 0;
    TargetAddress address_;
    bool isLeaving_ = false;
    TimePoint pauseEnd_{};
    TimePoint saidAt_{};
  };

  const Entry* Find(const TargetRecord& aTarget) const;

  std::unordered_map<TargetName, Entry> entries_;
};

} // namespace ibisrock

#endif
