// Compares two ways to share the slots of one replica among all instances: every instance dispatches directly with its
// own share, or one owner dispatches for all. Open-loop arrivals on a manual clock; one shard with two replicas.

#include "connection/replica_dispatcher.h"
#include "fakes/fake_targets.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <vector>

namespace {

using namespace ibisrock;

constexpr unsigned kInstances = 7;
constexpr unsigned kReplicas = 2;
constexpr unsigned kSlots = 2;
constexpr Micros kServiceTime = Millis(5);
constexpr Micros kBudget = Millis(50);
/// Messages between two data centres take this long one way.
constexpr Micros kPeerDelay = Micros(500);
constexpr Micros kDuration = Seconds(30);
constexpr uint64_t kSeed = 7;

struct Way
{
  const char* name_;
  /// Dispatchers that share each replica.
  unsigned dispatchers_;
  /// Slots that each of them may use.
  unsigned slots_;
  Micros hop_;
};

constexpr Way kWays[] = {
  { "direct, share of 1 slot", kInstances, 1, Micros::zero() },
  { "owner", 1, kSlots, kPeerDelay },
};

struct Totals
{
  std::vector<Micros> latencies_;
  uint64_t offered_ = 0;
  uint64_t refused_ = 0;
};

/// Sends one request after another at random times and tries the other replica after a refusal.
class Trial
{
public:
  Trial(const Way& aWay, double aLoad)
    : way_(aWay)
    , random_(kSeed)
    , targets_(timers_, random_)
  {
    const double capacity = kReplicas * kSlots / (std::chrono::duration<double>(kServiceTime + Millis(1)).count());
    meanGap_ = 1e6 / (capacity * aLoad);
    for (unsigned replica = 0; replica < kReplicas; replica++) {
      AddReplica(replica);
    }
  }

  Totals Run()
  {
    ScheduleNext();
    timers_.Advance(kDuration + Seconds(1));
    std::sort(totals_.latencies_.begin(), totals_.latencies_.end());
    return std::move(totals_);
  }

  uint64_t Shed() const { return targets_.Shed(); }

private:
  void AddReplica(unsigned aReplica)
  {
    TargetConfig config;
    config.name_ = TargetName("r" + std::to_string(aReplica));
    config.slots_ = way_.slots_;
    fakes::FakeTarget target;
    target.slots_ = kSlots;
    target.serviceTime_ = kServiceTime;
    targets_.Set(config.name_, target);
    for (unsigned index = 0; index < way_.dispatchers_; index++) {
      dispatchers_[aReplica].push_back(ReplicaDispatcher::Create(config, timers_, targets_));
    }
  }

  void ScheduleNext()
  {
    const double gap = -std::log(1.0 - random_.Unit()) * meanGap_;
    timers_.After(Micros(static_cast<int64_t>(gap)), [this] {
      if (timers_.Now() < TimePoint(kDuration)) {
        Send();
        ScheduleNext();
      }
    });
  }

  void Send()
  {
    totals_.offered_++;
    Attempt(random_.Below(kInstances), random_.Below(kReplicas), 0, timers_.Now());
  }

  void Attempt(unsigned aInstance, unsigned aReplica, unsigned aTry, TimePoint aStart)
  {
    wire::SubRequest request;
    request.id_.request_.sequence_ = ++lastAttempt_;
    request.target_ = TargetName("r" + std::to_string(aReplica));
    request.version_ = IndexVersion(1);
    request.budget_ = kBudget - (timers_.Now() - aStart);
    timers_.After(way_.hop_, [this, request, aInstance, aReplica, aTry, aStart] {
      auto& dispatcher = dispatchers_[aReplica][aInstance % way_.dispatchers_];
      dispatcher->Submit(request, [this, aInstance, aReplica, aTry, aStart](const wire::SubReply& aReply) {
        timers_.After(way_.hop_, [this, aInstance, aReplica, aTry, aStart, verdict = aReply.reply_.verdict_] {
          OnReply(aInstance, aReplica, aTry, aStart, verdict);
        });
      });
    });
  }

  void OnReply(unsigned aInstance, unsigned aReplica, unsigned aTry, TimePoint aStart, Verdict aVerdict)
  {
    if (aVerdict == Verdict::Ran) {
      totals_.latencies_.push_back(timers_.Now() - aStart);
    } else if (aVerdict == Verdict::NotRun && aTry + 1 < kReplicas) {
      Attempt(aInstance, (aReplica + 1) % kReplicas, aTry + 1, aStart);
    } else {
      totals_.refused_++;
    }
  }

  const Way way_;
  ManualTimerService timers_;
  Random random_;
  fakes::FakeTargets targets_;
  std::vector<std::shared_ptr<ReplicaDispatcher>> dispatchers_[kReplicas];
  Totals totals_;
  double meanGap_ = 0;
  uint64_t lastAttempt_ = 0;
};

double
Milliseconds(const std::vector<Micros>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index = static_cast<size_t>(aQuantile * static_cast<double>(aSorted.size() - 1));
  return static_cast<double>(aSorted[index].count()) / 1000.0;
}

} // namespace

int
main()
{
  std::printf("%-26s %5s %8s %9s %9s %8s %8s\n", "way", "load", "offered", "answered", "shed", "p50 ms", "p99 ms");
  for (const double load : { 0.3, 0.6, 0.8, 0.95, 1.5 }) {
    for (const Way& way : kWays) {
      Trial trial(way, load);
      const Totals totals = trial.Run();
      std::printf("%-26s %5.2f %8lu %8.1f%% %9lu %8.2f %8.2f\n",
                  way.name_,
                  load,
                  totals.offered_,
                  100.0 * static_cast<double>(totals.latencies_.size()) / static_cast<double>(totals.offered_),
                  trial.Shed(),
                  Milliseconds(totals.latencies_, 0.5),
                  Milliseconds(totals.latencies_, 0.99));
    }
  }
  return 0;
}
