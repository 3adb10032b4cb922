#ifndef IBISROCK_PROCESS_ADMISSION_H
#define IBISROCK_PROCESS_ADMISSION_H

#include "base/timer_service.h"
#include "base/verdict.h"
#include "process/concurrency_limit.h"
#include "process/token_bucket.h"
#include "version/configuration.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace ibisrock {

/// Reason why a query was rejected and when to retry. A rejected query was not run.
struct AdmissionRefusal
{
  Reason reason_ = Reason::Overloaded;
  Micros retryAfter_{};
};

/// Admission control per service and caller: enforces the configured rate and concurrency limits and an adaptive
/// concurrency limit that follows the capacity of the targets. Each instance enforces its share of a configured limit:
/// the limit divided by the largest number of live instances in the last 10 s, so that the sum of the shares stays
/// within the limit while instances join and leave. Thread-safe.
class AdmissionController
{
public:
  explicit AdmissionController(TimerService& aTimers)
    : timers_(aTimers)
  {
  }

  /// Sets the number of live instances, including this one.
  void SetInstanceCount(unsigned aInstances);
  /// Returns no value when the query is admitted; Release() must then be called when it ends. Otherwise returns the
  /// refusal.
  std::optional<AdmissionRefusal> Admit(const ServiceConfig& aService, const CallerName& aCaller);
  /// Releases the slot of an admitted query and feeds its result into the adaptive limit.
  void Release(const ServiceName& aService, const CallerName& aCaller, const ConcurrencyLimit::Sample& aSample);
  /// Queries of a service in flight on this instance.
  unsigned InFlight(const ServiceName& aService) const;
  /// True while the service is overloaded; extra attempts would then add load.
  bool IsOverloaded(const ServiceName& aService) const;
  /// Adaptive concurrency limit of a service; 0 before its first query.
  unsigned ConcurrencyLimitOf(const ServiceName& aService) const;

private:
  struct CallerState
  {
    std::unique_ptr<TokenBucket> rateLimiter_;
    PerSecond rateShare_;
    unsigned inFlight_ = 0;
  };
  struct ServiceState
  {
    std::unique_ptr<TokenBucket> rateLimiter_;
    PerSecond rateShare_;
    ConcurrencyLimit limit_;
    unsigned inFlight_ = 0;
    std::map<CallerName, CallerState> callers_;
  };
  struct Shard
  {
    mutable std::mutex mutex_;
    std::map<ServiceName, ServiceState> services_;
  };
  static constexpr size_t kShardCount = 16;

  Shard& ShardOf(const ServiceName& aService);
  const Shard& ShardOf(const ServiceName& aService) const;
  unsigned MaxRecentInstances();
  void UpdateRateLimiters(ServiceState& aState,
                          const ServiceConfig& aService,
                          const CallerName& aCaller,
                          unsigned aInstances);
  std::optional<AdmissionRefusal> CheckConcurrency(const ServiceState& aState,
                                                   const ServiceConfig& aService,
                                                   const CallerName& aCaller,
                                                   unsigned aInstances) const;

  TimerService& timers_;
  std::array<Shard, kShardCount> shards_;
  std::mutex instancesMutex_;
  /// Recent instance counts and the time at which each was last reported.
  std::map<unsigned, TimePoint> instanceCounts_;
};

} // namespace ibisrock

#endif
