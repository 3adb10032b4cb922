#ifndef IBISROCK_REQUEST_GATHER_RUN_H
#define IBISROCK_REQUEST_GATHER_RUN_H

#include "request/routed_run.h"

namespace ibisrock {

/// A scatter-gather request: one target of each shard returns a partial answer. All shards are from one version of the
/// configuration.
class GatherRun final : public RoutedRun
{
public:
  GatherRun(const Plan& aPlan, EndCallback aOnEnd);

  void Start() override;

private:
  void OnPoolCallEnded(size_t aIndex) override;
  void OnHedgeDelay() override;
  void OnCutoff() override;
  void OnDeadline() override;
  std::vector<std::unique_ptr<PoolCall>>& Calls() override { return calls_; }

  size_t NeededCalls() const override;
  bool MeetsCoverage(size_t aShards) const;
  void StartCalls(size_t aCount);
  void EndIfSettled();
  void EndWithParts();
  void EndWithFailure(Reason aReason);

  std::vector<std::unique_ptr<PoolCall>> calls_;
  size_t covered_ = 0;
  size_t pending_ = 0;
  /// Calls that have been started or given up.
  size_t next_ = 0;
  bool started_ = false;
};

} // namespace ibisrock

#endif
