#include "fakes/history_recorder.h"

#include <cstdlib>
#include <utility>

namespace ibisrock::fakes {

namespace {

/// Takes apart a match of FakeTargets: its id is "shard/body" and its text the index version.
history::ReceivedMatch
ToReceived(const Match& aMatch)
{
  const size_t slash = aMatch.id_.find('/');
  return { ShardName(aMatch.id_.substr(0, slash)),
           IndexVersion(std::strtoull(aMatch.text_.c_str(), nullptr, 10)),
           aMatch.id_.substr(slash + 1) };
}

history::ReceivedAnswer
ToReceived(const Answer& aAnswer, TimePoint aAt)
{
  history::ReceivedAnswer received;
  received.at_ = aAt;
  received.request_ = aAnswer.request_;
  received.verdict_ = aAnswer.verdict_;
  received.reason_ = aAnswer.reason_;
  received.version_ = aAnswer.version_;
  received.config_ = aAnswer.config_;
  received.covered_ = aAnswer.covered_;
  for (const auto& [shard, reason] : aAnswer.missing_) {
    received.missing_.insert(shard);
  }
  for (const Match& match : aAnswer.matches_) {
    received.matches_.push_back(ToReceived(match));
  }
  return received;
}

} // namespace

HistoryRecorder::HistoryRecorder(FakeCluster& aCluster)
  : cluster_(aCluster)
{
}

void
HistoryRecorder::Submit(size_t aIndex, const Query& aQuery, Observer aObserver)
{
  const size_t position = history_.submissions_.size();
  history_.submissions_.push_back({ history::SubmissionId(position + 1),
                                    cluster_.timers_.Now(),
                                    IdOf(aIndex),
                                    aQuery.service_,
                                    aQuery.body_,
                                    aQuery.idempotent_,
                                    aQuery.key_,
                                    {} });
  const uint64_t start = cluster_.StartsAt(aIndex);
  cluster_.Submit(
    aIndex, aQuery, [this, position, aIndex, start, observer = std::move(aObserver)](const Answer& aAnswer) {
      if (!cluster_.IsRunning(aIndex) || cluster_.StartsAt(aIndex) != start) {
        return;
      }
      history::Submission& submission = history_.submissions_[position];
      submission.answers_.push_back(ToReceived(aAnswer, cluster_.timers_.Now()));
      if (observer) {
        observer(submission, aAnswer);
      }
    });
}

void
HistoryRecorder::AddShardMap(const ServiceName& aService, const ShardMap& aMap)
{
  std::set<ShardName>& shards = history_.shardMaps_[aService][aMap.version_];
  for (const auto& [shard, targets] : aMap.shards_) {
    shards.insert(shard);
  }
}

void
HistoryRecorder::AddAccepted(ConfigVersion aVersion)
{
  history_.accepted_.push_back({ aVersion, cluster_.timers_.Now() });
}

void
HistoryRecorder::BeginLeaving(const TargetName& aTarget)
{
  history_.leaving_.push_back({ aTarget, cluster_.timers_.Now(), std::nullopt });
}

void
HistoryRecorder::EndLeaving(const TargetName& aTarget)
{
  for (history::LeavingPeriod& period : history_.leaving_) {
    if (period.target_ == aTarget && !period.until_) {
      period.until_ = cluster_.timers_.Now();
    }
  }
}

void
HistoryRecorder::AddEnd(size_t aIndex, bool aPlanned)
{
  history_.ends_.push_back({ IdOf(aIndex), cluster_.timers_.Now(), aPlanned });
}

void
HistoryRecorder::SampleConfig()
{
  for (size_t index = 0; index < cluster_.Size(); index++) {
    if (cluster_.IsRunning(index)) {
      const ConfigVersion version = cluster_.At(index).ActiveConfigVersion();
      if (!version.IsNone()) {
        history_.seen_.push_back({ IdOf(index), version, cluster_.timers_.Now() });
      }
    }
  }
}

history::History
HistoryRecorder::Take()
{
  history_.executions_.clear();
  for (const TargetRun& run : cluster_.targets_.Runs()) {
    history_.executions_.push_back({ run.startedAt_, run.target_, run.shard_, run.attempt_, run.body_ });
  }
  history_.endedAt_ = cluster_.timers_.Now();
  return history_;
}

} // namespace ibisrock::fakes
