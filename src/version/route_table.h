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

/// How often one request of a caller may run.
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

/// How the replies of many shards become one answer.
struct GatherRule
{
  std::vector<PoolName> shards_;
  /// The answer holds this many of the greatest records.
  size_t topRecords_ = 0;
  /// Share of the shards below which there is no answer.
  double minCoverage_ = 1;
};

/// One rule of the configuration: which requests go to which pools, and how.
struct Route
{
  RouteName name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string pathPrefix_;
  RequestKind kind_ = RequestKind::NonIdempotent;
  /// Targets to which one request may be sent; for each shard when it gathers.
  unsigned maxTargets_ = 1;
  /// Longest time that a caller is kept waiting.
  Micros timeout_{};
  /// Time within which an answer is worth most to the caller.
  Micros objective_{};
  /// Rank of the route; 0 is the most urgent.
  unsigned priority_ = 0;
  /// Pools of a route that relays. Empty when it gathers.
  std::vector<WeightedPool> pools_;
  std::optional<GatherRule> gather_;
};

/// What a caller may send, and how long it may take.
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
  /// Connections that one target of the pool accepts from all instances together.
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

  /// Refuses a content that contradicts itself, with the name of the route.
  static std::shared_ptr<const RouteTable> Create(Content aContent, LastReason& aReason);

  ConfigVersion Version() const { return content_.version_; }
  const std::vector<Route>& Routes() const { return content_.routes_; }
  const CallerLimits& Limits() const { return content_.limits_; }
  const PoolRule* FindPool(const PoolName& aName) const;
  /// The route of the host with the longest prefix of the path, or null. The path may hold a query.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

private:
  explicit RouteTable(Content aContent);
  void IndexRoutes();

  Content content_;
  /// Position of a route by host and prefix.
  std::unordered_map<std::string, size_t> byHostAndPrefix_;
};

} // namespace ibisrock

#endif
