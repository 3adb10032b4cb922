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

/// The parts of the instance that a coordinator uses. They outlive it.
struct CoordinatorParts
{
  const ActiveConfig& config_;
  const Membership& membership_;
  const CatalogueTable& catalogues_;
  const TargetStates& targets_;
  CrashGuard& crashGuard_;
  AttemptSender& sender_;
};

/// Takes queries from callers, admits or refuses them and starts their runs. Thread-safe.
class Coordinator
{
public:
  Coordinator(InstanceIdentity aSelf, Environment aEnvironment, CoordinatorParts aParts, const RunTuning& aTuning);

  /// Answers or refuses the query. aCallback is called exactly once, at the latest shortly after the deadline.
  void Submit(Query aQuery, AnswerCallback aCallback);
  /// Queries that have not been answered yet, and outcomes of keyed ones that are not yet in the store.
  uint64_t InFlight() const { return inFlight_.load() + keys_.Unrecorded(); }
  /// What the runs of each service share, with their counters.
  ServiceTable& Services() { return services_; }
  const AdmissionController& AdmissionControl() const { return admission_; }
  const KeyCounters& Keys() const { return keys_.Counters(); }

private:
  /// One admitted query.
  struct Admitted
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
  using AdmittedPtr = std::shared_ptr<Admitted>;

  /// Wraps the callback so that every answer and refusal is counted.
  AnswerCallback Counted(const ServiceName& aService, AnswerCallback aCallback) const;
  /// Divides the limits by the number of live instances when that has changed.
  void FollowMembership();
  std::optional<Answer> Admit(const AdmittedPtr& aAdmitted);
  void ClaimKey(const AdmittedPtr& aAdmitted);
  /// False during an overload, which hedges would feed.
  bool MayHedge(const ServiceName& aService) const;
  void StartRun(const AdmittedPtr& aAdmitted);
  void Finish(const AdmittedPtr& aAdmitted, Answer aAnswer);

  const InstanceIdentity self_;
  Environment environment_;
  const CoordinatorParts parts_;
  ServiceTable services_;
  VersionSelector versions_;
  CrashReporter crashes_;
  AdmissionController admission_;
  IdempotencyManager keys_;
  std::atomic<uint64_t> memberEpoch_{ 0 };
  std::atomic<uint64_t> lastSequence_{ 0 };
  std::atomic<uint64_t> inFlight_{ 0 };
};

} // namespace ibisrock

#endif
