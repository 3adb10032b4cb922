#ifndef IBISROCK_CONNECTION_BOOT_HISTORY_H
#define IBISROCK_CONNECTION_BOOT_HISTORY_H

#include "base/ids.h"

#include <deque>

namespace ibisrock {

/// What a boot id says of a target.
enum class BootChange : uint8_t
{
  /// The current process of the target, the first one seen, or no boot id at all.
  None,
  /// The target has restarted.
  Restarted,
  /// An earlier process; what was said with it no longer holds.
  Outdated,
};

/// Current and earlier boot ids of one target. Not thread-safe.
class BootHistory
{
public:
  /// Learns a boot id. One seen first hand, in a reply of the target, is always current; a health endpoint that lags or
  /// a late gossip update may still show an earlier one.
  BootChange Record(const BootId& aBoot, bool aFirstHand);
  const BootId& Current() const { return current_; }

private:
  BootId current_;
  std::deque<BootId> earlier_;
};

} // namespace ibisrock

#endif
