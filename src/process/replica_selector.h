#ifndef IBISROCK_PROCESS_REPLICA_SELECTOR_H
#define IBISROCK_PROCESS_REPLICA_SELECTOR_H

#include "base/ids.h"
#include "base/random.h"
#include "base/units.h"
#include "base/verdict.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisrock {

/// Reason for which an attempt is started.
enum class AttemptKind : uint8_t
{
  First,
  Retry,
  Hedge,
};

/// Result of an attempt as seen by its coordinator.
struct AttemptOutcome
{
  Verdict verdict_ = Verdict::MayHaveRun;
  Reason reason_ = Reason::None;
  /// Time from the start of the attempt to its reply or its cancellation.
  Micros elapsed_{};
};

/// Chooses the replica for each attempt from the outcomes that this instance observed. Thread-safe.
class ReplicaSelector
{
public:
  virtual ~ReplicaSelector() = default;

  /// Chooses one of the candidates and counts an outstanding attempt on it. Returns no value if there are no
  /// candidates, or if a hedge could only go to ejected replicas. An ejected replica is probed only by a first attempt
  /// with aMayProbe set.
  virtual std::optional<TargetName> Choose(const std::vector<TargetName>& aCandidates,
                                           AttemptKind aKind,
                                           bool aMayProbe,
                                           TimePoint aNow) = 0;
  /// Records the outcome of an attempt. Must be called exactly once for each value returned by Choose.
  virtual void OnEnd(const TargetName& aTarget, const AttemptOutcome& aOutcome, TimePoint aNow) = 0;
};

/// Power of two random choices over observed latency and outstanding attempts. A failing replica is ejected with
/// exponential back-off, after which a single attempt probes it.
class PowerOfTwoSelector final : public ReplicaSelector
{
public:
  explicit PowerOfTwoSelector(Random& aRandom)
    : random_(aRandom)
  {
  }

  std::optional<TargetName> Choose(const std::vector<TargetName>& aCandidates,
                                   AttemptKind aKind,
                                   bool aMayProbe,
                                   TimePoint aNow) override;
  void OnEnd(const TargetName& aTarget, const AttemptOutcome& aOutcome, TimePoint aNow) override;

private:
  struct Replica
  {
    double latency_ = 0;
    TimePoint observedAt_;
    uint32_t outstanding_ = 0;
    uint32_t failures_ = 0;
    bool ejected_ = false;
    bool probing_ = false;
    TimePoint probeAt_;
  };

  static double Score(const Replica& aReplica, TimePoint aNow);
  static void RecordLatency(Replica& aReplica, const AttemptOutcome& aOutcome, TimePoint aNow);
  static void RecordFailure(Replica& aReplica, bool aIsHard, TimePoint aNow);
  const TargetName& PickLessLoaded(const std::vector<TargetName>& aReplicas, TimePoint aNow);

  Random& random_;
  std::mutex mutex_;
  std::unordered_map<TargetName, Replica> replicas_;
};

/// Uniformly random choice, as a baseline for comparisons.
class RandomSelector final : public ReplicaSelector
{
public:
  explicit RandomSelector(Random& aRandom)
    : random_(aRandom)
  {
  }

  std::optional<TargetName> Choose(const std::vector<TargetName>& aCandidates,
                                   AttemptKind aKind,
                                   bool aMayProbe,
                                   TimePoint aNow) override;
  void OnEnd(const TargetName& /*aTarget*/, const AttemptOutcome& /*aOutcome*/, TimePoint /*aNow*/) override {}

private:
  Random& random_;
};

} // namespace ibisrock

#endif
