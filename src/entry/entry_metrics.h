#ifndef IBISROCK_ENTRY_ENTRY_METRICS_H
#define IBISROCK_ENTRY_ENTRY_METRICS_H

#include "process/router_log.h"

#include <memory>
#include <string>

namespace ibisrock::entry {

/// Process state that is exported as gauges.
struct EntryState
{
  uint64_t configVersion_ = 0;
  size_t targets_ = 0;
  size_t instances_ = 0;
  size_t requestsInFlight_ = 0;
  uint64_t connectionsOpened_ = 0;
  uint64_t storeCalls_ = 0;
  bool storeInContact_ = false;
  /// Whether this instance watches the store and others may use it as their relay.
  bool isRelay_ = false;
  size_t relaySubscribers_ = 0;
  bool isReady_ = false;
  Micros uptime_{};
  /// Time since the source of changes last confirmed what is known.
  Micros configurationAge_{};
  Micros targetsAge_{};
  /// The newest era of the store, and the revisions up to which all changes are known.
  uint64_t storeEra_ = 0;
  uint64_t configurationRevision_ = 0;
  uint64_t targetsRevision_ = 0;
  /// Answers that were not taken: older than what is known, or of an older era or without one.
  uint64_t answersBehind_ = 0;
  uint64_t answersDisregarded_ = 0;
  /// Entries of targets that are held back since the store returned from an older copy.
  size_t entriesHeldBack_ = 0;
  /// Times that the registration was written again after such a return.
  uint64_t registrationsRewritten_ = 0;
  /// This instance's share of the extra attempts of each pool: earned by a first attempt, and saved at most.
  double extraAttemptsEarned_ = 0;
  double extraAttemptsSaved_ = 0;
  /// Requests that have crashed targets lately, as far as this instance knows.
  size_t crashSuspects_ = 0;
};

/// Counts router events in a Prometheus registry. Not thread-safe.
class EntryMetrics final : public RouterLog
{
public:
  EntryMetrics();
  ~EntryMetrics() override;

  void OnRefused(const CallerRequest& aRequest, unsigned aStatus, Reason aReason, ConfigVersion aRoutes) override;
  void OnRunEnded(const CallerRequest& aRequest,
                  const Route& aRoute,
                  ConfigVersion aRoutes,
                  const RunResult& aEnd,
                  Micros aDuration) override;
  void OnAbandonedWait(const AbandonedWait& aWait) override;
  void OnAttemptFailed(const FailedAttempt& aAttempt) override;
  void OnNotice(const TargetCall& aCall, const TargetNotice& aNotice) override;
  void OnCallerLeft(const CallerRequest& aRequest, const Route& aRoute, Micros aDuration) override;

  /// Returns all metrics in the Prometheus text format.
  std::string Serialize(const EntryState& aState);

private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

} // namespace ibisrock::entry

#endif
