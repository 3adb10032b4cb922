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

/// Why an attempt is started.
enum class AttemptKind : uint8_t
{
  First,
  Retry,
  Hedge,
};

/// How an attempt ended, as its coordinator saw it.
struct AttemptOutcome
{
  Verdict verdict_ = Verdict::MayHaveRun;
  Reason reason_ = Reason::None;
  /// Time from the start of the attempt to its reply or its cancellation.
  Micros elapsed_{};
};

/// Chooses the replica of each attempt from what this instance has observed. Thread-safe.
class ReplicaSelector
{
public:
  virtual ~ReplicaSelector() = default;

  /// Chooses one of the candidates and counts an outstanding attempt on it. Without candidates, or when a hedge would
  /// only reach ejected replicas, there is no value. A probe of an ejected replica is chosen only if aMayProbe.
  virtual std::optional<TargetName> Choose(const std::vector<TargetName>& aCandidates,
                                           AttemptKind aKind,
                                           bool aMayProbe,
                                           TimePoint aNow) = 0;
  /// Ends an attempt that Choose began. Called exactly once for each.
  virtual void OnEnd(const TargetName& aTarget, const AttemptOutcome& aOutcome, TimePoint aNow) = 0;
};

/// Power of two choices over observed latency and outstanding attempts. A failing replica is ejected with a growing
/// back-off, after which one attempt probes it.
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

/// Uniformly random choice, for comparison.
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
