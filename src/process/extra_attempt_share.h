#ifndef IBISROCK_PROCESS_EXTRA_ATTEMPT_SHARE_H
#define IBISROCK_PROCESS_EXTRA_ATTEMPT_SHARE_H

#include "base/units.h"

#include <cstddef>

namespace ibisrock {

/// What one instance knows of the load that shares the bounds on extra attempts.
struct FleetLoad
{
  size_t instances_ = 1;
  /// Requests to all instances together; zero while it is not known.
  PerSecond fleetRate_{};
  /// Latest rate of requests to this instance, and its usual rate, which the fleet's rate was reported with.
  PerSecond ownRate_{};
  PerSecond ownUsualRate_{};
  /// This instance has started within the budget window.
  bool hasJustStarted_ = false;
};

/// The part of the shared bounds on extra attempts that one instance uses, for each pool.
struct ExtraAttemptShare
{
  /// Tokens that a first attempt earns.
  double perAttempt_ = 0;
  /// Largest number of saved tokens, and the number that a budget begins with.
  double maxTokens_ = 0;
  double initialTokens_ = 0;
  /// Latency quantile after which an attempt is hedged.
  double hedgeQuantile_ = 0;

  bool operator==(const ExtraAttemptShare&) const = default;
};

/// Window for which the bounds hold.
constexpr Micros kExtraAttemptWindow = Seconds(10);

/// Computes an instance's part of the bounds, which are a share of the requests to a pool (aShare) and a fixed number
/// in each budget window (aSlack) for all instances together. Load pattern: a large fleet with few requests for each
/// instance. An equal part of the fixed number is less than one hedge there, while most instances use none of it.
/// Therefore a part of the fixed number is given out by use: each request earns as much as there is for the requests of
/// a window. An instance that has just started may have used its part of the fixed number before, so it gets it only
/// after a window.
ExtraAttemptShare
ComputeExtraAttemptShare(double aShare, double aSlack, const FleetLoad& aLoad);

} // namespace ibisrock

#endif
