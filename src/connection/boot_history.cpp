#include "connection/boot_history.h"

#include <algorithm>

namespace ibisrock {

namespace {

constexpr size_t kMaxEarlier = 4;

} // namespace

BootChange
BootHistory::Record(const BootId& aBoot, bool aFirstHand)
{
  if (aBoot.IsEmpty() || aBoot == current_) {
    return BootChange::None;
  }
  if (current_.IsEmpty()) {
    current_ = aBoot;
    return BootChange::None;
  }
  auto found = std::find(earlier_.begin(), earlier_.end(), aBoot);
  if (found != earlier_.end()) {
    if (!aFirstHand) {
      return BootChange::Outdated;
    }
    earlier_.erase(found);
  }
  earlier_.push_back(current_);
  if (earlier_.size() > kMaxEarlier) {
    earlier_.pop_front();
  }
  current_ = aBoot;
  return BootChange::Restarted;
}

} // namespace ibisrock
