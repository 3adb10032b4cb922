#ifndef IBISROCK_VERSION_ROUTE_TABLE_H
#define IBISROCK_VERSION_ROUTE_TABLE_H

#include "base/ids.h"
#include "base/last_reason.h"
#include "base/units.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibisrock {

/// Whether a request of a caller may run more than once.
enum class RequestKind : uint8_t
{
  Idempotent,
  NonIdempotent,
};

struct WeightedPool
{
  PoolName pool_;
  double weight_ = 1;
};

/// How the replies of the shards are merged into one answer.
struct GatherRule
{
  std::vector<PoolName> shards_;
  /// Number of records in the answer; the greatest ones are kept.
  size_t topRecords_ = 0;
  /// Minimum fraction of the shards; below it there is no answer.
  double minCoverage_ = 1;
};

/// One routing rule: which requests go to which pools, and under which limits.
struct Route
{
  RouteName name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string pathPrefix_;
  RequestKind kind_ = RequestKind::NonIdempotent;
  /// Maximum number of targets to which one request may be sent; per shard when the route gathers.
  unsigned maxTargets_ = 1;
  /// Maximum time until the caller is answered.
  Micros timeout_{};
  /// Latency objective: the time within which an answer has its full value to the caller.
  Micros objective_{};
  /// Priority of the route; 0 is the highest.
  unsigned priority_ = 0;
  /// Pools among which a relaying route splits its traffic. Empty for a gathering route.
  std::vector<WeightedPool> pools_;
  std::optional<GatherRule> gather_;
};

/// Size and time limits of the requests that callers send.
struct CallerLimits
{
  size_t maxHeader_ = 16384;
  size_t maxBody_ = 262144;
  Micros headerTimeout_ = Seconds(3);
  Micros bodyTimeout_ = Seconds(10);
  Micros idleTimeout_ = Seconds(15);
};

struct PoolRule
{
  /// Maximum number of connections that one target of the pool accepts from all instances together.
  unsigned maxConnections_ = 0;
};

/// One version of the configuration. Immutable.
class RouteTable
{
public:
  struct Content
  {
    ConfigVersion version_;
    std::vector<Route> routes_;
    std::unordered_map<PoolName, PoolRule> pools_;
    CallerLimits limits_;
  };

  /// Returns null for inconsistent content; aReason then names the invalid route.
  static std::shared_ptr<const RouteTable> Create(Content aContent, LastReason& aReason);

  ConfigVersion Version() const { return content_.version_; }
  const std::vector<Route>& Routes() const { return content_.routes_; }
  const CallerLimits& Limits() const { return content_.limits_; }
  const PoolRule* FindPool(const PoolName& aName) const;
  /// Returns the route of the host with the longest matching path prefix, or null. The path may contain a query string.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

private:
  explicit RouteTable(Content aContent);
  void BuildRouteIndex();

  Content content_;
  /// Index into routes_ by host and path prefix.
  std::unordered_map<std::string, size_t> byHostAndPrefix_;
};

} // namespace ibisrock

#endif
