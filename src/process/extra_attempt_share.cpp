#include "process/extra_attempt_share.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Fraction of the shared bound on extra arrivals that the instances use. The rest allows for requests that an instance
/// counts earlier or later than the targets do.
constexpr double kShareFactor = 0.85;
/// Fraction of the fixed part of that bound that the instances may hold as saved tokens. In any window an instance
/// sends at most its saved tokens plus those earned in the window.
constexpr double kSavedFactor = 0.75;
/// Tokens that an instance may save in the first window: what one extra attempt takes.
constexpr double kMaxTokensAtStart = 1;
/// Fraction of the fixed part that is earned by use. The rest covers instances that restart with a full budget and
/// rates that are reported late.
constexpr double kByUseFactor = 0.2;
/// Below this many tokens for each request the part by use is not worth its margin.
constexpr double kMinByUse = 0.1;
/// Bound on the tokens earned by a request, because a reported rate may be far too low.
constexpr double kMaxPerAttempt = 0.6;
/// Fraction of the earned tokens that hedges use when every attempt beyond the quantile is hedged. The rest is for
/// retries and for times at which more attempts are slow than usual.
constexpr double kHedgeFactor = 0.5;
/// Limits of the quantile. Above the upper one a hedge comes too late; below the lower one half of the attempts would
/// be sent twice.
constexpr double kMinHedgeQuantile = 0.7;
constexpr double kMaxHedgeQuantile = 0.92;

/// Tokens by use for each request. The fleet's rate may be reported too low, for example while relays restart. It is
/// taken to be no lower than if all instances got as many requests as this one, and higher than reported while this
/// instance gets more than usual.
double
TokensByUse(double aSlack, const FleetLoad& aLoad)
{
  if (aLoad.fleetRate_.value_ <= 0) {
    return 0;
  }
  const double rate = std::max(aLoad.fleetRate_.value_, aLoad.ownRate_.value_ * static_cast<double>(aLoad.instances_));
  const double inWindow = rate * std::chrono::duration<double>(kExtraAttemptWindow).count();
  const double growth =
    aLoad.ownUsualRate_.value_ > 0 ? std::max(1.0, aLoad.ownRate_.value_ / aLoad.ownUsualRate_.value_) : 1.0;
  const double tokens = kByUseFactor * aSlack / (inWindow * growth);
  return tokens < kMinByUse ? 0 : tokens;
}

} // namespace

ExtraAttemptShare
ComputeExtraAttemptShare(double aShare, double aSlack, const FleetLoad& aLoad)
{
  ExtraAttemptShare share;
  const double byRequests = kShareFactor * aShare;
  share.perAttempt_ = std::max(byRequests, std::min(byRequests + TokensByUse(aSlack, aLoad), kMaxPerAttempt));
  share.maxTokens_ = kSavedFactor * aSlack / static_cast<double>(std::max<size_t>(aLoad.instances_, 1));
  share.initialTokens_ = aLoad.hasJustStarted_ ? 0 : share.maxTokens_;
  if (aLoad.hasJustStarted_) {
    share.maxTokens_ = std::min(share.maxTokens_, kMaxTokensAtStart);
  }
  share.hedgeQuantile_ = std::clamp(1 - kHedgeFactor * share.perAttempt_, kMinHedgeQuantile, kMaxHedgeQuantile);
  return share;
}

} // namespace ibisrock
