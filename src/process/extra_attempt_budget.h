#ifndef IBISROCK_PROCESS_EXTRA_ATTEMPT_BUDGET_H
#define IBISROCK_PROCESS_EXTRA_ATTEMPT_BUDGET_H

#include <algorithm>
#include <mutex>

namespace ibisrock {

/// Token budget for the hedges and retries of one service or pool. First attempts earn a share of a token each, so
/// extra load is bounded by the offered load and cannot amplify an overload. Thread-safe.
class ExtraAttemptBudget
{
public:
  /// Tokens earned by each first attempt.
  static constexpr double kShare = 0.05;
  /// Small, so that an idle period does not save up a burst of extra attempts for the start of an overload.
  static constexpr double kMaxTokens = 10;

  /// Each first attempt earns aShare tokens; at most aMaxTokens are saved. The budget starts full.
  explicit ExtraAttemptBudget(double aShare = kShare, double aMaxTokens = kMaxTokens)
    : ExtraAttemptBudget(aShare, aMaxTokens, aMaxTokens)
  {
  }
  ExtraAttemptBudget(double aShare, double aMaxTokens, double aInitialTokens)
    : share_(aShare)
    , maxTokens_(aMaxTokens)
    , tokens_(aInitialTokens)
  {
  }

  /// Largest number of saved tokens.
  double MaxTokens() const { return maxTokens_; }

  /// Changes the bounds, for example when the number of instances that share them changes. Saved tokens above the new
  /// bound are lost.
  void SetBounds(double aShare, double aMaxTokens)
  {
    std::lock_guard lock(mutex_);
    share_ = aShare;
    maxTokens_ = aMaxTokens;
    tokens_ = std::min(maxTokens_, tokens_);
  }

  void Fill()
  {
    std::lock_guard lock(mutex_);
    tokens_ = maxTokens_;
  }

  void OnFirstAttempt()
  {
    std::lock_guard lock(mutex_);
    tokens_ = std::min(maxTokens_, tokens_ + share_);
  }

  /// Takes one token for a hedge or retry if at least aReserve tokens remain afterwards; returns false otherwise.
  bool TryTake(double aReserve = 0)
  {
    std::lock_guard lock(mutex_);
    if (tokens_ < 1 + aReserve) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  /// Returns the token of an attempt that was not started.
  void Refund()
  {
    std::lock_guard lock(mutex_);
    tokens_ = std::min(maxTokens_, tokens_ + 1);
  }

private:
  std::mutex mutex_;
  double share_;
  double maxTokens_;
  double tokens_;
};

} // namespace ibisrock

#endif
