#ifndef IBISROCK_FAKES_FAKE_TARGETS_H
#define IBISROCK_FAKES_FAKE_TARGETS_H

#include "base/random.h"
#include "base/target_client.h"
#include "base/timer_service.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibisrock::fakes {

/// How one fake target behaves. It may be changed at any time.
struct FakeTarget
{
  unsigned slots_ = 2;
  Micros serviceTime_ = Millis(2);
  /// Share of serviceTime_ that varies from request to request with an exponential distribution.
  double spread_ = 0;
  /// Share of requests that take slowFactor_ times as long.
  double slowShare_ = 0;
  unsigned slowFactor_ = 10;
  std::set<IndexVersion> held_ = { IndexVersion(1) };
  TargetState state_ = TargetState::Ready;
  /// State that the health endpoint claims, if it is not the true one.
  std::optional<TargetState> falseHealth_;
  /// Attempts that may be connected at the same time; further ones fail to connect.
  unsigned connections_ = 25;
  /// Added to each attempt, which uses a connection of its own.
  Micros connectTime_{};
  /// While the target is warming, requests take coldFactor_ times as long.
  unsigned coldFactor_ = 1;
  /// Time after a restart in which the target is warming.
  Micros coldStart_{};
  bool down_ = false;
  /// Requests with this body crash the target; empty for none.
  std::string crashBody_;
  /// Time until a crashed target is back.
  Micros restartTime_ = Seconds(2);
  uint64_t boots_ = 1;
};

/// One request that a fake target began to run.
struct TargetRun
{
  TargetName target_;
  ShardName shard_;
  AttemptId attempt_;
  std::string body_;
  TimePoint startedAt_;
};

/// Matches of a query body in one shard of an index version.
using ShardSearch = std::function<std::vector<Match>(IndexVersion, const ShardName&, const std::string&)>;

/// All targets of a test, in memory, on a timer service. Each request that a target runs is recorded.
class FakeTargets final : public TargetClient
{
public:
  FakeTargets(TimerService& aTimers, Random& aRandom);

  void Start(const TargetAttempt& aAttempt, Callback aCallback) override;
  void Cancel(const AttemptId& aId) override;
  void Probe(const TargetName& aTarget, const TargetAddress& aAddress, Callback aCallback) override;

  /// Adds a target or replaces its behaviour. Requests in flight go on.
  void Set(const TargetName& aName, const FakeTarget& aTarget);
  FakeTarget Get(const TargetName& aName) const;
  /// Replaces the default of one match for each shard, which names the shard, the body and the version.
  void SetSearch(ShardSearch aSearch);
  /// Stops a target: each request in flight loses its connection, and new connections fail until it is set up again.
  void Crash(const TargetName& aName);
  std::vector<TargetRun> Runs() const;
  /// Number of requests that targets refused because all slots were taken.
  uint64_t Shed() const;
  /// Most connections that a target had at the same time.
  unsigned PeakConnections(const TargetName& aName) const;
  /// Number of times that a request crashed a target.
  uint64_t Crashes() const;

private:
  struct Running
  {
    TargetName target_;
    Callback callback_;
    TimerId timer_;
  };

  Callback Connect(const TargetName& aName, Callback aCallback);
  void BecomeUp(const TargetName& aName);
  void Answer(Callback aCallback, TargetReply aReply, Micros aDelay);
  void Finish(const TargetAttempt& aAttempt, Micros aBudgetLeft);
  unsigned RunningOn(const TargetName& aName) const;

  TimerService& timers_;
  Random& random_;
  mutable std::mutex mutex_;
  std::map<TargetName, FakeTarget> targets_;
  ShardSearch search_;
  std::map<AttemptId, Running> running_;
  std::map<TargetName, unsigned> connected_;
  std::map<TargetName, unsigned> peakConnected_;
  std::vector<TargetRun> runs_;
  uint64_t shed_ = 0;
  uint64_t crashes_ = 0;
};

} // namespace ibisrock::fakes

#endif
