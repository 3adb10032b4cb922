#ifndef IBISROCK_ADAPTERS_HTTP_TARGET_CLIENT_H
#define IBISROCK_ADAPTERS_HTTP_TARGET_CLIENT_H

#include "adapters/http_caller.h"
#include "adapters/worker_pool.h"
#include "base/target_client.h"

#include <map>
#include <mutex>

namespace ibisrock::adapters {

/// Sends attempts to targets over HTTP, one thread for each attempt in flight.
class HttpTargetClient final : public TargetClient
{
public:
  explicit HttpTargetClient(unsigned aThreads)
    : workers_(aThreads)
  {
  }

  void Start(const TargetAttempt& aAttempt, Callback aCallback) override;
  void Cancel(const AttemptId& aId) override;
  void Probe(const TargetName& aTarget, const TargetAddress& aAddress, Callback aCallback) override;

private:
  TargetReply Run(const TargetAttempt& aAttempt);

  HttpCaller caller_;
  std::mutex mutex_;
  std::map<AttemptId, TargetAddress> running_;
  WorkerPool workers_;
};

/// Turns the outcome of a call into a reply. Only a reply with the target's not-run header gives Verdict::NotRun once
/// the request was sent.
TargetReply
ToTargetReply(const HttpOutcome& aOutcome);

} // namespace ibisrock::adapters

#endif
