#ifndef IBISROCK_PROCESS_INSTANCE_H
#define IBISROCK_PROCESS_INSTANCE_H

#include "base/last_reason.h"
#include "connection/message_delay_estimator.h"
#include "process/active_config.h"
#include "process/answer_log.h"
#include "process/attempt_router.h"
#include "process/catalogue_table.h"
#include "process/coordinator.h"
#include "process/crash_guard.h"
#include "process/dispatcher_table.h"
#include "process/gossip.h"
#include "process/membership.h"
#include "process/object_sync.h"
#include "process/prober.h"
#include "process/target_poller.h"
#include "process/target_states.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ibisrock {

/// One instance of the query tier. It does no I/O itself: a program that embeds the library creates an instance, passes
/// it messages from peers and queries from callers, and drives its timer service. Thread-safe.
class Instance
{
public:
  /// Returns no value if the identity has no id or no address.
  static std::optional<std::unique_ptr<Instance>> Create(InstanceIdentity aSelf,
                                                         Environment aEnvironment,
                                                         LastReason& aReason,
                                                         const RunTuning& aTuning = {});

  /// Starts to probe peers, to read the instance list and the configuration, and to poll targets.
  void Start();
  /// Answers a caller's query.
  void Submit(Query aQuery, AnswerCallback aCallback);
  /// Handles one encoded message from a peer. A malformed message is dropped.
  void Receive(std::string_view aBytes);
  /// Starts a graceful shutdown: from now on this instance owns no targets and reports that it is not ready.
  void BeginLeave();
  /// True if no query and no attempt on an owned target is in flight.
  bool IsIdle() const;
  /// True if the instance may receive queries. Otherwise aReason is set to the cause.
  bool IsReady(LastReason& aReason) const;
  /// True once a graceful shutdown has started.
  bool IsLeaving() const { return leaving_; }
  /// Number of queries that have not been answered yet.
  uint64_t QueriesInFlight() const { return coordinator_.InFlight(); }
  /// Version of the active configuration; empty before the first one.
  ConfigVersion ActiveConfigVersion() const;
  /// State shared by the runs of each service, with their counters.
  ServiceTable& Services() { return services_; }
  const ServiceTable& Services() const { return services_; }
  /// The active configuration; null before the first one.
  std::shared_ptr<const Configuration> CurrentConfiguration() const { return config_.Current(); }
  const CatalogueTable& Catalogues() const { return catalogues_; }
  SyncCounters ConfigCounters() const { return sync_.Counters(); }
  /// Returns the state of all components as JSON.
  std::string DumpState() const;

private:
  Instance(InstanceIdentity aSelf, Environment aEnvironment, const RunTuning& aTuning);

  void OnSubRequest(const wire::Envelope& aEnvelope, const wire::SubRequest& aRequest, Micros aDelay);
  bool SendToPeerAddress(const PeerAddress& aPeer, wire::Body aBody);

  const InstanceIdentity self_;
  Environment environment_;
  Membership membership_;
  Gossip gossip_;
  Prober prober_;
  MessageDelayEstimator messageDelayEstimator_;
  ObjectSync sync_;
  ActiveConfig config_;
  CatalogueTable catalogues_;
  TargetStates targetStates_;
  CrashGuard crashGuard_;
  TargetPoller targetPoller_;
  DispatcherTable dispatchers_;
  AttemptRouter router_;
  Coordinator coordinator_;
  ServiceTable& services_;
  AnswerLog answerLog_;
  ComponentLog log_;
  std::atomic<bool> leaving_{ false };
};

} // namespace ibisrock

#endif
