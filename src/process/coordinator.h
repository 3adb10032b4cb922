#ifndef IBISROCK_PROCESS_COORDINATOR_H
#define IBISROCK_PROCESS_COORDINATOR_H

#include "process/active_config.h"
#include "process/admission.h"
#include "process/crash_guard.h"
#include "process/crash_reporter.h"
#include "process/environment.h"
#include "process/idempotency.h"
#include "process/membership.h"
#include "process/service_table.h"
#include "process/version_selector.h"
#include "request/query_run.h"

#include <atomic>
#include <memory>
#include <optional>

namespace ibisrock {

/// Components of the instance that the coordinator uses. They must outlive it.
struct CoordinatorDependencies
{
  const ActiveConfig& config_;
  const Membership& membership_;
  const CatalogueTable& catalogues_;
  const TargetStates& targets_;
  CrashGuard& crashGuard_;
  AttemptSender& sender_;
};

/// Entry point for queries: applies admission control, the crash guard and idempotency keys, then runs the query.
/// Thread-safe.
class Coordinator
{
public:
  Coordinator(InstanceIdentity aSelf,
              Environment aEnvironment,
              CoordinatorDependencies aDependencies,
              const RunTuning& aTuning);

  /// Runs or rejects the query. Calls aCallback exactly once, at the latest shortly after the deadline.
  void Submit(Query aQuery, AnswerCallback aCallback);
  /// Number of unanswered queries plus outcomes of keyed queries that are not yet in the object store.
  uint64_t InFlight() const { return inFlight_.load() + idempotency_.PendingOutcomes(); }
  /// Per-service state shared by the runs, with their counters.
  ServiceTable& Services() { return services_; }
  const AdmissionController& AdmissionControl() const { return admission_; }
  const KeyCounters& IdempotencyCounters() const { return idempotency_.Counters(); }

private:
  /// One admitted query.
  struct AdmittedQuery
  {
    RequestId id_;
    Query query_;
    std::shared_ptr<const ServiceConfig> service_;
    ConfigVersion config_;
    TimePoint deadline_;
    unsigned inFlight_ = 0;
    bool canaryFirst_ = false;
    std::optional<KeyClaim> claim_;
    AnswerCallback callback_;
  };
  using AdmittedQueryPtr = std::shared_ptr<AdmittedQuery>;

  /// Wraps the callback so that each answer or refusal is recorded in the metrics.
  AnswerCallback WithMetrics(const ServiceName& aService, AnswerCallback aCallback) const;
  /// Updates this instance's shares of the limits and of the store's write rate when the membership has changed.
  void UpdateInstanceShares();
  std::optional<Answer> Admit(const AdmittedQueryPtr& aAdmitted);
  void ClaimKey(const AdmittedQueryPtr& aAdmitted);
  /// False when hedging is disabled or the service is overloaded, because hedges add load.
  bool IsHedgingAllowed(const ServiceName& aService) const;
  void StartRun(const AdmittedQueryPtr& aAdmitted);
  void Finish(const AdmittedQueryPtr& aAdmitted, Answer aAnswer);

  const InstanceIdentity self_;
  Environment environment_;
  const CoordinatorDependencies dependencies_;
  ServiceTable services_;
  VersionSelector versions_;
  CrashReporter crashes_;
  AdmissionController admission_;
  IdempotencyManager idempotency_;
  std::atomic<uint64_t> membershipEpoch_{ 0 };
  std::atomic<uint64_t> lastSequence_{ 0 };
  std::atomic<uint64_t> inFlight_{ 0 };
};

} // namespace ibisrock

#endif
