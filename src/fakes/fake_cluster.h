#ifndef IBISROCK_FAKES_FAKE_CLUSTER_H
#define IBISROCK_FAKES_FAKE_CLUSTER_H

#include "fakes/counting_store.h"
#include "fakes/fake_network.h"
#include "fakes/fake_store.h"
#include "fakes/fake_targets.h"
#include "fakes/process_gate.h"
#include "process/instance.h"

#include <memory>
#include <string>
#include <vector>

namespace ibisrock::fakes {

/// The platform's instance list in memory. Entries change only when a test changes them.
class FakeInstanceList final : public InstanceList
{
public:
  void Fetch(Callback aCallback) override;
  void Set(std::vector<ListedInstance> aListed);
  /// While unavailable every fetch answers with no value.
  void SetAvailable(bool aAvailable);
  uint64_t Fetches() const;

private:
  mutable std::mutex mutex_;
  uint64_t fetches_ = 0;
  bool available_ = true;
  std::vector<ListedInstance> listed_;
};

/// Shape of the service that a FakeCluster serves.
struct ClusterShape
{
  unsigned instances_ = 7;
  unsigned dataCentres_ = 4;
  unsigned shards_ = 20;
  unsigned replicas_ = 2;
  unsigned slots_ = 2;
  unsigned connections_ = 25;
  std::string priority_ = "coverage";
  Millis deadline_{ 500 };
  Millis softDeadline_{ 200 };
  unsigned queriesPerSecond_ = 100000;
  unsigned concurrent_ = 10000;
  RunTuning tuning_;
};

/// Name of the one service of a FakeCluster.
inline constexpr const char* kClusterService = "dockdesk";

/// Several instances in one process on a manual clock, with fakes in place of network, targets and platform.
class FakeCluster
{
public:
  FakeCluster(const ClusterShape& aShape, uint64_t aSeed);

  /// Applies the shape's sheet and advances time until every instance is ready.
  void Start();
  /// Ends an instance at once, as a crash does. Its index stays unused until Restart.
  void Kill(size_t aIndex);
  /// Starts a new instance with the same id and a later incarnation.
  void Restart(size_t aIndex);
  /// Stops an instance as SIGSTOP does: nothing reaches it and it does nothing until Thaw.
  void Freeze(size_t aIndex);
  void Thaw(size_t aIndex);
  /// Cuts one instance off from the store, or ends the cut.
  void SetStoreCut(size_t aIndex, bool aCut) { instances_.at(aIndex)->store_->SetCut(aCut); }
  /// Gives a query to an instance; a frozen one takes it when it is thawed.
  void Submit(size_t aIndex, Query aQuery, AnswerCallback aCallback);
  /// Runs one query on an instance and advances time until it is answered.
  Answer Ask(size_t aIndex, Query aQuery);

  Instance& At(size_t aIndex) { return *instances_.at(aIndex)->instance_; }
  bool IsRunning(size_t aIndex) const { return instances_.at(aIndex) != nullptr; }
  size_t Size() const { return instances_.size(); }
  const ClusterShape& Shape() const { return shape_; }
  /// Counts the starts at this index, so that a caller can tell whether the instance it asked is still there.
  uint64_t StartsAt(size_t aIndex) const { return starts_.at(aIndex); }
  /// Calls that the instance at this index has made to the store since it was launched.
  StoreCalls StoreCallsOf(size_t aIndex) const { return instances_.at(aIndex)->calls_->Calls(); }
  PeerAddress AddressOf(size_t aIndex) const;
  std::string SheetText() const;
  static TargetName TargetOf(unsigned aShard, unsigned aReplica);
  static Query MakeQuery(std::string aBody);

  ManualTimerService timers_;
  Random random_;
  FakeNetwork network_;
  FakeStore store_;
  FakeTargets targets_;
  FakeInstanceList list_;
  /// Receives the log lines of the instances launched from now on; null for none.
  LogSink* logs_ = nullptr;

private:
  struct Running
  {
    std::shared_ptr<ProcessGate> gate_;
    std::unique_ptr<FakeTransport> transport_;
    std::unique_ptr<GatedTimers> timers_;
    std::unique_ptr<GatedTargets> targets_;
    std::unique_ptr<CountingStore> calls_;
    std::unique_ptr<GatedStore> store_;
    std::unique_ptr<Instance> instance_;
  };

  void Launch(size_t aIndex);
  ListedInstance Listed(size_t aIndex) const;

  const ClusterShape shape_;
  std::vector<std::unique_ptr<Running>> instances_;
  /// Ended instances. They are kept because timers may still refer to them.
  std::vector<std::unique_ptr<Running>> ended_;
  std::vector<uint64_t> starts_;
  uint64_t lastIncarnation_ = 0;
};

} // namespace ibisrock::fakes

#endif
