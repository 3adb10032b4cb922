#include "entry/entry_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ibisrock::entry {

namespace {

/// Bucket bounds in seconds, from the fastest forwarded request to the longest route timeout.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets{ 0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1,
                                                               0.15,  0.2,  0.4,  0.6,  1,    2,    5,    10 };

double
ToSeconds(Micros aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

class EntryMetrics::Impl
{
public:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_ =
    prometheus::BuildCounter().Name("ibisrock_requests_total").Help("Requests answered, by status").Register(registry_);
  prometheus::Family<prometheus::Counter>& refused_ = prometheus::BuildCounter()
                                                        .Name("ibisrock_refused_total")
                                                        .Help("Requests refused before a target was asked, by reason")
                                                        .Register(registry_);
  prometheus::Family<prometheus::Counter>& failedAttempts_ = prometheus::BuildCounter()
                                                               .Name("ibisrock_failed_attempts_total")
                                                               .Help("Attempts without a usable reply, by reason")
                                                               .Register(registry_);
  prometheus::Family<prometheus::Counter>& notices_ =
    prometheus::BuildCounter()
      .Name("ibisrock_target_notices_total")
      .Help("Answers in which a target said that it leaves, or asked for a pause")
      .Register(registry_);
  prometheus::Counter& callersLeft_ = AddCounter("ibisrock_callers_left_total", "Callers that left before the answer");
  prometheus::Counter& abandonedWaits_ =
    AddCounter("ibisrock_hopeless_waits_total", "Requests ended because they would not find room in time");
  prometheus::Counter& attempts_ = AddCounter("ibisrock_attempts_total", "Attempts at targets");
  prometheus::Counter& extraAttempts_ =
    AddCounter("ibisrock_extra_attempts_total", "Attempts beyond the first of a request or shard");
  prometheus::Counter& missingShards_ =
    AddCounter("ibisrock_missing_shards_total", "Shards left out of gathered answers");
  prometheus::Histogram& forwardedLatency_ = AddHistogram("relayed");
  prometheus::Histogram& gatheredLatency_ = AddHistogram("gathered");

  void SetGauge(const char* aName, const char* aHelp, double aValue)
  {
    prometheus::BuildGauge().Name(aName).Help(aHelp).Register(registry_).Add({}).Set(aValue);
  }

private:
  prometheus::Counter& AddCounter(const char* aName, const char* aHelp)
  {
    return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(registry_).Add({});
  }

  prometheus::Histogram& AddHistogram(const char* aKind)
  {
    return prometheus::BuildHistogram()
      .Name("ibisrock_answer_seconds")
      .Help("Time from a request to its answer, by kind of route")
      .Register(registry_)
      .Add({ { "kind", aKind } }, kLatencyBuckets);
  }
};

EntryMetrics::EntryMetrics()
  : impl_(std::make_unique<Impl>())
{
}

EntryMetrics::~EntryMetrics() = default;

void
EntryMetrics::OnRefused(const CallerRequest&, unsigned aStatus, Reason aReason, ConfigVersion)
{
  impl_->requests_.Add({ { "status", std::to_string(aStatus) } }).Increment();
  impl_->refused_.Add({ { "reason", std::string(ToString(aReason)) } }).Increment();
}

void
EntryMetrics::OnRunEnded(const CallerRequest&,
                         const Route& aRoute,
                         ConfigVersion,
                         const RunResult& aEnd,
                         Micros aDuration)
{
  impl_->requests_.Add({ { "status", std::to_string(aEnd.reply_.status_) } }).Increment();
  impl_->attempts_.Increment(static_cast<double>(aEnd.attempts_));
  impl_->extraAttempts_.Increment(static_cast<double>(aEnd.extraAttempts_));
  impl_->missingShards_.Increment(static_cast<double>(aEnd.reply_.missingShards_));
  (aRoute.gather_ ? impl_->gatheredLatency_ : impl_->forwardedLatency_).Observe(ToSeconds(aDuration));
}

void
EntryMetrics::OnAbandonedWait(const AbandonedWait&)
{
  impl_->abandonedWaits_.Increment();
}

void
EntryMetrics::OnAttemptFailed(const FailedAttempt& aAttempt)
{
  impl_->failedAttempts_.Add({ { "reason", std::string(ToString(aAttempt.reason_)) } }).Increment();
}

void
EntryMetrics::OnNotice(const TargetCall&, const TargetNotice& aNotice)
{
  if (aNotice.isLeaving_) {
    impl_->notices_.Add({ { "kind", "leaving" } }).Increment();
  }
  if (aNotice.pause_) {
    impl_->notices_.Add({ { "kind", "pause" } }).Increment();
  }
}

void
EntryMetrics::OnCallerLeft(const CallerRequest&, const Route&, Micros)
{
  impl_->callersLeft_.Increment();
}

std::string
EntryMetrics::Serialize(const EntryState& aState)
{
  const auto toDouble = [](auto aValue) { return static_cast<double>(aValue); };
  impl_->SetGauge("ibisrock_config_version", "Configuration in force", toDouble(aState.configVersion_));
  impl_->SetGauge("ibisrock_targets", "Targets known", toDouble(aState.targets_));
  impl_->SetGauge("ibisrock_instances", "Instances that share the targets", toDouble(aState.instances_));
  impl_->SetGauge("ibisrock_requests_in_flight", "Requests without an answer", toDouble(aState.requestsInFlight_));
  impl_->SetGauge("ibisrock_connections_opened", "Connections opened to targets", toDouble(aState.connectionsOpened_));
  impl_->SetGauge("ibisrock_store_calls", "Calls to the platform's store", toDouble(aState.storeCalls_));
  impl_->SetGauge("ibisrock_store_in_contact",
                  "1 while changes are received from the store or from a relay",
                  toDouble(aState.storeInContact_));
  impl_->SetGauge(
    "ibisrock_relay", "1 while this instance watches the store and others may use it", toDouble(aState.isRelay_));
  impl_->SetGauge("ibisrock_relay_subscribers",
                  "Instances that use this one as their relay",
                  static_cast<double>(aState.relaySubscribers_));
  impl_->SetGauge("ibisrock_uptime_seconds", "Time since the start of the process", ToSeconds(aState.uptime_));
  impl_->SetGauge("ibisrock_configuration_age_seconds",
                  "Time since the source of changes last confirmed the configuration",
                  ToSeconds(aState.configurationAge_));
  impl_->SetGauge("ibisrock_targets_age_seconds",
                  "Time since the source of changes last confirmed the targets",
                  ToSeconds(aState.targetsAge_));
  impl_->SetGauge("ibisrock_store_era",
                  "Newest era of the store: it rises each time the store returns from an older copy",
                  toDouble(aState.storeEra_));
  impl_->SetGauge("ibisrock_configuration_revision",
                  "Revision of the store up to which all changes of the configuration are known",
                  toDouble(aState.configurationRevision_));
  impl_->SetGauge("ibisrock_targets_revision",
                  "Revision of the store up to which all changes of the targets are known",
                  toDouble(aState.targetsRevision_));
  impl_->SetGauge("ibisrock_answers_behind",
                  "Answers of the source that were not taken because they are older than what is known",
                  toDouble(aState.answersBehind_));
  impl_->SetGauge("ibisrock_answers_disregarded",
                  "Answers of an older era of the store, or without a readable one once an era is known",
                  toDouble(aState.answersDisregarded_));
  impl_->SetGauge("ibisrock_entries_held_back",
                  "Entries of targets that are older than what was known before the store's return",
                  toDouble(aState.entriesHeldBack_));
  impl_->SetGauge("ibisrock_registrations_rewritten",
                  "Times that this relay wrote its registration again after the store's return from an older copy",
                  toDouble(aState.registrationsRewritten_));
  impl_->SetGauge("ibisrock_extra_attempts_earned",
                  "Extra attempts at a pool that each first attempt there allows this instance",
                  aState.extraAttemptsEarned_);
  impl_->SetGauge("ibisrock_extra_attempts_saved_max",
                  "Extra attempts at a pool that this instance may save up",
                  aState.extraAttemptsSaved_);
  impl_->SetGauge("ibisrock_crash_suspects",
                  "Requests that have crashed targets and have not been answered since",
                  toDouble(aState.crashSuspects_));
  impl_->SetGauge("ibisrock_ready", "1 while the instance is ready", toDouble(aState.isReady_));
  return prometheus::TextSerializer().Serialize(impl_->registry_.Collect());
}

} // namespace ibisrock::entry
