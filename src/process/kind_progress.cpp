#include "process/kind_progress.h"

namespace ibisrock {

KindProgress::PageVerdict
KindProgress::OnPage(const StorePosition& aStated, bool aIsFirst)
{
  if (!aIsFirst) {
    const bool isSameList = aStated.era_ == list_.era_ && aStated >= list_;
    return isSameList ? PageVerdict::Take : PageVerdict::OtherList;
  }
  list_ = aStated;
  // A relay that is behind would bring removed objects back.
  return list_ < known_ ? PageVerdict::Behind : PageVerdict::Take;
}

bool
KindProgress::OnListEnd()
{
  const bool beginsEra = known_ != StorePosition() && list_.era_ != known_.era_;
  known_ = list_;
  return beginsEra;
}

KindProgress::WatchVerdict
KindProgress::OnWatchAnswer(const StorePosition& aStated)
{
  if (aStated.era_ != known_.era_) {
    return WatchVerdict::OtherEra;
  }
  if (aStated < known_) {
    return WatchVerdict::Behind;
  }
  known_ = aStated;
  return WatchVerdict::Take;
}

} // namespace ibisrock
