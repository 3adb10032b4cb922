#include "fakes/fake_cluster.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <iostream>

// Tail latency, coverage and extra attempts of the query path under stragglers and lost replicas, on the manual clock
// with open-loop arrivals. Each fault is run with the settings in service and with naive ones.

using namespace ibisrock;
using namespace ibisrock::fakes;

namespace {

constexpr unsigned kWarmUp = 2000;
constexpr unsigned kQueries = 20000;
constexpr uint64_t kSeed = 7;

struct Load
{
  const char* name_;
  double queriesPerSecond_;
  double spread_;
};

struct Fault
{
  const char* name_;
  double slowShare_;
  /// Every n-th shard loses one replica; 0 for none.
  unsigned lostEvery_;
};

struct Figures
{
  Micros p50_{};
  Micros p99_{};
  double coverage_ = 0;
  double extra_ = 0;
  uint64_t hedges_ = 0;
  uint64_t retries_ = 0;
};

/// Collects what the callers of one run see.
class Recorder
{
public:
  void Add(Micros aLatency, const Answer& aAnswer)
  {
    latencies_.push_back(aLatency);
    covered_ += aAnswer.covered_.size();
    attempts_ += aAnswer.attempts_;
    shards_ += aAnswer.covered_.size() + aAnswer.missing_.size();
  }

  Figures Summarize()
  {
    std::sort(latencies_.begin(), latencies_.end());
    Figures figures;
    figures.p50_ = latencies_[latencies_.size() / 2];
    figures.p99_ = latencies_[latencies_.size() * 99 / 100];
    figures.coverage_ = static_cast<double>(covered_) / static_cast<double>(shards_);
    figures.extra_ = static_cast<double>(attempts_) / static_cast<double>(shards_) - 1;
    return figures;
  }

private:
  std::vector<Micros> latencies_;
  uint64_t covered_ = 0;
  uint64_t attempts_ = 0;
  uint64_t shards_ = 0;
};

void
SetTargets(FakeCluster& aCluster, const ClusterShape& aShape, const Load& aLoad, const Fault& aFault)
{
  for (unsigned shard = 0; shard < aShape.shards_; shard++) {
    for (unsigned replica = 0; replica < aShape.replicas_; replica++) {
      FakeTarget target;
      target.slots_ = aShape.slots_;
      target.spread_ = aLoad.spread_;
      target.slowShare_ = aFault.slowShare_;
      target.down_ = replica == 0 && aFault.lostEvery_ > 0 && shard % aFault.lostEvery_ == 0;
      aCluster.targets_.Set(FakeCluster::TargetOf(shard, replica), target);
    }
  }
}

Figures
Run(const Load& aLoad, const Fault& aFault, const RunTuning& aTuning)
{
  ClusterShape shape;
  shape.tuning_ = aTuning;
  FakeCluster cluster(shape, kSeed);
  cluster.Start();
  SetTargets(cluster, shape, aLoad, aFault);
  Random arrivals(kSeed);
  Recorder recorder;
  unsigned answered = 0;
  for (unsigned number = 0; number < kWarmUp + kQueries; number++) {
    const double gap = -std::log(1 - arrivals.Unit()) / aLoad.queriesPerSecond_;
    cluster.timers_.Advance(Micros(static_cast<Micros::rep>(gap * 1e6)));
    const TimePoint start = cluster.timers_.Now();
    cluster.At(arrivals.Below(shape.instances_))
      .Submit(FakeCluster::MakeQuery(std::to_string(number)), [&, number, start](const Answer& aAnswer) {
        answered++;
        if (number >= kWarmUp) {
          recorder.Add(cluster.timers_.Now() - start, aAnswer);
        }
      });
  }
  while (answered < kWarmUp + kQueries && cluster.timers_.RunNext()) {
  }
  Figures figures = recorder.Summarize();
  for (unsigned index = 0; index < shape.instances_; index++) {
    const RunCounters& counters = cluster.At(index).Services().Get(ServiceName(kClusterService)).counters_;
    figures.hedges_ += counters.hedges_;
    figures.retries_ += counters.retries_;
  }
  return figures;
}

void
Print(const Load& aLoad, const char* aFault, const char* aSetting, const Figures& aFigures, Micros aReference)
{
  std::cout << std::left << std::setw(16) << aLoad.name_ << std::setw(12) << aFault << std::setw(10) << aSetting
            << std::right << std::setw(8) << aFigures.p50_.count() << std::setw(8) << aFigures.p99_.count()
            << std::fixed << std::setprecision(2) << std::setw(7)
            << static_cast<double>(aFigures.p99_.count()) / static_cast<double>(aReference.count()) << std::setw(10)
            << aFigures.coverage_ * 100 << std::setw(8) << aFigures.extra_ * 100 << std::setw(8) << aFigures.hedges_
            << std::setw(9) << aFigures.retries_ << std::endl;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  RunTuning serving;
  if (aCount > 1) {
    serving.hedgeQuantile_ = std::atof(aArguments[1]);
  }
  RunTuning naive;
  naive.hedges_ = false;
  naive.randomReplica_ = true;
  std::cout << "20 shards, 2 replicas, 2 slots, 2 ms mean service time, 7 instances; latencies in us; ratio to the\n"
               "p99 of the same setting without faults; hedge quantile "
            << serving.hedgeQuantile_ << "\n"
            << "load            fault       setting        p50     p99  ratio  coverage% extra%  hedges  retries\n";
  const Load loads[] = {
    { "200/s spread", 200, 0.5 }, { "400/s spread", 400, 0.5 }, { "200/s fixed", 200, 0 }, { "400/s fixed", 400, 0 }
  };
  const Fault faults[] = { { "none", 0, 0 }, { "stragglers", 0.01, 0 }, { "lost", 0, 10 } };
  for (const Load& load : loads) {
    for (const auto& [setting, tuning] : { std::pair("serving", serving), std::pair("naive", naive) }) {
      Micros reference{};
      for (const Fault& fault : faults) {
        const Figures figures = Run(load, fault, tuning);
        reference = fault.slowShare_ == 0 && fault.lostEvery_ == 0 ? figures.p99_ : reference;
        Print(load, fault.name_, setting, figures, reference);
      }
    }
  }
  return 0;
}
