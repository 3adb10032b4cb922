#include "connection/boot_history.h"

#include <algorithm>

namespace ibisrock {

namespace {

constexpr size_t kMaxEarlierBoots = 4;

} // namespace

BootChange
BootHistory::Record(const BootId& aBoot, bool aIsDirect)
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
    if (!aIsDirect) {
      return BootChange::Outdated;
    }
    earlier_.erase(found);
  }
  earlier_.push_back(current_);
  if (earlier_.size() > kMaxEarlierBoots) {
    earlier_.pop_front();
  }
  current_ = aBoot;
  return BootChange::Restarted;
}

} // namespace ibisrock
