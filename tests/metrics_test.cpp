#include "adapters/prometheus_metrics.h"
#include "fakes/fake_cluster.h"

#include <gtest/gtest.h>

namespace ibisrock::adapters {
namespace {

struct MetricsCase
{
  const char* name_;
  Reason reason_;
  unsigned covered_;
  unsigned missing_;
  unsigned attempts_;
  /// Line that the metrics output must contain.
  const char* line_;
};

class AnswerMetrics : public testing::TestWithParam<MetricsCase>
{};

// Guards against metrics that show a wrong refusal reason or shard coverage for an answer.
TEST_P(AnswerMetrics, MatchAnswer)
{
  const MetricsCase& param = GetParam();
  Answer answer;
  answer.reason_ = param.reason_;
  answer.verdict_ = param.covered_ > 0 ? Verdict::Ran : Verdict::NotRun;
  answer.attempts_ = param.attempts_;
  for (unsigned shard = 0; shard < param.covered_ + param.missing_; shard++) {
    const ShardName name("s" + std::to_string(shard));
    if (shard < param.covered_) {
      answer.covered_.insert(name);
    } else {
      answer.missing_[name] = Reason::TimedOut;
    }
  }
  PrometheusMetrics metrics;
  metrics.OnAnswer(ServiceName("dockdesk"), answer, Millis(30));
  fakes::FakeCluster cluster(fakes::ClusterShape{}, 1);
  cluster.Start();
  const std::string text = metrics.Text(cluster.At(0));
  EXPECT_NE(text.find(param.line_), std::string::npos) << text;
}

INSTANTIATE_TEST_SUITE_P(
  Lines,
  AnswerMetrics,
  testing::Values(
    MetricsCase{ "Latency",
                 Reason::None,
                 2,
                 0,
                 2,
                 "ibisrock_query_seconds_bucket{service=\"dockdesk\",le=\"0.035\"} 1" },
    MetricsCase{ "Covered", Reason::None, 2, 1, 3, "ibisrock_shards_total{service=\"dockdesk\",state=\"covered\"} 2" },
    MetricsCase{ "Missing", Reason::None, 2, 1, 3, "ibisrock_shards_total{service=\"dockdesk\",state=\"missing\"} 1" },
    MetricsCase{ "Extra", Reason::None, 2, 0, 5, "ibisrock_extra_attempts_total{service=\"dockdesk\"} 3" },
    MetricsCase{ "NoExtra", Reason::NoReplica, 0, 2, 1, "ibisrock_extra_attempts_total{service=\"dockdesk\"} 0" },
    MetricsCase{ "Verdict", Reason::None, 1, 0, 1, "ibisrock_answers_total{service=\"dockdesk\",verdict=\"ran\"} 1" },
    MetricsCase{ "Refusal",
                 Reason::OverLimit,
                 0,
                 0,
                 0,
                 "ibisrock_refusals_total{reason=\"over-limit\",service=\"dockdesk\"} 1" },
    MetricsCase{ "UnknownService",
                 Reason::UnknownService,
                 0,
                 0,
                 0,
                 "ibisrock_refusals_total{reason=\"unknown-service\",service=\"unknown\"} 1" },
    MetricsCase{ "Ready", Reason::None, 1, 0, 1, "ibisrock_ready 1" },
    MetricsCase{ "Version", Reason::None, 1, 0, 1, "ibisrock_config_version 1" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against run counters that are missing from the output, or that increase each time they are read.
TEST(RunMetrics, ShowTotalsPerService)
{
  fakes::FakeCluster cluster(fakes::ClusterShape{}, 1);
  cluster.Start();
  cluster.Ask(0, fakes::FakeCluster::MakeQuery("a"));
  PrometheusMetrics metrics;
  metrics.Text(cluster.At(0));
  const auto attempts = cluster.At(0).Services().Get(ServiceName(fakes::kClusterService)).counters_.attempts_.load();
  EXPECT_GE(attempts, 20U);
  const std::string line =
    "ibisrock_run_events_total{kind=\"attempts\",service=\"dockdesk\"} " + std::to_string(attempts) + "\n";
  const std::string text = metrics.Text(cluster.At(0));
  EXPECT_NE(text.find(line), std::string::npos) << text;
}

} // namespace
} // namespace ibisrock::adapters
