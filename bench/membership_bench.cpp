// Measures membership and gossip on the manual clock: how long a change takes to be known by all instances, and what
// control messages cost. Arguments: numbers of instances.

#include "fakes/control_counter.h"
#include "fakes/fake_fleet.h"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace ibisrock;
using fakes::FakeFleet;

constexpr Micros kLimit = Seconds(120);
constexpr unsigned kDataCentres = 4;
constexpr uint64_t kRounds = 5;

struct Costs
{
  double messages_ = 0;
  double bytes_ = 0;
};

/// Messages and bytes per instance and second over a time in which nothing changes.
Costs
MeasureCalm(FakeFleet& aFleet)
{
  constexpr Seconds kTime(60);
  const uint64_t messages = aFleet.network_.MessagesSent();
  const uint64_t bytes = aFleet.network_.BytesSent();
  aFleet.timers_.Advance(kTime);
  const double share = static_cast<double>(aFleet.Size()) * static_cast<double>(kTime.count());
  return { static_cast<double>(aFleet.network_.MessagesSent() - messages) / share,
           static_cast<double>(aFleet.network_.BytesSent() - bytes) / share };
}

Micros
MeasureVersion(FakeFleet& aFleet, uint64_t aVersion)
{
  aFleet.At(0).Publish(aVersion);
  return aFleet.AdvanceUntil(
    [&] {
      for (size_t index = 0; index < aFleet.Size(); index++) {
        if (aFleet.At(index).Version() != aVersion) {
          return false;
        }
      }
      return true;
    },
    kLimit);
}

/// Time until no instance but the one concerned sees it.
Micros
MeasureGone(FakeFleet& aFleet, size_t aGone)
{
  const std::vector<size_t> rest = aFleet.AllBut({ aGone });
  return aFleet.AdvanceUntil(
    [&] {
      for (const size_t observer : rest) {
        if (aFleet.Sees(observer, aGone)) {
          return false;
        }
      }
      return true;
    },
    kLimit);
}

struct FalseSuspicions
{
  uint64_t deaths_ = 0;
  double updates_ = 0;
};

/// Lets instances suspect others that live, without loss. Returns the deaths that follow, and the member updates that
/// an instance sends for each suspicion.
FalseSuspicions
MeasureSuspicions(size_t aCount)
{
  constexpr size_t kSuspicions = 10;
  fakes::ControlCounter counter;
  FakeFleet fleet(aCount, kDataCentres, 1);
  fleet.network_.SetObserver([&counter](std::string_view aBytes) { counter.OnMessage(aBytes); });
  fleet.StartJoined();
  fleet.timers_.Advance(Seconds(30));
  counter.Reset();
  for (size_t round = 0; round < kSuspicions; round++) {
    const size_t accuser = fleet.random_.Below(static_cast<uint32_t>(aCount));
    const InstanceIdentity& accused = fleet.At((accuser + 1) % aCount).self_;
    const auto known = fleet.At(accuser).membership_.Find(accused.id_);
    fleet.At(accuser).membership_.Suspect(accused.id_, known->incarnation_);
    fleet.timers_.Advance(Seconds(20));
  }
  uint64_t updates = 0;
  for (size_t state = 0; state < fakes::ControlCounter::kMemberStates; state++) {
    updates += counter.Update(state).count_;
  }
  return { counter.Deaths(), static_cast<double>(updates) / static_cast<double>(aCount * kSuspicions) };
}

double
ToMillis(Micros aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

/// Prints one line: the largest times of several rounds with different seeds, and the cost of the first.
bool
Measure(size_t aCount)
{
  Micros version{};
  Micros leave{};
  Micros death{};
  Costs calm;
  for (uint64_t seed = 1; seed <= kRounds; seed++) {
    FakeFleet fleet(aCount, kDataCentres, seed);
    if (!fleet.Start(kLimit)) {
      std::printf("%zu instances did not find each other\n", aCount);
      return false;
    }
    fleet.timers_.Advance(Seconds(60));
    if (seed == 1) {
      calm = MeasureCalm(fleet);
    }
    version = std::max(version, MeasureVersion(fleet, 1));
    fleet.At(1).membership_.Leave();
    leave = std::max(leave, MeasureGone(fleet, 1));
    fleet.timers_.Advance(Seconds(10));
    fleet.Kill(2);
    death = std::max(death, MeasureGone(fleet, 2));
  }
  std::printf("instances %5zu  version ms %6.0f  leave ms %6.0f  death ms %6.0f  messages/s %6.2f  bytes/s %7.0f\n",
              aCount,
              ToMillis(version),
              ToMillis(leave),
              ToMillis(death),
              calm.messages_,
              calm.bytes_);
  const FalseSuspicions suspicions = MeasureSuspicions(aCount);
  std::printf("                 10 false suspicions: deaths %lu  member updates sent by an instance for each %.1f\n",
              suspicions.deaths_,
              suspicions.updates_);
  std::fflush(stdout);
  return true;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  bool good = true;
  for (int index = 1; index < aArgc; index++) {
    good = Measure(std::strtoul(aArgv[index], nullptr, 10)) && good;
  }
  return good ? 0 : 1;
}
