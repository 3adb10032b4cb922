#include "version/route_table.h"

#include <algorithm>
#include <cctype>

namespace ibisrock {

namespace {

/// Returns the host name in lower case and without the port.
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aLetter) { return std::tolower(aLetter); });
  return host;
}

std::string
RouteIndexKey(const std::string& aHost, std::string_view aPrefix)
{
  return aHost + ' ' + std::string(aPrefix);
}

/// Returns why a route is invalid, or an empty text for a valid one.
std::string
FindRouteError(const Route& aRoute)
{
  const std::string& prefix = aRoute.pathPrefix_;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return "the path prefix does not begin and end with a slash";
  }
  if (aRoute.gather_ ? aRoute.gather_->shards_.empty() : aRoute.pools_.empty()) {
    return "it has no pool";
  }
  if (aRoute.gather_ && aRoute.kind_ != RequestKind::Idempotent) {
    return "a gathering route must be idempotent";
  }
  const bool hasWeight = std::any_of(
    aRoute.pools_.begin(), aRoute.pools_.end(), [](const WeightedPool& aPool) { return aPool.weight_ > 0; });
  if (!aRoute.gather_ && !hasWeight) {
    return "no pool has a weight above 0";
  }
  return "";
}

} // namespace

RouteTable::RouteTable(Content aContent)
  : content_(std::move(aContent))
{
  BuildRouteIndex();
}

std::shared_ptr<const RouteTable>
RouteTable::Create(Content aContent, LastReason& aReason)
{
  for (const Route& route : aContent.routes_) {
    const std::string error = FindRouteError(route);
    if (!error.empty()) {
      aReason.Set("route \"" + route.name_.Value() + "\": " + error);
      return nullptr;
    }
  }
  return std::shared_ptr<const RouteTable>(new RouteTable(std::move(aContent)));
}

void
RouteTable::BuildRouteIndex()
{
  for (size_t i = 0; i < content_.routes_.size(); i++) {
    const Route& route = content_.routes_[i];
    byHostAndPrefix_.emplace(RouteIndexKey(NormalizeHost(route.host_), route.pathPrefix_), i);
  }
}

const PoolRule*
RouteTable::FindPool(const PoolName& aName) const
{
  auto found = content_.pools_.find(aName);
  return found == content_.pools_.end() ? nullptr : &found->second;
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const std::string host = NormalizeHost(aHost);
  std::string_view path = aPath.substr(0, aPath.find('?'));
  // Prefixes end with a slash, so only prefixes of the path that end with a slash can match. The longest is tried
  // first.
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
    auto found = byHostAndPrefix_.find(RouteIndexKey(host, path.substr(0, slash + 1)));
    if (found != byHostAndPrefix_.end()) {
      return &content_.routes_[found->second];
    }
    if (slash == 0) {
      break;
    }
  }
  return nullptr;
}

} // namespace ibisrock
