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

/// Why a query was not admitted and when to try again. A query that is not admitted was not run.
struct AdmissionRefusal
{
  Reason reason_ = Reason::Overloaded;
  Micros retryAfter_{};
};

/// Admits queries for each service and caller within the sheet's limits and what the targets can carry. Every instance
/// enforces its share of the limits: the limit divided by the largest number of live instances in the last seconds, so
/// that the shares together stay within the limit while instances come and go. Thread-safe.
class AdmissionController
{
public:
  explicit AdmissionController(TimerService& aTimers)
    : timers_(aTimers)
  {
  }

  /// Tells the number of live instances, this one included.
  void SetInstances(unsigned aInstances);
  /// Admits a query, which must end with Leave(), or tells why not.
  std::optional<AdmissionRefusal> Enter(const ServiceConfig& aService, const CallerName& aCaller);
  /// Ends an admitted query.
  void Leave(const ServiceName& aService, const CallerName& aCaller, const ConcurrencyLimit::Sample& aSample);
  /// Queries of a service in flight here.
  unsigned InFlight(const ServiceName& aService) const;
  /// True while the service is overloaded, so that extra attempts would only add to it.
  bool IsOverloaded(const ServiceName& aService) const;
  /// The learned limit of a service; 0 before its first query.
  unsigned ConcurrencyLimitOf(const ServiceName& aService) const;

private:
  struct CallerState
  {
    std::unique_ptr<TokenBucket> rate_;
    PerSecond share_;
    unsigned inFlight_ = 0;
  };
  struct ServiceState
  {
    std::unique_ptr<TokenBucket> rate_;
    PerSecond share_;
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
  unsigned Instances();
  void UpdateRates(ServiceState& aState, const ServiceConfig& aService, const CallerName& aCaller, unsigned aInstances);
  std::optional<AdmissionRefusal> CheckConcurrency(const ServiceState& aState,
                                                   const ServiceConfig& aService,
                                                   const CallerName& aCaller,
                                                   unsigned aInstances) const;

  TimerService& timers_;
  std::array<Shard, kShardCount> shards_;
  std::mutex instancesMutex_;
  /// Instance counts seen in the last seconds, by the time at which each was last true.
  std::map<unsigned, TimePoint> instances_;
};

} // namespace ibisrock

#endif
