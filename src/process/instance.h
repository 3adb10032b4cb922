#ifndef IBISROCK_PROCESS_INSTANCE_H
#define IBISROCK_PROCESS_INSTANCE_H

#include "base/last_reason.h"
#include "process/attempt_router.h"
#include "process/catalogue_keeper.h"
#include "process/config_keeper.h"
#include "process/coordinator.h"
#include "process/dispatcher_table.h"
#include "process/gossip.h"
#include "process/membership.h"
#include "process/object_sync.h"

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
                                                         LastReason& aReason);

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
  /// The configuration in force; null before the first one.
  std::shared_ptr<const Configuration> CurrentConfiguration() const { return config_.Current(); }
  const CatalogueKeeper& Catalogues() const { return catalogues_; }
  SyncCounters ConfigCounters() const { return sync_.Counters(); }
  /// State of every part as JSON.
  std::string DumpState() const;

private:
  Instance(InstanceIdentity aSelf, Environment aEnvironment);

  bool SendToPeerAddress(const PeerAddress& aPeer, wire::Body aBody);

  const InstanceIdentity self_;
  Environment environment_;
  Membership membership_;
  Gossip gossip_;
  ObjectSync sync_;
  ConfigKeeper config_;
  CatalogueKeeper catalogues_;
  DispatcherTable dispatchers_;
  AttemptRouter router_;
  Coordinator coordinator_;
  std::atomic<bool> leaving_{ false };
};

} // namespace ibisrock

#endif
