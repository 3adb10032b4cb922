// Measures what one instance spends on knowing a large fleet: memory for each member, target and configured replica,
// and processor time for finding owners and for taking a service of the configuration in force. docs/CAPACITY.md uses
// it.

#include "process/membership.h"
#include "process/ownership.h"
#include "process/target_states.h"
#include "version/configuration.h"

#include "fakes/fake_cluster.h"
#include "fakes/fake_network.h"
#include "fakes/fake_store.h"
#include "fakes/fake_targets.h"
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>

namespace {

using namespace ibisrock;

constexpr unsigned kMembers = 3600;
constexpr unsigned kRegionMembers = 450;
constexpr unsigned kTargets = 16000;
constexpr unsigned kShardsOfService = 98;
constexpr unsigned kDataCentres = 23;

size_t
AllocatedBytes()
{
  return mallinfo2().uordblks;
}

double
MicrosPerCall(unsigned aCalls, const std::function<void(unsigned)>& aCall)
{
  const auto start = std::chrono::steady_clock::now();
  for (unsigned call = 0; call < aCalls; call++) {
    aCall(call);
  }
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / aCalls;
}

wire::MemberUpdate
MakeMember(unsigned aIndex)
{
  return { InstanceId("entry-" + std::to_string(aIndex)),
           PeerAddress("10.0." + std::to_string(aIndex / 256) + "." + std::to_string(aIndex % 256) + ":7000"),
           DataCentre("dc" + std::to_string(aIndex % kDataCentres)),
           Incarnation(1700000000000000 + aIndex),
           MemberState::Alive };
}

MemberView
MakeView(unsigned aMembers)
{
  MemberView view;
  for (unsigned index = 0; index < aMembers; index++) {
    const wire::MemberUpdate update = MakeMember(index);
    view.members_.push_back({ update.id_, update.address_, update.dataCentre_, update.incarnation_, update.state_ });
  }
  return view;
}

TargetName
NameOf(unsigned aTarget)
{
  return TargetName("service" + std::to_string(aTarget / kShardsOfService) + "-t" + std::to_string(aTarget));
}

ServiceConfig
MakeService(unsigned aIndex)
{
  ServiceConfig service;
  service.name_ = ServiceName("service" + std::to_string(aIndex));
  service.shardMap_.version_ = IndexVersion(1);
  for (unsigned shard = 0; shard < kShardsOfService; shard++) {
    const unsigned number = aIndex * kShardsOfService + shard;
    const ShardName name("s" + std::to_string(shard));
    service.shardMap_.shards_[name] = { NameOf(number) };
    service.targets_[NameOf(number)] = { NameOf(number),
                                         name,
                                         TargetAddress("10.1." + std::to_string(number / 256) + ".1:9000"),
                                         DataCentre("dc" + std::to_string(number % kDataCentres)),
                                         4,
                                         100,
                                         Millis(1) };
  }
  return service;
}

void
MeasureMembers()
{
  ManualTimerService timers;
  Random random(1);
  fakes::FakeNetwork network(timers);
  fakes::FakeTransport transport(network, PeerAddress("10.0.0.1:1"));
  fakes::FakeStore store(timers);
  fakes::FakeTargets targets(timers, random);
  fakes::FakeInstanceList list;
  const InstanceIdentity self{ InstanceId("self"), PeerAddress("10.0.0.1:1"), DataCentre("dc0"), Incarnation(1) };
  const size_t before = AllocatedBytes();
  Membership membership(self, { timers, random, transport, targets, store, list });
  const double merge = MicrosPerCall(kMembers, [&](unsigned aIndex) { membership.Merge(MakeMember(aIndex)); });
  const auto view = membership.View();
  std::printf("member: %zu bytes, %.2f us to merge (%zu in the view)\n",
              (AllocatedBytes() - before) / kMembers,
              merge,
              view->members_.size());
}

void
MeasureTargets()
{
  ManualTimerService timers;
  const size_t before = AllocatedBytes();
  TargetStates states(timers, [](const wire::Update&) {});
  for (unsigned index = 0; index < kTargets; index++) {
    states.OnUpdate({ NameOf(index), BootId("boot-1"), TargetState::Ready, { IndexVersion(1), IndexVersion(2) } });
  }
  std::printf("target state: %zu bytes\n", (AllocatedBytes() - before) / kTargets);
}

void
MeasureConfiguration()
{
  const unsigned services = kTargets / kShardsOfService;
  std::vector<std::string> texts;
  size_t bytes = 0;
  for (unsigned index = 0; index < services; index++) {
    texts.push_back(EncodeService(MakeService(index)));
    bytes += texts.back().size();
  }
  std::vector<std::optional<ServiceConfig>> decoded(services);
  const size_t before = AllocatedBytes();
  LastReason reason;
  const double decode =
    MicrosPerCall(services, [&](unsigned aIndex) { decoded[aIndex] = DecodeService(texts[aIndex], reason); });
  std::printf("configured replica: %zu bytes in memory, %zu bytes stored; %.0f us to decode a service of %u\n",
              (AllocatedBytes() - before) / (services * kShardsOfService),
              bytes / (services * kShardsOfService),
              decode,
              kShardsOfService);
}

void
MeasureOwners(unsigned aMembers)
{
  const MemberView view = MakeView(aMembers);
  size_t found = 0;
  const double cost = MicrosPerCall(2000, [&](unsigned aIndex) {
    found += FindOwner(view, NameOf(aIndex), DataCentre("dc" + std::to_string(aIndex % kDataCentres))) != nullptr;
  });
  OwnerCache table;
  const auto shared = std::make_shared<const MemberView>(view);
  const auto find = [&](unsigned aIndex) {
    found += table.Find(shared, NameOf(aIndex % kTargets), DataCentre()) != nullptr;
  };
  MicrosPerCall(kTargets, find);
  const double cached = MicrosPerCall(10 * kTargets, find);
  std::printf(
    "owner among %u members: %.2f us without the table, %.2f us with it (%zu found)\n", aMembers, cost, cached, found);
}

} // namespace

int
main()
{
  MeasureMembers();
  MeasureTargets();
  MeasureConfiguration();
  MeasureOwners(kRegionMembers);
  MeasureOwners(kMembers);
  return 0;
}
