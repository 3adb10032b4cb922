#include "process/admission.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// An instance count reported within this time still counts towards the maximum that divides the limits.
constexpr Micros kInstanceCountWindow = Seconds(10);
/// Burst capacity of a rate limiter, in seconds at its rate.
constexpr double kBurstSeconds = 0.1;
/// Retry delay suggested after a rejection for concurrency.
constexpr Micros kOverloadRetryAfter = Millis(100);
/// Utilization of the concurrency limit above which each caller is held to its fair share.
constexpr double kFairnessThreshold = 0.7;
/// Number of callers above which the state of idle callers is evicted, to bound memory use.
constexpr size_t kMaxIdleCallers = 1000;

/// Creates the bucket or adjusts its rate when this instance's share of the limit has changed.
void
ApplyRateShare(std::unique_ptr<TokenBucket>& aBucket,
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
AdmissionController::SetInstanceCount(unsigned aInstances)
{
  std::lock_guard lock(instancesMutex_);
  instanceCounts_[std::max(aInstances, 1U)] = timers_.Now();
}

/// Largest instance count reported within the window. The newest count is kept even when it is older than the window.
unsigned
AdmissionController::MaxRecentInstances()
{
  std::lock_guard lock(instancesMutex_);
  const TimePoint windowStart = timers_.Now() - kInstanceCountWindow;
  TimePoint newest;
  for (const auto& [count, seenAt] : instanceCounts_) {
    newest = std::max(newest, seenAt);
  }
  std::erase_if(instanceCounts_,
                [&](const auto& aEntry) { return aEntry.second < windowStart && aEntry.second < newest; });
  return instanceCounts_.empty() ? 1 : instanceCounts_.rbegin()->first;
}

void
AdmissionController::UpdateRateLimiters(ServiceState& aState,
                                        const ServiceConfig& aService,
                                        const CallerName& aCaller,
                                        unsigned aInstances)
{
  const TimePoint now = timers_.Now();
  ApplyRateShare(aState.rateLimiter_, aState.rateShare_, aService.maxQueries_, aInstances, now);
  if (aState.callers_.size() > kMaxIdleCallers) {
    std::erase_if(aState.callers_, [](const auto& aEntry) { return aEntry.second.inFlight_ == 0; });
  }
  CallerState& caller = aState.callers_[aCaller];
  auto limit = aService.callerLimits_.find(aCaller);
  if (limit != aService.callerLimits_.end()) {
    ApplyRateShare(caller.rateLimiter_, caller.rateShare_, limit->second, aInstances, now);
  } else {
    caller.rateLimiter_.reset();
  }
}

/// Rejects the query when the service is at its concurrency limit or, above the fairness threshold, when the caller
/// already uses its fair share and other callers are active.
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
  const auto activeCallers = static_cast<unsigned>(std::count_if(
    aState.callers_.begin(), aState.callers_.end(), [](const auto& aEntry) { return aEntry.second.inFlight_ > 0; }));
  const unsigned callerInFlight = aState.callers_.at(aCaller).inFlight_;
  const bool hasOtherCallers = activeCallers > (callerInFlight > 0 ? 1U : 0U);
  if (hasOtherCallers && aState.inFlight_ >= kFairnessThreshold * limit &&
      callerInFlight >= std::max(1U, limit / (activeCallers + 1))) {
    return AdmissionRefusal{ Reason::Overloaded, kOverloadRetryAfter };
  }
  return std::nullopt;
}

std::optional<AdmissionRefusal>
AdmissionController::Admit(const ServiceConfig& aService, const CallerName& aCaller)
{
  const unsigned instances = MaxRecentInstances();
  Shard& shard = ShardOf(aService.name_);
  std::lock_guard lock(shard.mutex_);
  ServiceState& state = shard.services_[aService.name_];
  UpdateRateLimiters(state, aService, aCaller, instances);
  CallerState& caller = state.callers_[aCaller];
  if (auto refusal = CheckConcurrency(state, aService, aCaller, instances)) {
    return refusal;
  }
  const TimePoint now = timers_.Now();
  if (caller.rateLimiter_ && !caller.rateLimiter_->TryTake(now)) {
    return AdmissionRefusal{ Reason::OverLimit, caller.rateLimiter_->TimeToNextToken() };
  }
  if (!state.rateLimiter_->TryTake(now)) {
    if (caller.rateLimiter_) {
      caller.rateLimiter_->ReturnToken();
    }
    return AdmissionRefusal{ Reason::OverLimit, state.rateLimiter_->TimeToNextToken() };
  }
  caller.inFlight_++;
  state.inFlight_++;
  return std::nullopt;
}

void
AdmissionController::Release(const ServiceName& aService,
                             const CallerName& aCaller,
                             const ConcurrencyLimit::Sample& aSample)
{
  Shard& shard = ShardOf(aService);
  std::lock_guard lock(shard.mutex_);
  ServiceState& state = shard.services_[aService];
  state.callers_[aCaller].inFlight_--;
  state.inFlight_--;
  state.limit_.AddSample(aSample, timers_.Now());
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
