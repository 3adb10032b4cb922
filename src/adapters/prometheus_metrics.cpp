#include "adapters/prometheus_metrics.h"

#include <algorithm>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ibisrock::adapters {

namespace {

using Counters = prometheus::Family<prometheus::Counter>;
using Gauges = prometheus::Family<prometheus::Gauge>;
using Histograms = prometheus::Family<prometheus::Histogram>;

/// Seconds. Finer around the deadlines and the p99 of 51 ms that the expected size asks for.
const prometheus::Histogram::BucketBoundaries kLatencyBounds{ 0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.051,
                                                              0.075, 0.1,   0.15,  0.25, 0.5,  1,     2.5 };

Counters&
AddCounters(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

prometheus::Gauge&
AddGauge(prometheus::Registry& aRegistry, const char* aName, const char* aHelp)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry).Add({});
}

/// Names that callers make up would each add a time series.
std::string
ServiceLabel(const ServiceName& aService, const Answer& aAnswer)
{
  const bool known = aAnswer.reason_ != Reason::UnknownService && aAnswer.reason_ != Reason::NotReady;
  return known ? aService.Value() : "unknown";
}

} // namespace

class PrometheusMetrics::Impl
{
public:
  void OnAnswer(const ServiceName& aService, const Answer& aAnswer, Micros aTime)
  {
    const std::string service = ServiceLabel(aService, aAnswer);
    const prometheus::Labels labels{ { "service", service } };
    const auto shards = aAnswer.covered_.size() + aAnswer.missing_.size();
    latency_.Add(labels, kLatencyBounds).Observe(std::chrono::duration<double>(aTime).count());
    answers_.Add({ { "service", service }, { "verdict", std::string(ToString(aAnswer.verdict_)) } }).Increment();
    shards_.Add({ { "service", service }, { "state", "covered" } })
      .Increment(static_cast<double>(aAnswer.covered_.size()));
    shards_.Add({ { "service", service }, { "state", "missing" } })
      .Increment(static_cast<double>(aAnswer.missing_.size()));
    attempts_.Add(labels).Increment(aAnswer.attempts_);
    extraAttempts_.Add(labels).Increment(aAnswer.attempts_ > shards ? static_cast<double>(aAnswer.attempts_ - shards)
                                                                    : 0);
    if (aAnswer.covered_.empty()) {
      refusals_.Add({ { "service", service }, { "reason", std::string(ToString(aAnswer.reason_)) } }).Increment();
    }
  }

  std::string Text(const Instance& aInstance)
  {
    LastReason reason;
    ExportRuns(aInstance.Services());
    configVersion_.Set(static_cast<double>(aInstance.ActiveConfigVersion().Value()));
    inFlight_.Set(static_cast<double>(aInstance.QueriesInFlight()));
    ready_.Set(aInstance.IsReady(reason) ? 1 : 0);
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

private:
  /// Raises each counter to the run's total. Texts are made one after another, so that no increment counts twice.
  void ExportRuns(const ServiceTable& aServices)
  {
    std::lock_guard lock(runsMutex_);
    for (const auto& [service, counters] : aServices.Counters()) {
      for (const RunCounterField& field : kRunCounterFields) {
        prometheus::Counter& counter = runs_.Add({ { "service", service.Value() }, { "kind", field.name_ } });
        const auto total = static_cast<double>((counters->*field.value_).load());
        counter.Increment(std::max(0.0, total - counter.Value()));
      }
    }
  }

  prometheus::Registry registry_;
  std::mutex runsMutex_;
  Histograms& latency_ = prometheus::BuildHistogram()
                           .Name("ibisrock_query_seconds")
                           .Help("Time from the submission of a query to its answer or refusal")
                           .Register(registry_);
  Counters& answers_ = AddCounters(registry_, "ibisrock_answers_total", "Answers and refusals by verdict");
  Counters& refusals_ = AddCounters(registry_, "ibisrock_refusals_total", "Queries without a covered shard by reason");
  Counters& shards_ = AddCounters(registry_, "ibisrock_shards_total", "Shards of answers, covered or missing");
  Counters& attempts_ = AddCounters(registry_, "ibisrock_attempts_total", "Attempts started");
  Counters& extraAttempts_ =
    AddCounters(registry_, "ibisrock_extra_attempts_total", "Attempts beyond one for each shard");
  Counters& runs_ = AddCounters(registry_,
                                "ibisrock_run_events_total",
                                "Attempts, hedges, retries, cancelled attempts and restarts of query runs");
  prometheus::Gauge& configVersion_ =
    AddGauge(registry_, "ibisrock_config_version", "Version of the configuration in force, 0 for none");
  prometheus::Gauge& inFlight_ = AddGauge(registry_, "ibisrock_queries_in_flight", "Queries not answered yet");
  prometheus::Gauge& ready_ = AddGauge(registry_, "ibisrock_ready", "1 when callers may be sent here");
};

PrometheusMetrics::PrometheusMetrics()
  : impl_(std::make_unique<Impl>())
{
}

PrometheusMetrics::~PrometheusMetrics() = default;

void
PrometheusMetrics::OnAnswer(const ServiceName& aService, const Answer& aAnswer, Micros aTime)
{
  impl_->OnAnswer(aService, aAnswer, aTime);
}

std::string
PrometheusMetrics::Text(const Instance& aInstance)
{
  return impl_->Text(aInstance);
}

} // namespace ibisrock::adapters
