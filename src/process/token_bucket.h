#ifndef IBISROCK_PROCESS_TOKEN_BUCKET_H
#define IBISROCK_PROCESS_TOKEN_BUCKET_H

#include "base/units.h"

#include <algorithm>

namespace ibisrock {

/// Limits a rate. Not thread-safe.
class TokenBucket
{
public:
  /// aBurst is the largest number of tokens that a quiet time saves up; at least 1, so that a low rate still passes.
  TokenBucket(PerSecond aRate, double aBurst, TimePoint aNow)
    : rate_(aRate)
    , burst_(std::max(aBurst, 1.0))
    , tokens_(burst_)
    , updatedAt_(aNow)
  {
  }

  /// Changes the rate from now on; tokens already earned stay, up to the new burst.
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

  /// Gives a token back that was taken for work that did not happen.
  void Return() { tokens_ = std::min(burst_, tokens_ + 1.0); }

  /// Time until the next token; zero when there is one.
  Micros UntilNext() const
  {
    if (tokens_ >= 1.0 || rate_.value_ <= 0) {
      return Micros::zero();
    }
    return Micros(static_cast<int64_t>((1.0 - tokens_) / rate_.value_ * 1e6));
  }

private:
  void Refill(TimePoint aNow)
  {
    const double seconds = std::chrono::duration<double>(aNow - updatedAt_).count();
    tokens_ = std::min(burst_, tokens_ + std::max(seconds, 0.0) * rate_.value_);
    updatedAt_ = aNow;
  }

  PerSecond rate_;
  double burst_;
  double tokens_;
  TimePoint updatedAt_;
};

} // namespace ibisrock

#endif
