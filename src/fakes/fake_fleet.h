#ifndef IBISROCK_FAKES_FAKE_FLEET_H
#define IBISROCK_FAKES_FAKE_FLEET_H

#include "fakes/fake_cluster.h"
#include "fakes/process_gate.h"
#include "process/gossip.h"
#include "process/membership.h"
#include "process/prober.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ibisrock::fakes {

/// The membership and gossip of one instance, without the parts that serve queries.
class FleetNode
{
public:
  /// Uses everything of aPlatform but its transport.
  FleetNode(FakeNetwork& aNetwork, Environment aPlatform, InstanceIdentity aSelf);
  FleetNode(const FleetNode&) = delete;
  FleetNode& operator=(const FleetNode&) = delete;

  void Receive(std::string_view aBytes);
  /// Version that this node has heard of.
  uint64_t Version() const { return version_; }
  void Publish(uint64_t aVersion);

  const InstanceIdentity self_;
  const std::shared_ptr<ProcessGate> gate_;
  GatedTimers timers_;
  FakeTransport transport_;
  Environment environment_;
  Membership membership_;
  Gossip gossip_;
  Prober prober_;

private:
  bool Send(const PeerAddress& aPeer, wire::Body aBody);

  uint64_t version_ = 0;
};

/// Many instances' membership and gossip in one process on a manual clock. Index is position in the fleet.
class FakeFleet
{
public:
  FakeFleet(size_t aCount, unsigned aDataCentres, uint64_t aSeed);

  /// Lists and starts all nodes, and advances until each sees all or aLimit has passed.
  bool Start(Micros aLimit);
  /// Starts all nodes with full knowledge of each other, so that no updates about joins are left to spread.
  void StartJoined();
  /// Starts a new process in a node's place, with the same id and address and a later incarnation.
  void Launch(size_t aIndex);
  /// Ends a node at once, as a crash does.
  void Kill(size_t aIndex);
  /// Stops a node's timers and messages as a paused process does, or resumes it.
  void SetFrozen(size_t aIndex, bool aFrozen);
  /// Loses all messages between nodes below aSplit and the others, in one or both directions.
  void SetSplit(size_t aSplit, bool aUp, bool aDown);
  /// Advances in steps of 10 ms until aDone or until aLimit has passed. Returns the time it took, or aLimit.
  Micros AdvanceUntil(const std::function<bool()>& aDone, Micros aLimit);
  /// True when the view of every node in aExpected holds exactly these nodes.
  bool AllSee(const std::vector<size_t>& aExpected) const;
  std::vector<size_t> AllBut(const std::vector<size_t>& aGone) const;
  bool Sees(size_t aObserver, size_t aSubject) const;
  ListedInstance Listed(size_t aIndex) const;
  FleetNode& At(size_t aIndex) { return *nodes_.at(aIndex); }
  size_t Size() const { return nodes_.size(); }

  ManualTimerService timers_;
  Random random_;
  FakeNetwork network_;
  FakeStore store_;
  FakeTargets targets_;
  FakeInstanceList list_;

private:
  void ListAll();

  FakeTransport unusedTransport_;
  const unsigned dataCentres_;
  std::vector<std::unique_ptr<FleetNode>> nodes_;
  /// Ended nodes. They are kept because timers may still refer to them.
  std::vector<std::unique_ptr<FleetNode>> ended_;
  uint64_t lastIncarnation_ = 0;
};

} // namespace ibisrock::fakes

#endif
