#ifndef IBISROCK_ADAPTERS_PROMETHEUS_METRICS_H
#define IBISROCK_ADAPTERS_PROMETHEUS_METRICS_H

#include "process/instance.h"
#include "process/metrics_sink.h"

#include <memory>
#include <string>

namespace ibisrock::adapters {

/// Keeps the metrics of one instance in a prometheus registry. Thread-safe.
class PrometheusMetrics : public MetricsSink
{
public:
  PrometheusMetrics();
  ~PrometheusMetrics() override;

  void OnAnswer(const ServiceName& aService, const Answer& aAnswer, Micros aTime) override;
  /// All metrics in the text format of prometheus, with the present state of aInstance.
  std::string Text(const Instance& aInstance);

private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

} // namespace ibisrock::adapters

#endif
