#ifndef IBISROCK_STANDIN_TARGET_BEHAVIOUR_H
#define IBISROCK_STANDIN_TARGET_BEHAVIOUR_H

#include "base/last_reason.h"
#include "base/units.h"

#include <optional>
#include <set>
#include <string>

namespace ibisrock::standin {

/// How one target behaves.
struct TargetBehaviour
{
  /// Time that one request holds a slot.
  Micros serviceTime_ = Millis(2);
  unsigned slots_ = 2;
  /// Requests handled at the same time, refused ones included; 0 for no limit. Idle connections do not count.
  unsigned connections_ = 0;
  /// Added to the first request of each connection, as its set-up.
  Micros connectTime_{};
  std::set<uint64_t> versions_ = { 1 };
  /// Shards that the target holds; empty for all.
  std::set<std::string> shards_;
  /// A draining target refuses all new work.
  bool draining_ = false;
  /// Time after a start in which the target says that it is warming and takes coldFactor_ times as long.
  Micros coldStart_{};
  unsigned coldFactor_ = 5;
  /// Share of requests that take slowFactor_ times as long.
  double slowShare_ = 0;
  unsigned slowFactor_ = 10;
  /// A request with this body crashes the target; empty for none.
  std::string crashBody_;
  /// State that the health endpoint claims; empty for the true one.
  std::string falseHealth_;
  /// Time by which the health endpoint lags.
  Micros healthLag_{};
};

/// Returns aBehaviour with the members of a JSON object replaced: service_ms, slots, connections, connect_ms, versions,
/// shards, draining, cold_start_ms, cold_factor, slow_share, slow_factor, crash_body, false_health, health_lag_ms.
std::optional<TargetBehaviour>
ChangeBehaviour(TargetBehaviour aBehaviour, const std::string& aJson, LastReason& aReason);

} // namespace ibisrock::standin

#endif
