#include "control_report.h"
#include "fakes/fake_cluster.h"
#include "version/apply.h"
#include "version/manifest.h"
#include "version/sheet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

// Measures on the manual clock how fast a change is in force on every instance while faults occur, and what it costs.

namespace {

using namespace ibisrock;
using fakes::ClusterShape;
using fakes::FakeCluster;
using fakes::StoreFaults;

constexpr uint64_t kSeed = 11;
constexpr unsigned kServices = 8;
constexpr unsigned kChanges = 240;
constexpr Micros kStep = Millis(1);
/// Time from one change to the next; longer than the target for a change to be in force.
constexpr Seconds kInterval{ 10 };

/// The fault that accompanies a change.
enum class Fault : uint8_t
{
  None,
  SlowStore,
  /// The store fails soon after it accepted the change.
  OutageAfter,
  /// The store is down when the operator begins, and comes back.
  OutageBefore,
  /// An instance is killed when the change is accepted and restarted half a second later.
  Restart,
  /// As Restart, while the store is down.
  RestartInOutage,
  ManyLost,
  LostHeadAnswer,
  Count,
};

struct Sample
{
  Fault fault_ = Fault::None;
  Micros inForce_{};
  uint64_t storeCalls_ = 0;
  uint64_t bytes_ = 0;
};

uint64_t
TotalCalls(const FakeCluster& aCluster)
{
  const auto calls = aCluster.store_.Calls();
  return calls.gets_ + calls.puts_ + calls.watches_;
}

/// The cluster's own service and others of the same size; aLimits holds the limit of each.
std::string
SheetText(const FakeCluster& aCluster, const std::vector<unsigned>& aLimits)
{
  std::ostringstream out;
  out << aCluster.SheetText();
  for (unsigned service = 0; service < kServices; service++) {
    const std::string name = "service" + std::to_string(service);
    out << "service," << name << ",coverage,500,200,100000," << aLimits[service] << ",1\n";
    for (unsigned shard = 0; shard < 20; shard++) {
      out << "shard," << name << ",s" << shard << "\n";
      for (unsigned replica = 0; replica < 2; replica++) {
        out << "target," << name << ",s" << shard << "," << name << "-" << shard << "-" << replica << ",10.2."
            << service << "." << 2 * shard + replica + 1 << ":9000,dc0,2,25,6\n";
      }
    }
  }
  return out.str();
}

StoreFaults
FaultsOf(Fault aFault)
{
  StoreFaults faults;
  faults.latency_ = aFault == Fault::SlowStore ? Millis(300) : Millis(2);
  faults.outage_ = aFault == Fault::OutageBefore;
  faults.lostAnswers_ = aFault == Fault::LostHeadAnswer ? 1 : 0;
  faults.lostPrefix_ = kConfigHeadKey;
  return faults;
}

bool
IsInForce(FakeCluster& aCluster, unsigned aInstances, ConfigVersion aVersion)
{
  for (size_t index = 0; index < aInstances; index++) {
    if (!aCluster.IsRunning(index)) {
      return false;
    }
    const auto configuration = aCluster.At(index).CurrentConfiguration();
    if (!configuration || configuration->version_ < aVersion) {
      return false;
    }
  }
  return true;
}

/// Applies a sheet and advances time until it is accepted. Ends the program when it is not.
ConfigVersion
Apply(FakeCluster& aCluster, const std::string& aText, const std::string& aId)
{
  std::vector<SheetFault> faults;
  std::optional<ApplyResult> result;
  ApplySheet(
    aCluster.store_, aCluster.timers_, ParseSheet(aText, faults).value(), { aId, {} }, [&result](ApplyResult aResult) {
      result = std::move(aResult);
    });
  while (!result) {
    aCluster.timers_.RunNext();
  }
  if (result->outcome_ != ApplyOutcome::Accepted) {
    std::printf("a change was not accepted: %s\n", result->text_.c_str());
    std::exit(1);
  }
  return result->version_;
}

Sample
MeasureChange(FakeCluster& aCluster, unsigned aInstances, unsigned aChange, const std::string& aText)
{
  const auto fault = static_cast<Fault>(aChange % static_cast<unsigned>(Fault::Count));
  const StoreFaults faults = FaultsOf(fault);
  aCluster.store_.SetFaults(faults);
  aCluster.network_.SetLossInterval(fault == Fault::ManyLost ? 3 : 10);
  if (fault == Fault::OutageBefore) {
    aCluster.timers_.After(Seconds(3), [&aCluster] { aCluster.store_.SetFaults(FaultsOf(Fault::None)); });
  }
  Sample sample{ fault, {}, TotalCalls(aCluster), aCluster.network_.BytesSent() };
  const ConfigVersion version = Apply(aCluster, aText, "change" + std::to_string(aChange));
  // The store accepts when it is called and answers after its latency. A lost answer costs a pause on top, which is
  // left out here and so counts in favour of this run; the watch sees the change at once.
  const TimePoint accepted = aCluster.timers_.Now() - faults.latency_;
  const size_t victim = aCluster.random_.Below(aInstances);
  const bool restarts = fault == Fault::Restart || fault == Fault::RestartInOutage;
  if (fault == Fault::OutageAfter || fault == Fault::RestartInOutage) {
    aCluster.timers_.Advance(Millis(5));
    aCluster.store_.SetFaults(FaultsOf(Fault::OutageBefore));
  }
  if (restarts) {
    aCluster.Kill(victim);
    aCluster.timers_.After(Millis(500), [&aCluster, victim] { aCluster.Restart(victim); });
  }
  while (!IsInForce(aCluster, aInstances, version)) {
    aCluster.timers_.Advance(kStep);
  }
  sample.inForce_ = aCluster.timers_.Now() - accepted;
  sample.storeCalls_ = TotalCalls(aCluster) - sample.storeCalls_;
  sample.bytes_ = aCluster.network_.BytesSent() - sample.bytes_;
  aCluster.timers_.Advance(kInterval);
  aCluster.store_.SetFaults(FaultsOf(Fault::None));
  aCluster.timers_.Advance(Seconds(2));
  return sample;
}

template<typename Value>
Value
Quantile(std::vector<Value> aValues, double aShare)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<size_t>(aShare * static_cast<double>(aValues.size() - 1))];
}

