#ifndef IBISROCK_STANDIN_PLATFORM_BEHAVIOUR_H
#define IBISROCK_STANDIN_PLATFORM_BEHAVIOUR_H

#include "base/last_reason.h"
#include "base/units.h"

#include <optional>
#include <string>

namespace ibisrock::standin {

/// Faults of the platform stand-in, changed at run time.
struct PlatformBehaviour
{
  /// Every call on objects and on the instance list is refused with 503 and changes nothing.
  bool outage_ = false;
  /// Time added before each call is carried out.
  Micros delay_{};
  /// Number of next accepted updates that take effect, but whose reply is an error without any statement.
  unsigned lostAnswers_ = 0;
  /// Reads show the objects as they were this long ago. Conditional updates and watches see the newest revision.
  Micros staleness_{};
  /// The instance list is shown as it was this long ago.
  Micros listLag_{};

  bool operator==(const PlatformBehaviour&) const = default;
};

/// Applies a JSON object with any of the members outage, delay_ms, lost_answers, stale_ms and list_lag_ms. Returns no
/// value, and changes nothing, when a member is unknown or its value is malformed.
std::optional<PlatformBehaviour>
ChangeBehaviour(PlatformBehaviour aBehaviour, const std::string& aJson, LastReason& aReason);

/// JSON object with the same members.
std::string
EncodeBehaviour(const PlatformBehaviour& aBehaviour);

} // namespace ibisrock::standin

#endif
