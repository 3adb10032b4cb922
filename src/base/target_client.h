#ifndef IBISROCK_BASE_TARGET_CLIENT_H
#define IBISROCK_BASE_TARGET_CLIENT_H

#include "base/ids.h"
#include "base/units.h"
#include "base/verdict.h"

#include <functional>
#include <string>
#include <vector>

namespace ibisrock {

/// One result of a shard. Ids are unique within an index version.
struct Match
{
  std::string id_;
  std::string text_;

  auto operator<=>(const Match&) const = default;
};

/// What a target says of itself in a reply or a refusal.
enum class TargetState : uint8_t
{
  Unknown,
  Ready,
  Warming,
  Draining,
};

/// One attempt to run one shard of a query on one target.
struct TargetAttempt
{
  AttemptId id_;
  ServiceName service_;
  ShardName shard_;
  TargetName target_;
  TargetAddress address_;
  IndexVersion version_;
  std::string body_;
  /// Passed on to the target. No attempt is ever sent more than once, whatever this says.
  bool idempotent_ = true;
  /// Time that the target may use, passed on to it as a deadline.
  Micros budget_{};
  /// Connections to the target that this instance may have open at the same time, idle ones included; 0 for no limit.
  uint32_t maxConnections_ = 0;
  /// Use no connection that was kept open, so that a lost connection can only be due to this attempt or its target.
  bool newConnection_ = false;
};

/// Outcome of an attempt. verdict_ is Ran only when matches_ is complete for version_.
struct TargetReply
{
  Verdict verdict_ = Verdict::MayHaveRun;
  Reason reason_ = Reason::None;
  IndexVersion version_;
  std::vector<Match> matches_;
  /// Index versions that the target holds, as far as it said.
  std::vector<IndexVersion> held_;
  TargetState state_ = TargetState::Unknown;
  BootId boot_;
  /// A connection that was kept from an earlier attempt was lost without a byte of a reply. The target may have closed
  /// it for a reason that has nothing to do with this attempt.
  bool lostKeptConnection_ = false;
};

/// Sends attempts to targets.
class TargetClient
{
public:
  using Callback = std::function<void(TargetReply)>;

  virtual ~TargetClient() = default;

  /// Starts an attempt. aCallback is called exactly once, on any thread, at the latest when the budget has passed.
  virtual void Start(const TargetAttempt& aAttempt, Callback aCallback) = 0;
  /// Asks the target to stop an attempt, without a promise that it does.
  virtual void Cancel(const AttemptId& aId) = 0;
  /// Reads the target's health endpoint, which lags or misleads. aCallback is called exactly once, on any thread,
  /// within about a second. The verdict is Ran when there was an answer; state_, boot_ and held_ are what it said.
  virtual void Probe(const TargetName& aTarget, const TargetAddress& aAddress, Callback aCallback) = 0;
};

} // namespace ibisrock

#endif
