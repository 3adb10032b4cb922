#ifndef IBISROCK_FAKES_SCRIPTED_RUN_H
#define IBISROCK_FAKES_SCRIPTED_RUN_H

#include "request/query_run.h"

#include <optional>
#include <string>
#include <vector>

namespace ibisrock::fakes {

/// Records the attempts of a run and answers them only when a test says so, in any order and any number of times.
class ScriptedSender final : public AttemptSender
{
public:
  void Start(const wire::SubRequest& aRequest, Callback aCallback) override;
  void Cancel(const AttemptId& aId) override { cancelled_.push_back(aId.number_); }

  const std::vector<wire::SubRequest>& Sent() const { return sent_; }
  const std::vector<uint32_t>& Cancelled() const { return cancelled_; }
  /// Number of the first attempt of the shard at or after aFrom; no value when there is none.
  std::optional<uint32_t> Find(const ShardName& aShard, uint32_t aFrom = 0) const;
  /// Answers with one match of the shard, of the attempt's own version unless another is given.
  void Succeed(uint32_t aNumber, std::optional<IndexVersion> aVersion = std::nullopt);
  /// Answers with a failure. aTouched false is a refusal by the owner.
  void Fail(uint32_t aNumber, Verdict aVerdict, Reason aReason, bool aTouched = true);

private:
  std::vector<wire::SubRequest> sent_;
  std::vector<Callback> callbacks_;
  std::vector<uint32_t> cancelled_;
};

/// Offers a fixed list of shard maps, newest first.
class ScriptedVersions final : public VersionSource
{
public:
  std::optional<ShardMap> Choose(const ServiceConfig& aService, const std::set<IndexVersion>& aMissing) override;
  void OnVersionMissing(const ServiceName& aService, IndexVersion aVersion, const ShardName& aShard) override;

  std::vector<ShardMap> maps_;
  std::vector<IndexVersion> reported_;
};

/// Keeps what it is told.
class RecordingCrashObserver final : public CrashObserver
{
public:
  void OnConnectionLost(const CrashReport& aReport) override { losses_.push_back(aReport); }
  void OnRunEnded(const CrashReport& aReport) override { ended_.push_back(aReport); }

  std::vector<CrashReport> losses_;
  std::vector<CrashReport> ended_;
};

/// One query run on a manual clock, with shards "s0", "s1", ... that have replicas "s0-r0", "s0-r1", ...
class ScriptedRun
{
public:
  ScriptedRun(unsigned aShards, unsigned aReplicas);

  /// Starts the run with query_, service_ and canaryFirst_ as they are.
  void Start();
  ShardMap MakeMap(IndexVersion aVersion) const;
  /// Answers the first attempt of every shard except the first aSkip.
  void SucceedFrom(unsigned aSkip);

  ManualTimerService timers_;
  Random random_;
  ScriptedSender sender_;
  TargetStates targets_{ timers_, [](const wire::Update&) {} };
  ServiceState state_;
  ScriptedVersions versions_;
  RecordingCrashObserver crashes_;
  ServiceConfig service_;
  Query query_;
  bool canaryFirst_ = false;
  std::optional<Answer> answer_;
  unsigned answers_ = 0;

private:
  const unsigned shards_;
  const unsigned replicas_;
};

} // namespace ibisrock::fakes

#endif
