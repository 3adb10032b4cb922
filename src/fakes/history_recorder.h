#ifndef IBISROCK_FAKES_HISTORY_RECORDER_H
#define IBISROCK_FAKES_HISTORY_RECORDER_H

#include "fakes/fake_cluster.h"
#include "history/checker.h"
#include "history/history.h"

#include <functional>
#include <map>
#include <memory>

namespace ibisrock::fakes {

/// Records what the callers, targets and operators of a FakeCluster see. Single-threaded, as the cluster is. It must
/// outlive every use of the cluster's clock.
class HistoryRecorder
{
public:
  using Observer = std::function<void(const history::Submission&, const Answer&)>;

  explicit HistoryRecorder(FakeCluster& aCluster);

  /// Sends a query to an instance and records its answer. aObserver is called at the answer and may be empty.
  void Submit(size_t aIndex, const Query& aQuery, Observer aObserver = {});
  void AddShardMap(const ServiceName& aService, const ShardMap& aMap);
  void AddAccepted(ConfigVersion aVersion);
  void BeginLeaving(const TargetName& aTarget);
  void EndLeaving(const TargetName& aTarget);
  /// To be called just before an instance ends.
  void AddEnd(size_t aIndex, bool aPlanned);
  /// Records the configuration that each running instance has in force.
  void SampleConfig();

  /// The whole history up to now.
  history::History Take();
  const history::History& Current() const { return history_; }

private:
  InstanceId IdOf(size_t aIndex) const { return InstanceId("entry-" + std::to_string(aIndex)); }

  FakeCluster& cluster_;
  history::History history_;
};

} // namespace ibisrock::fakes

#endif
