#ifndef IBISROCK_PROCESS_EXTRA_ATTEMPT_BUDGET_H
#define IBISROCK_PROCESS_EXTRA_ATTEMPT_BUDGET_H

#include <algorithm>
#include <mutex>

namespace ibisrock {

/// Tokens for the hedges and retries of one service, earned as a share of its first attempts. Extra load is thereby
/// bounded by the real load and cannot amplify an overload. Thread-safe.
class ExtraAttemptBudget
{
public:
  /// Tokens earned by one first attempt.
  static constexpr double kShare = 0.05;
  /// Small, so that a quiet time saves up no burst of extra attempts for the start of an overload.
  static constexpr double kMaxTokens = 10;

  /// aShare is earned by each first attempt; no more than aMaxTokens are saved up.
  explicit ExtraAttemptBudget(double aShare = kShare, double aMaxTokens = kMaxTokens)
    : share_(aShare)
    , maxTokens_(aMaxTokens)
    , tokens_(aMaxTokens)
  {
  }

  /// Largest number of saved tokens.
  double MaxTokens() const { return maxTokens_; }

  /// Changes the bounds from now on, for example when the number of instances that share them changes.
  void SetBounds(double aShare, double aMaxTokens)
  {
    std::lock_guard lock(mutex_);
    share_ = aShare;
    maxTokens_ = aMaxTokens;
    tokens_ = std::min(maxTokens_, tokens_);
  }

  void OnFirstAttempt()
  {
    std::lock_guard lock(mutex_);
    tokens_ = std::min(maxTokens_, tokens_ + share_);
  }

  /// Takes the token of one hedge or retry if at least aKept tokens remain. Returns false when there are too few.
  bool TryTake(double aKept = 0)
  {
    std::lock_guard lock(mutex_);
    if (tokens_ < 1 + aKept) {
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
