#ifndef IBISROCK_REQUEST_RELAY_RUN_H
#define IBISROCK_REQUEST_RELAY_RUN_H

#include "request/routed_run.h"

namespace ibisrock {

/// A request that is answered by one target of one pool. The target's reply is passed to the caller unchanged.
class RelayRun final : public RoutedRun
{
public:
  RelayRun(const Plan& aPlan, EndCallback aOnEnd);

  void Start() override;

private:
  void OnPoolCallEnded(size_t aIndex) override;
  void OnHedgeDelay() override;
  void OnCutoff() override { EndLateRunIfDeadlineUnreachable(); }
  size_t NeededCalls() const override { return 1; }
  void OnDeadline() override;
  std::vector<std::unique_ptr<PoolCall>>& Calls() override { return calls_; }

  PoolCall& Call() { return *calls_.front(); }
  void EndWithCall();

  std::vector<std::unique_ptr<PoolCall>> calls_;
};

} // namespace ibisrock

#endif
