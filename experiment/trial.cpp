#include "experiment/trial.h"

#include "experiment/shapes.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ibisrock::experiment {

namespace {

/// Tries of a caller for one keyed operation, the first included.
constexpr unsigned kMaxTries = 3;
constexpr Micros kResendDelay = Millis(300);
constexpr Micros kConfigSamplePeriod = Millis(500);
/// Time after the load in which the last queries end.
constexpr Micros kSettleTime = Seconds(6);
/// Streams of random numbers that must not depend on each other, so that faults are equal for every variant.
constexpr uint64_t kArrivalStream = 1000;
constexpr uint64_t kFaultStream = 2000;

double
Quantile(const std::vector<Micros>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index = static_cast<size_t>(aQuantile * static_cast<double>(aSorted.size() - 1));
  return static_cast<double>(aSorted[index].count()) / 1000.0;
}

} // namespace

Trial::Trial(const TrialSettings& aSettings)
  : settings_(aSettings)
  , cluster_(aSettings.shape_, aSettings.seed_)
  , recorder_(cluster_)
  , arrivals_(aSettings.seed_ + kArrivalStream)
  , faultRandom_(aSettings.seed_ + kFaultStream)
  , meanGapMicros_(1e6 / (CapacityOf(aSettings.shape_, aSettings.serviceTime_) * aSettings.load_))
{
}

void
Trial::SetTargets()
{
  for (unsigned shard = 0; shard < settings_.shape_.shards_; shard++) {
    for (unsigned replica = 0; replica < settings_.shape_.replicas_; replica++) {
      ChangeTarget(fakes::FakeCluster::TargetOf(shard, replica),
                   [this](fakes::FakeTarget& aTarget) { aTarget.serviceTime_ = settings_.serviceTime_; });
    }
  }
}

TrialResult
Trial::Run()
{
  SetTargets();
  cluster_.Start();
  ShardMap map{ IndexVersion(1), {} };
  for (unsigned shard = 0; shard < settings_.shape_.shards_; shard++) {
    map.shards_[ShardName("s" + std::to_string(shard))];
  }
  recorder_.AddShardMap(ServiceName(fakes::kClusterService), map);
  recorder_.AddAccepted(ConfigVersion(1));
  end_ = cluster_.timers_.Now() + settings_.duration_;
  Every(kConfigSamplePeriod, [this] { recorder_.SampleConfig(); });
  settings_.scenario_->schedule_(*this);
  ScheduleNext();
  cluster_.timers_.Advance(settings_.duration_ + kSettleTime);
  return Collect();
}

void
Trial::Every(Micros aPeriod, std::function<void()> aAction)
{
  cluster_.timers_.After(aPeriod, [this, aPeriod, action = std::move(aAction)] {
    if (cluster_.timers_.Now() < end_) {
      action();
      Every(aPeriod, action);
    }
  });
}

void
Trial::After(Micros aDelay, std::function<void()> aAction)
{
  cluster_.timers_.After(aDelay, std::move(aAction));
}

size_t
Trial::AnyRunning()
{
  size_t index = 0;
  do {
    index = faultRandom_.Below(static_cast<uint32_t>(cluster_.Size()));
  } while (!cluster_.IsRunning(index));
  return index;
}

void
Trial::ChangeTarget(const TargetName& aName, const std::function<void(fakes::FakeTarget&)>& aChange)
{
  fakes::FakeTarget target = cluster_.targets_.Get(aName);
  aChange(target);
  cluster_.targets_.Set(aName, target);
}

Micros
Trial::NextGap()
{
  if (settings_.evenArrivals_) {
    return Micros(arrivals_.Below(static_cast<uint32_t>(2 * meanGapMicros_) + 1));
  }
  return Micros(static_cast<int64_t>(-std::log(1.0 - arrivals_.Unit()) * meanGapMicros_));
}

void
Trial::ScheduleNext()
{
  cluster_.timers_.After(NextGap(), [this] {
    if (cluster_.timers_.Now() < end_) {
      SendNext();
      ScheduleNext();
    }
  });
}

void
Trial::SendNext()
{
  result_.offered_++;
  const std::string operation = "op" + std::to_string(++lastOperation_);
  Query query = fakes::FakeCluster::MakeQuery(operation);
  if (arrivals_.Unit() < settings_.keyedShare_) {
    query.idempotent_ = false;
    query.key_ = IdempotencyKey(operation);
  }
  Resend(query, 1);
}

/// Sends a query to a random ready instance. A keyed one is sent again until it was answered or the tries are used up.
void
Trial::Resend(const Query& aQuery, unsigned aTry)
{
  std::vector<size_t> ready;
  for (size_t index = 0; index < cluster_.Size(); index++) {
    LastReason reason;
    if (cluster_.IsRunning(index) && cluster_.At(index).IsReady(reason)) {
      ready.push_back(index);
    }
  }
  if (ready.empty()) {
    result_.refusals_["no instance ready"]++;
    return;
  }
  const size_t index = ready[arrivals_.Below(static_cast<uint32_t>(ready.size()))];
  const TimePoint start = cluster_.timers_.Now();
  recorder_.Submit(
    index, aQuery, [this, start](const history::Submission&, const Answer& aAnswer) { OnAnswer(start, aAnswer); });
  if (!aQuery.key_.IsEmpty() && aTry < kMaxTries && arrivals_.Unit() < 0.5) {
    After(kResendDelay, [this, aQuery, aTry] { Resend(aQuery, aTry + 1); });
  }
}

void
Trial::SendExtra(const Query& aQuery)
{
  recorder_.Submit(AnyRunning(), aQuery);
}

void
Trial::OnAnswer(TimePoint aStart, const Answer& aAnswer)
{
  if (aAnswer.covered_.empty()) {
    result_.refusals_[std::string(ToString(aAnswer.reason_))]++;
    return;
  }
  latencies_.push_back(cluster_.timers_.Now() - aStart);
  (aAnswer.missing_.empty() ? result_.whole_ : result_.partial_)++;
  const size_t shards = aAnswer.covered_.size() + aAnswer.missing_.size();
  coverageSum_ += static_cast<double>(aAnswer.covered_.size()) / static_cast<double>(shards);
  // A replayed answer has the request id of the run that gave it and made no target work again.
  if (answeredRuns_.insert(aAnswer.request_).second) {
    answeredShards_ += shards;
  }
}

TrialResult
Trial::Collect()
{
  const history::History history = recorder_.Take();
  std::sort(latencies_.begin(), latencies_.end());
  result_.p50Ms_ = Quantile(latencies_, 0.5);
  result_.p99Ms_ = Quantile(latencies_, 0.99);
  result_.p999Ms_ = Quantile(latencies_, 0.999);
  const auto answered = static_cast<double>(result_.whole_ + result_.partial_);
  result_.coverage_ = answered > 0 ? coverageSum_ / answered : 0;
  result_.extraRuns_ = answeredShards_ > 0
                         ? static_cast<double>(history.executions_.size()) / static_cast<double>(answeredShards_) - 1.0
                         : 0;
  result_.shed_ = cluster_.targets_.Shed();
  result_.crashes_ = cluster_.targets_.Crashes();
  result_.violations_ = history::CheckHistory(history, history::CheckLimits{});
  return std::move(result_);
}

} // namespace ibisrock::experiment
