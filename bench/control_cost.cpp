// Counts on the manual clock what the control messages of a fleet at rest consist of. Arguments: share of messages
// lost, seconds between the start and the loss, seconds of loss before the count, seconds counted, and numbers of
// instances. Whole instances run up to kMaxCluster, above that their membership and gossip alone, which begin with full
// knowledge of each other.

#include "control_report.h"
#include "fakes/fake_cluster.h"
#include "fakes/fake_fleet.h"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace ibisrock;
using fakes::ControlCounter;

constexpr size_t kMaxCluster = 200;
constexpr unsigned kDataCentres = 4;
constexpr uint64_t kSeed = 11;

struct Plan
{
  double loss_ = 0;
  Seconds settle_{};
  Seconds lead_{};
  Seconds counted_{};
};

template<typename Fleet>
void
Count(Fleet& aFleet, ControlCounter& aCounter, size_t aInstances, const Plan& aPlan)
{
  aFleet.timers_.Advance(aPlan.settle_);
  aFleet.network_.SetLoss(aPlan.loss_);
  aFleet.timers_.Advance(aPlan.lead_);
  aCounter.Reset();
  aFleet.timers_.Advance(aPlan.counted_);
  std::printf("instances %zu, loss %.2f\n", aInstances, aPlan.loss_);
  PrintControlReport(aCounter, aInstances, aPlan.counted_);
}

void
Measure(size_t aInstances, const Plan& aPlan)
{
  ControlCounter counter;
  const auto observe = [&counter](std::string_view aBytes) { counter.OnMessage(aBytes); };
  if (aInstances > kMaxCluster) {
    fakes::FakeFleet fleet(aInstances, kDataCentres, kSeed);
    fleet.network_.SetObserver(observe);
    fleet.StartJoined();
    Count(fleet, counter, aInstances, aPlan);
    return;
  }
  fakes::ClusterShape shape;
  shape.instances_ = static_cast<unsigned>(aInstances);
  fakes::FakeCluster cluster(shape, kSeed);
  cluster.network_.SetObserver(observe);
  cluster.Start();
  Count(cluster, counter, aInstances, aPlan);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  if (aArgc < 6) {
    std::printf("usage: control_cost <loss> <settle s> <lead s> <counted s> <instances>...\n");
    return 2;
  }
  const Plan plan{ std::strtod(aArgv[1], nullptr),
                   Seconds(std::atoi(aArgv[2])),
                   Seconds(std::atoi(aArgv[3])),
                   Seconds(std::atoi(aArgv[4])) };
  for (int index = 5; index < aArgc; index++) {
    Measure(std::strtoul(aArgv[index], nullptr, 10), plan);
  }
  return 0;
}