void
PrintChanges(const std::vector<Sample>& aSamples, const char* aName, Fault aFault)
{
  std::vector<double> times;
  std::vector<uint64_t> calls;
  std::vector<uint64_t> bytes;
  for (const Sample& sample : aSamples) {
    if (aFault == Fault::Count || sample.fault_ == aFault) {
      times.push_back(static_cast<double>(sample.inForce_.count()) / 1000);
      calls.push_back(sample.storeCalls_);
      bytes.push_back(sample.bytes_);
    }
  }
  std::printf("  %-16s changes %3zu  in force ms: median %.0f worst %.0f  store calls: median %lu worst %lu  "
              "bytes: median %lu worst %lu\n",
              aName,
              times.size(),
              Quantile(times, 0.5),
              Quantile(times, 1),
              Quantile(calls, 0.5),
              Quantile(calls, 1),
              Quantile(bytes, 0.5),
              Quantile(bytes, 1));
}

/// Counts what an instance at rest sends: first without loss, from soon after the start, then with a tenth lost.
void
MeasureRest(FakeCluster& aCluster, fakes::ControlCounter& aCounter)
{
  constexpr Seconds kPart{ 30 };
  for (unsigned part = 0; part < 4; part++) {
    aCounter.Reset();
    aCluster.timers_.Advance(kPart);
    std::printf(" at rest without loss, part %u of 30 s\n", part + 1);
    PrintControlReport(aCounter, aCluster.Size(), kPart);
  }
  aCluster.network_.SetLoss(0.1);
  aCluster.timers_.Advance(kPart);
  aCounter.Reset();
  aCluster.timers_.Advance(2 * kPart);
  std::printf(" at rest with 10%% of the messages lost\n");
  PrintControlReport(aCounter, aCluster.Size(), 2 * kPart);
  aCluster.network_.SetLoss(0);
  aCluster.timers_.Advance(kPart);
}

void
Measure(unsigned aInstances)
{
  ClusterShape shape;
  shape.instances_ = aInstances;
  fakes::ControlCounter counter;
  FakeCluster cluster(shape, kSeed);
  cluster.network_.SetObserver([&counter](std::string_view aBytes) { counter.OnMessage(aBytes); });
  cluster.Start();
  std::vector<unsigned> limits(kServices, 1);
  Apply(cluster, SheetText(cluster, limits), "base");
  cluster.timers_.Advance(kInterval);

  const uint64_t idleCalls = TotalCalls(cluster);
  const TimePoint idleSince = cluster.timers_.Now();
  std::printf("%u instances\n", aInstances);
  MeasureRest(cluster, counter);
  const std::chrono::duration<double, std::ratio<60>> idle = cluster.timers_.Now() - idleSince;
  std::printf(" at rest, per instance: %.1f store calls a minute\n",
              static_cast<double>(TotalCalls(cluster) - idleCalls) / (aInstances * idle.count()));

  std::vector<Sample> samples;
  for (unsigned change = 0; change < kChanges; change++) {
    limits[change % kServices] = change + 2;
    samples.push_back(MeasureChange(cluster, aInstances, change, SheetText(cluster, limits)));
  }
  PrintChanges(samples, "all", Fault::Count);
  const char* names[] = { "10% lost", "store 300 ms",      "outage after", "outage before",
                          "restart",  "restart in outage", "33% lost",     "head answer lost" };
  for (unsigned fault = 0; fault < static_cast<unsigned>(Fault::Count); fault++) {
    PrintChanges(samples, names[fault], static_cast<Fault>(fault));
  }
}

} // namespace

int
main()
{
  for (const unsigned instances : { 7U, 50U }) {
    Measure(instances);
  }
  return 0;
}
