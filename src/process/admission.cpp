#include "process/admission.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// A count of instances that was true within this time still divides the limits.
constexpr Micros kInstancesMemory = Seconds(10);
/// Burst of a rate limit, in seconds of the rate.
constexpr double kBurstSeconds = 0.1;
/// Suggested wait after a refusal because of concurrency.
constexpr Micros kOverloadRetryAfter = Millis(100);
/// Use of the concurrency limit from which a caller may not hold more than its fair share.
constexpr double kFairnessThreshold = 0.7;
/// Callers with nothing in flight are forgotten beyond this number, which bounds the memory.
constexpr size_t kMaxIdleCallers = 1000;

/// Creates or adjusts a bucket when the share of a limit has changed.
void
SetShare(std::unique_ptr<TokenBucket>& aBucket,
         PerSecond& aShare,
         PerSecond aLimit,
         unsigned aInstances,
         TimePoint aNow)
{
  const PerSecond share{ aLimit.value_ / aInstances };
  if (!aBucket) {
    aBucket = std::make_unique<TokenBucket>(share, share.value_ * kBurstSeconds, aNow);
  } else if (share != aShare) {
    aBucket->SetRate(share, share.value_ * kBurstSeconds, aNow);
  }
  aShare = share;
}

} // namespace

AdmissionController::Shard&
AdmissionController::ShardOf(const ServiceName& aService)
{
  return shards_[std::hash<ServiceName>()(aService) % kShardCount];
}

const AdmissionController::Shard&
AdmissionController::ShardOf(const ServiceName& aService) const
{
  return shards_[std::hash<ServiceName>()(aService) % kShardCount];
}

void
AdmissionController::SetInstances(unsigned aInstances)
{
  std::lock_guard lock(instancesMutex_);
  instances_[std::max(aInstances, 1U)] = timers_.Now();
}

/// The largest number of live instances of the last seconds.
unsigned
AdmissionController::Instances()
{
  std::lock_guard lock(instancesMutex_);
  const TimePoint limit = timers_.Now() - kInstancesMemory;
  TimePoint newest;
  for (const auto& [count, seenAt] : instances_) {
    newest = std::max(newest, seenAt);
  }
  std::erase_if(instances_, [&](const auto& aEntry) { return aEntry.second < limit && aEntry.second < newest; });
  return instances_.empty() ? 1 : instances_.rbegin()->first;
}

void
AdmissionController::UpdateRates(ServiceState& aState,
                                 const ServiceConfig& aService,
                                 const CallerName& aCaller,
                                 unsigned aInstances)
{
  const TimePoint now = timers_.Now();
  SetShare(aState.rate_, aState.share_, aService.maxQueries_, aInstances, now);
  if (aState.callers_.size() > kMaxIdleCallers) {
    std::erase_if(aState.callers_, [](const auto& aEntry) { return aEntry.second.inFlight_ == 0; });
  }
  CallerState& caller = aState.callers_[aCaller];
  auto limit = aService.callerLimits_.find(aCaller);
  if (limit != aService.callerLimits_.end()) {
    SetShare(caller.rate_, caller.share_, limit->second, aInstances, now);
  } else {
    caller.rate_.reset();
  }
}

/// Refuses when the service is at its limit, and before that a caller that holds more than its share of it.
std::optional<AdmissionRefusal>
AdmissionController::CheckConcurrency(const ServiceState& aState,
                                      const ServiceConfig& aService,
                                      const CallerName& aCaller,
                                      unsigned aInstances) const
{
  const unsigned share = std::max(1U, aService.maxConcurrent_ / aInstances);
  const unsigned limit = std::min(share, aState.limit_.Current());
  if (aState.inFlight_ >= limit) {
    return AdmissionRefusal{ Reason::Overloaded, kOverloadRetryAfter };
  }
  const auto active = static_cast<unsigned>(std::count_if(
    aState.callers_.begin(), aState.callers_.end(), [](const auto& aEntry) { return aEntry.second.inFlight_ > 0; }));
  const unsigned held = aState.callers_.at(aCaller).inFlight_;
  const bool others = active > (held > 0 ? 1U : 0U);
  if (others && aState.inFlight_ >= kFairnessThreshold * limit && held >= std::max(1U, limit / (active + 1))) {
    return AdmissionRefusal{ Reason::Overloaded, kOverloadRetryAfter };
  }
  return std::nullopt;
}

std::optional<AdmissionRefusal>
AdmissionController::Enter(const ServiceConfig& aService, const CallerName& aCaller)
{
  const unsigned instances = Instances();
  Shard& shard = ShardOf(aService.name_);
  std::lock_guard lock(shard.mutex_);
  ServiceState& state = shard.services_[aService.name_];
  UpdateRates(state, aService, aCaller, instances);
  CallerState& caller = state.callers_[aCaller];
  if (auto refusal = CheckConcurrency(state, aService, aCaller, instances)) {
    return refusal;
  }
  const TimePoint now = timers_.Now();
  if (caller.rate_ && !caller.rate_->TryTake(now)) {
    return AdmissionRefusal{ Reason::OverLimit, caller.rate_->UntilNext() };
  }
  if (!state.rate_->TryTake(now)) {
    if (caller.rate_) {
      caller.rate_->Return();
    }
    return AdmissionRefusal{ Reason::OverLimit, state.rate_->UntilNext() };
  }
  caller.inFlight_++;
  state.inFlight_++;
  return std::nullopt;
}

void
AdmissionController::Leave(const ServiceName& aService,
                           const CallerName& aCaller,
                           const ConcurrencyLimit::Sample& aSample)
{
  Shard& shard = ShardOf(aService);
  std::lock_guard lock(shard.mutex_);
  ServiceState& state = shard.services_[aService];
  state.callers_[aCaller].inFlight_--;
  state.inFlight_--;
  state.limit_.Add(aSample, timers_.Now());
}

unsigned
AdmissionController::InFlight(const ServiceName& aService) const
{
  const Shard& shard = ShardOf(aService);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.services_.find(aService);
  return found == shard.services_.end() ? 0 : found->second.inFlight_;
}

bool
AdmissionController::IsOverloaded(const ServiceName& aService) const
{
  const Shard& shard = ShardOf(aService);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.services_.find(aService);
  return found != shard.services_.end() && found->second.limit_.IsOverloaded(timers_.Now());
}

unsigned
AdmissionController::ConcurrencyLimitOf(const ServiceName& aService) const
{
  const Shard& shard = ShardOf(aService);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.services_.find(aService);
  return found == shard.services_.end() ? 0 : found->second.limit_.Current();
}

} // namespace ibisrock
