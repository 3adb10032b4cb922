#ifndef IBISROCK_PROCESS_COORDINATOR_H
#define IBISROCK_PROCESS_COORDINATOR_H

#include "process/config_keeper.h"
#include "process/environment.h"
#include "process/service_table.h"
#include "request/query_run.h"

#include <atomic>

namespace ibisrock {

/// Takes queries from callers, admits or refuses them and starts their runs. Thread-safe.
class Coordinator
{
public:
  Coordinator(InstanceIdentity aSelf,
              Environment aEnvironment,
              const ConfigKeeper& aConfig,
              AttemptSender& aSender,
              const RunTuning& aTuning);

  /// Answers or refuses the query. aCallback is called exactly once, at the latest shortly after the deadline.
  void Submit(Query aQuery, AnswerCallback aCallback);
  /// Queries that have not been answered yet.
  uint64_t InFlight() const { return inFlight_.load(); }
  /// What the runs of each service share, with their counters.
  ServiceTable& Services() { return services_; }

private:
  /// Wraps the callback so that every answer and refusal is counted.
  AnswerCallback Counted(const ServiceName& aService, AnswerCallback aCallback) const;

  const InstanceIdentity self_;
  Environment environment_;
  const ConfigKeeper& config_;
  AttemptSender& sender_;
  ServiceTable services_;
  SheetVersionSource versions_;
  NullCrashObserver crashes_;
  std::atomic<uint64_t> lastSequence_{ 0 };
  std::atomic<uint64_t> inFlight_{ 0 };
};

} // namespace ibisrock

#endif
