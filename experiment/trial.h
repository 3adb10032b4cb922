#ifndef IBISROCK_EXPERIMENT_TRIAL_H
#define IBISROCK_EXPERIMENT_TRIAL_H

#include "fakes/fake_cluster.h"
#include "fakes/history_recorder.h"
#include "history/checker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibisrock::experiment {

class Trial;

/// One kind of faults, brought about by schedule while queries run.
struct Scenario
{
  const char* name_;
  const char* text_;
  /// Share of the shape's capacity that is offered unless the user says otherwise.
  double load_;
  /// Sets the faults up and schedules them on the trial's clock.
  void (*schedule_)(Trial&);
};

struct TrialSettings
{
  fakes::ClusterShape shape_;
  const Scenario* scenario_ = nullptr;
  double load_ = 0.4;
  Micros serviceTime_ = Millis(5);
  Micros duration_ = Seconds(30);
  uint64_t seed_ = 1;
  /// Share of queries that are non-idempotent and carry a key, so that callers may resend them.
  double keyedShare_ = 0.02;
  /// Uniform gaps between arrivals in place of exponential ones: integer arithmetic only, so equal on every machine.
  bool evenArrivals_ = false;
};

/// What one trial measured. Latency runs from the intended start of a query.
struct TrialResult
{
  uint64_t offered_ = 0;
  uint64_t whole_ = 0;
  uint64_t partial_ = 0;
  std::map<std::string, uint64_t> refusals_;
  double p50Ms_ = 0;
  double p99Ms_ = 0;
  double p999Ms_ = 0;
  /// Mean share of shards covered in the answers given.
  double coverage_ = 0;
  /// Requests that targets ran beyond one for each shard of each answered query, as a share of those.
  double extraRuns_ = 0;
  uint64_t shed_ = 0;
  uint64_t crashes_ = 0;
  std::vector<history::Violation> violations_;
};

/// Drives a FakeCluster with open-loop arrivals and one scenario of faults.
class Trial
{
public:
  explicit Trial(const TrialSettings& aSettings);

  TrialResult Run();

  fakes::FakeCluster& Cluster() { return cluster_; }
  fakes::HistoryRecorder& Recorder() { return recorder_; }
  const TrialSettings& Settings() const { return settings_; }
  Random& FaultRandom() { return faultRandom_; }
  /// Runs aAction after aPeriod and again after each further period until the load ends.
  void Every(Micros aPeriod, std::function<void()> aAction);
  /// Runs aAction once.
  void After(Micros aDelay, std::function<void()> aAction);
  /// An index of a running instance, chosen at random.
  size_t AnyRunning();
  /// Changes one target and keeps the rest of its behaviour.
  void ChangeTarget(const TargetName& aName, const std::function<void(fakes::FakeTarget&)>& aChange);
  /// Sends a query as a caller does, outside the regular load.
  void SendExtra(const Query& aQuery);

private:
  void SetTargets();
  Micros NextGap();
  void ScheduleNext();
  void SendNext();
  void Resend(const Query& aQuery, unsigned aTry);
  void OnAnswer(TimePoint aStart, const Answer& aAnswer);
  TrialResult Collect();

  const TrialSettings settings_;
  fakes::FakeCluster cluster_;
  fakes::HistoryRecorder recorder_;
  Random arrivals_;
  Random faultRandom_;
  double meanGapMicros_ = 0;
  TimePoint end_;
  uint64_t lastOperation_ = 0;
  std::vector<Micros> latencies_;
  double coverageSum_ = 0;
  uint64_t answeredShards_ = 0;
  std::set<RequestId> answeredRuns_;
  TrialResult result_;
};

/// Every scenario, in the order in which they are listed.
const std::vector<Scenario>&
AllScenarios();

/// Returns nullptr for an unknown name.
const Scenario*
FindScenario(const std::string& aName);

} // namespace ibisrock::experiment

#endif
