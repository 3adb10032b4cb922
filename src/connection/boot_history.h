#ifndef IBISROCK_CONNECTION_BOOT_HISTORY_H
#define IBISROCK_CONNECTION_BOOT_HISTORY_H

#include "base/ids.h"

#include <deque>

namespace ibisrock {

/// What a boot id tells about the process of a target.
enum class BootChange : uint8_t
{
  /// The boot id is the current one, the first one seen, or empty.
  None,
  /// The target has restarted.
  Restarted,
  /// The boot id belongs to an earlier process; a state reported with it is obsolete.
  Outdated,
};

/// Current and earlier boot ids of one target. Not thread-safe.
class BootHistory
{
public:
  /// Records a boot id. One from a direct reply of the target is always current; a health endpoint that lags or a late
  /// gossip update may still report an earlier one.
  BootChange Record(const BootId& aBoot, bool aIsDirect);
  const BootId& Current() const { return current_; }

private:
  BootId current_;
  std::deque<BootId> earlier_;
};

} // namespace ibisrock

#endif
