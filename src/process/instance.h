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

/// One instance of the query tier: all its parts, without I/O of its own. A program that embeds the library makes one,
/// gives it what arrives from peers and callers, and drives its timer service. Thread-safe.
class Instance
{
public:
  /// Returns no value when the identity has no id or no address.
  static std::optional<std::unique_ptr<Instance>> Create(InstanceIdentity aSelf,
                                                         Environment aEnvironment,
                                                         LastReason& aReason,
                                                         const RunTuning& aTuning = {});

  /// Begins to read the configuration and the instance list.
  void Start();
  /// Answers a caller's query.
  void Submit(Query aQuery, AnswerCallback aCallback);
  /// Handles one message from a peer. A malformed message is dropped.
  void Receive(std::string_view aBytes);
  /// Begins a planned stop: this instance owns nothing from now on and reports that it is not ready.
  void BeginLeave();
  /// True when no query and no owned attempt is in flight.
  bool IsIdle() const;
  /// True when callers may be sent here. Otherwise aReason says why not.
  bool IsReady(LastReason& aReason) const;
  /// True once a planned stop has begun.
  bool IsLeaving() const { return leaving_; }
  /// Queries that have not been answered yet.
  uint64_t QueriesInFlight() const { return coordinator_.InFlight(); }
  /// Version of the configuration in force; none before the first.
  ConfigVersion ActiveConfigVersion() const;
  /// What the runs of each service share, with their counters.
  ServiceTable& Services() { return services_; }
  const ServiceTable& Services() const { return services_; }
  /// The configuration in force; null before the first one.
  std::shared_ptr<const Configuration> CurrentConfiguration() const { return config_.Current(); }
  const CatalogueTable& Catalogues() const { return catalogues_; }
  SyncCounters ConfigCounters() const { return sync_.Counters(); }
  /// State of every part as JSON.
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
  MessageDelayEstimator peerClock_;
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
