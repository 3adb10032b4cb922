#include "experiment/trial.h"

#include "version/apply.h"
#include "version/index_catalogue.h"
#include "version/sheet.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>

namespace ibisrock::experiment {

namespace {

using fakes::FakeCluster;
using fakes::FakeTarget;

constexpr double kSlowShare = 0.01;
constexpr Micros kRestartDelay = Seconds(2);
constexpr Micros kFreezeTime = Seconds(3);
constexpr Micros kCutTime = Seconds(3);
constexpr Micros kOutageTime = Seconds(5);
constexpr Micros kDrainTime = Seconds(6);
/// Body of the query that crashes every target that runs it.
constexpr const char* kCrashBody = "crash";

void
ForEachTarget(Trial& aTrial, const std::function<void(FakeTarget&)>& aChange)
{
  const fakes::ClusterShape& shape = aTrial.Settings().shape_;
  for (unsigned shard = 0; shard < shape.shards_; shard++) {
    for (unsigned replica = 0; replica < shape.replicas_; replica++) {
      aTrial.ChangeTarget(FakeCluster::TargetOf(shard, replica), aChange);
    }
  }
}

TargetName
AnyTarget(Trial& aTrial)
{
  const fakes::ClusterShape& shape = aTrial.Settings().shape_;
  return FakeCluster::TargetOf(aTrial.FaultRandom().Below(shape.shards_), aTrial.FaultRandom().Below(shape.replicas_));
}

void
NoFaults(Trial& /*aTrial*/)
{
}

void
Stragglers(Trial& aTrial)
{
  ForEachTarget(aTrial, [](FakeTarget& aTarget) { aTarget.slowShare_ = kSlowShare; });
}

/// One replica of each of 10% of the shards is lost, of at least one shard.
void
LostReplicas(Trial& aTrial)
{
  const unsigned lost = std::max(1U, aTrial.Settings().shape_.shards_ / 10);
  for (unsigned shard = 0; shard < lost; shard++) {
    aTrial.ChangeTarget(FakeCluster::TargetOf(shard, 0), [](FakeTarget& aTarget) { aTarget.down_ = true; });
  }
}

void
Kills(Trial& aTrial)
{
  aTrial.Every(Seconds(4), [&aTrial] {
    const size_t index = aTrial.AnyRunning();
    aTrial.Recorder().AddEnd(index, false);
    aTrial.Cluster().Kill(index);
    aTrial.After(kRestartDelay, [&aTrial, index] { aTrial.Cluster().Restart(index); });
  });
}

void
Freezes(Trial& aTrial)
{
  aTrial.Every(Seconds(5), [&aTrial] {
    const size_t index = aTrial.AnyRunning();
    aTrial.Cluster().Freeze(index);
    aTrial.After(kFreezeTime, [&aTrial, index] {
      if (aTrial.Cluster().IsRunning(index)) {
        aTrial.Cluster().Thaw(index);
      }
    });
  });
}

void
Cut(Trial& aTrial, size_t aFrom, size_t aTo)
{
  const PeerAddress from = aTrial.Cluster().AddressOf(aFrom);
  const PeerAddress to = aTrial.Cluster().AddressOf(aTo);
  aTrial.Cluster().network_.SetCut(from, to, true);
  aTrial.After(kCutTime, [&aTrial, from, to] { aTrial.Cluster().network_.SetCut(from, to, false); });
}

/// Cuts one instance off from all others, one way or both.
void
Cuts(Trial& aTrial)
{
  aTrial.Every(Seconds(5), [&aTrial] {
    const size_t index = aTrial.AnyRunning();
    const bool bothWays = aTrial.FaultRandom().Below(2) == 0;
    for (size_t other = 0; other < aTrial.Cluster().Size(); other++) {
      if (other != index) {
        Cut(aTrial, index, other);
        if (bothWays) {
          Cut(aTrial, other, index);
        }
      }
    }
  });
}

/// Planned stops: an instance leaves, ends when it is idle, and is replaced.
void
Stops(Trial& aTrial)
{
  aTrial.Every(Seconds(6), [&aTrial] {
    const size_t index = aTrial.AnyRunning();
    aTrial.Cluster().At(index).BeginLeave();
    const uint64_t start = aTrial.Cluster().StartsAt(index);
    auto poll = std::make_shared<std::function<void()>>();
    *poll = [&aTrial, index, start, weak = std::weak_ptr(poll)] {
      if (!aTrial.Cluster().IsRunning(index) || aTrial.Cluster().StartsAt(index) != start) {
        return;
      }
      if (!aTrial.Cluster().At(index).IsIdle()) {
        aTrial.After(Millis(20), [self = weak.lock()] { (*self)(); });
        return;
      }
      aTrial.Recorder().AddEnd(index, true);
      aTrial.Cluster().Kill(index);
      aTrial.After(kRestartDelay, [&aTrial, index] { aTrial.Cluster().Restart(index); });
    };
    aTrial.After(Seconds(3), [poll] { (*poll)(); });
  });
}

void
Outages(Trial& aTrial)
{
  aTrial.Every(Seconds(9), [&aTrial] {
    aTrial.Cluster().store_.SetFaults({ .outage_ = true });
    aTrial.After(kOutageTime, [&aTrial] { aTrial.Cluster().store_.SetFaults({}); });
  });
}

void
LostStoreAnswers(Trial& aTrial)
{
  aTrial.Every(Seconds(1), [&aTrial] { aTrial.Cluster().store_.SetFaults({ .lostAnswers_ = 3 }); });
}

/// Targets drain, leave and come back.
void
Drains(Trial& aTrial)
{
  aTrial.Every(Seconds(7), [&aTrial] {
    const TargetName target = AnyTarget(aTrial);
    if (aTrial.Cluster().targets_.Get(target).state_ == TargetState::Draining) {
      return;
    }
    aTrial.ChangeTarget(target, [](FakeTarget& aTarget) { aTarget.state_ = TargetState::Draining; });
    aTrial.Recorder().BeginLeaving(target);
    aTrial.After(kDrainTime, [&aTrial, target] {
      aTrial.Recorder().EndLeaving(target);
      aTrial.ChangeTarget(target, [](FakeTarget& aTarget) {
        aTarget.state_ = TargetState::Ready;
        aTarget.boots_++;
      });
    });
  });
}

/// Operators accept a new sheet every two seconds.
void
Sheets(Trial& aTrial)
{
  aTrial.Every(Seconds(2), [&aTrial] {
    std::vector<SheetFault> faults;
    auto sheet = ParseSheet(aTrial.Cluster().SheetText(), faults);
    const auto shift = static_cast<double>(aTrial.FaultRandom().Below(1000));
    sheet->services_.at(ServiceName(fakes::kClusterService)).maxQueries_.value_ += shift;
    const std::string applyId = "apply-" + std::to_string(aTrial.Cluster().timers_.Now().time_since_epoch().count());
    ApplySheet(aTrial.Cluster().store_,
               aTrial.Cluster().timers_,
               *sheet,
               { applyId, {} },
               [&aTrial](const ApplyResult& aResult) {
                 if (aResult.outcome_ == ApplyOutcome::Accepted) {
                   aTrial.Recorder().AddAccepted(aResult.version_);
                 }
               });
  });
}

/// Shard map of an index version. Each version moves every shard to the targets of the next one, as a repartitioning
/// does.
ShardMap
MapOfVersion(const fakes::ClusterShape& aShape, IndexVersion aVersion)
{
  ShardMap map{ aVersion, {} };
  for (unsigned shard = 0; shard < aShape.shards_; shard++) {
    const auto holder = static_cast<unsigned>((shard + aVersion.Value() - 1) % aShape.shards_);
    std::vector<TargetName>& targets = map.shards_[ShardName("s" + std::to_string(shard))];
    for (unsigned replica = 0; replica < aShape.replicas_; replica++) {
      targets.push_back(FakeCluster::TargetOf(holder, replica));
    }
  }
  return map;
}

/// Changes the index versions that each target holds, one target after another within a second.
void
ChangeHeldVersions(Trial& aTrial, const std::function<void(std::set<IndexVersion>&)>& aChange)
{
  const fakes::ClusterShape& shape = aTrial.Settings().shape_;
  for (unsigned shard = 0; shard < shape.shards_; shard++) {
    for (unsigned replica = 0; replica < shape.replicas_; replica++) {
      const Micros delay = Millis(aTrial.FaultRandom().Below(1000));
      aTrial.After(delay, [&aTrial, aChange, target = FakeCluster::TargetOf(shard, replica)] {
        aTrial.ChangeTarget(target, [&aChange](FakeTarget& aTarget) { aChange(aTarget.held_); });
      });
    }
  }
}

/// Publishes the catalogue with the versions before and after a change.
void
PublishCatalogue(Trial& aTrial, IndexVersion aOld, IndexVersion aNew)
{
  const fakes::ClusterShape& shape = aTrial.Settings().shape_;
  const IndexCatalogue catalogue{ aNew.Value(), { MapOfVersion(shape, aNew), MapOfVersion(shape, aOld) } };
  const std::string key = CatalogueKey(ServiceName(fakes::kClusterService));
  aTrial.Recorder().AddShardMap(ServiceName(fakes::kClusterService), catalogue.maps_.front());
  aTrial.Cluster().store_.Get(key, [&aTrial, key, catalogue](const StoreResult& aResult) {
    aTrial.Cluster().store_.Put(key, EncodeCatalogue(catalogue), aResult.revision_, [](const StoreResult&) {});
  });
}

/// Every 4 s a new index version with another partitioning is loaded and published while some targets still lack it,
/// and the old one is dropped while queries still use it.
void
Versions(Trial& aTrial)
{
  auto current = std::make_shared<IndexVersion>(1);
  aTrial.Every(Seconds(4), [&aTrial, current] {
    const IndexVersion old = *current;
    const IndexVersion next = old.Next();
    *current = next;
    ChangeHeldVersions(aTrial, [next](std::set<IndexVersion>& aHeld) { aHeld.insert(next); });
    aTrial.After(Millis(500), [&aTrial, old, next] { PublishCatalogue(aTrial, old, next); });
    aTrial.After(Seconds(2), [&aTrial, old] {
      ChangeHeldVersions(aTrial, [old](std::set<IndexVersion>& aHeld) { aHeld.erase(old); });
    });
  });
}

void
Crashes(Trial& aTrial)
{
  ForEachTarget(aTrial, [](FakeTarget& aTarget) { aTarget.crashBody_ = kCrashBody; });
  aTrial.Every(Seconds(1), [&aTrial] { aTrial.SendExtra(FakeCluster::MakeQuery(kCrashBody)); });
}

void
Mixed(Trial& aTrial)
{
  Stragglers(aTrial);
  Kills(aTrial);
  Freezes(aTrial);
  Cuts(aTrial);
  Drains(aTrial);
  Sheets(aTrial);
  Outages(aTrial);
}

} // namespace

const std::vector<Scenario>&
AllScenarios()
{
  static const std::vector<Scenario> kScenarios = {
    { "none", "no faults", 0.4, &NoFaults },
    { "stragglers", "1 in 100 sub-requests takes ten times as long", 0.4, &Stragglers },
    { "lost-replicas", "one replica of each of 10% of the shards is down", 0.4, &LostReplicas },
    { "overload", "twice the capacity is offered", 2.0, &NoFaults },
    { "kills", "an instance is killed every 4 s and replaced after 2 s", 0.4, &Kills },
    { "freezes", "an instance is frozen for 3 s every 5 s", 0.4, &Freezes },
    { "cuts", "an instance is cut off for 3 s every 5 s, one way or both", 0.4, &Cuts },
    { "stops", "an instance is stopped as planned every 6 s and replaced", 0.4, &Stops },
    { "outages", "the object store is down for 5 s every 9 s", 0.4, &Outages },
    { "lost-store-answers",
      "answers of the object store are lost after the change took effect",
      0.4,
      &LostStoreAnswers },
    { "drains", "a target drains every 7 s and comes back after 6 s", 0.4, &Drains },
    { "sheets", "a new sheet is accepted every 2 s", 0.4, &Sheets },
    { "versions", "a new index version with another partitioning replaces the old one every 4 s", 0.4, &Versions },
    { "crashes", "a query that crashes each target is sent every second", 0.3, &Crashes },
    { "mixed", "stragglers, kills, freezes, cuts, drains, sheets and outages together", 0.3, &Mixed },
  };
  return kScenarios;
}

const Scenario*
FindScenario(const std::string& aName)
{
  for (const Scenario& scenario : AllScenarios()) {
    if (aName == scenario.name_) {
      return &scenario;
    }
  }
  return nullptr;
}

} // namespace ibisrock::experiment
