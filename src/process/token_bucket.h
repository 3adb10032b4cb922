#ifndef IBISROCK_PROCESS_TOKEN_BUCKET_H
#define IBISROCK_PROCESS_TOKEN_BUCKET_H

#include "base/units.h"

#include <algorithm>

namespace ibisrock {

/// Token bucket rate limiter. Not thread-safe.
class TokenBucket
{
public:
  /// aBurst is the capacity of the bucket in tokens. It is raised to 1 if lower, because a bucket that never holds a
  /// whole token would admit nothing.
  TokenBucket(PerSecond aRate, double aBurst, TimePoint aNow)
    : rate_(aRate)
    , burst_(std::max(aBurst, 1.0))
    , tokens_(burst_)
    , refilledAt_(aNow)
  {
  }

  /// Changes the rate and the capacity. Accumulated tokens are kept up to the new capacity.
  void SetRate(PerSecond aRate, double aBurst, TimePoint aNow)
  {
    Refill(aNow);
    rate_ = aRate;
    burst_ = std::max(aBurst, 1.0);
    tokens_ = std::min(tokens_, burst_);
  }

  bool TryTake(TimePoint aNow)
  {
    Refill(aNow);
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  /// Returns a token that was taken for work that was not done.
  void ReturnToken() { tokens_ = std::min(burst_, tokens_ + 1.0); }

  /// Time until a token is available; zero when one is available now or the rate is zero.
  Micros TimeToNextToken() const
  {
    if (tokens_ >= 1.0 || rate_.value_ <= 0) {
      return Micros::zero();
    }
    return Micros(static_cast<int64_t>((1.0 - tokens_) / rate_.value_ * 1e6));
  }

private:
  void Refill(TimePoint aNow)
  {
    const double seconds = std::chrono::duration<double>(aNow - refilledAt_).count();
    tokens_ = std::min(burst_, tokens_ + std::max(seconds, 0.0) * rate_.value_);
    refilledAt_ = aNow;
  }

  PerSecond rate_;
  double burst_;
  double tokens_;
  TimePoint refilledAt_;
};

} // namespace ibisrock

#endif
