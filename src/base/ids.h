#ifndef IBISROCK_BASE_IDS_H
#define IBISROCK_BASE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace ibisrock {

/// A name that cannot be confused with a name of another kind. Tag is an empty struct that makes the type unique.
template<typename Tag>
class StringId
{
public:
  StringId() = default;
  explicit StringId(std::string aValue)
    : value_(std::move(aValue))
  {
  }

  const std::string& Value() const { return value_; }
  bool IsEmpty() const { return value_.empty(); }

  auto operator<=>(const StringId&) const = default;

private:
  std::string value_;
};

/// A number that cannot be confused with a number of another kind. Zero means "none".
template<typename Tag>
class NumberId
{
public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(uint64_t aValue)
    : value_(aValue)
  {
  }

  constexpr uint64_t Value() const { return value_; }
  constexpr bool IsNone() const { return value_ == 0; }
  constexpr NumberId Next() const { return NumberId(value_ + 1); }

  constexpr auto operator<=>(const NumberId&) const = default;

private:
  uint64_t value_ = 0;
};

template<typename Tag>
std::ostream&
operator<<(std::ostream& aOut, const StringId<Tag>& aId)
{
  return aOut << aId.Value();
}

template<typename Tag>
std::ostream&
operator<<(std::ostream& aOut, const NumberId<Tag>& aId)
{
  return aOut << aId.Value();
}

/// A process of the query tier. Unique among live processes.
using InstanceId = StringId<struct InstanceIdTag>;
using DataCentre = StringId<struct DataCentreTag>;
using CallerName = StringId<struct CallerNameTag>;
using ServiceName = StringId<struct ServiceNameTag>;
using ShardName = StringId<struct ShardNameTag>;
using TargetName = StringId<struct TargetNameTag>;
/// "ip:port" of a target's HTTP listener.
using TargetAddress = StringId<struct TargetAddressTag>;
/// "ip:port" of an instance's nng listener.
using PeerAddress = StringId<struct PeerAddressTag>;
/// Identifies one run of a target process; it changes at each restart.
using BootId = StringId<struct BootIdTag>;
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;
/// A set of interchangeable targets. A route relays to one pool, or gathers from several, one for each shard.
using PoolName = StringId<struct PoolNameTag>;
using RouteName = StringId<struct RouteNameTag>;

using IndexVersion = NumberId<struct IndexVersionTag>;
using ConfigVersion = NumberId<struct ConfigVersionTag>;
/// Start time of an instance in microseconds since the epoch; a later start has a higher value.
using Incarnation = NumberId<struct IncarnationTag>;
/// Hash of a query's service and body; equal for each resend of the same query.
using Fingerprint = NumberId<struct FingerprintTag>;
/// Version of one object in the platform's object API.
using StoreRevision = NumberId<struct StoreRevisionTag>;
using TimerId = NumberId<struct TimerIdTag>;
/// One call to a target on a TargetLink.
using CallId = NumberId<struct CallIdTag>;
/// One request of a caller in a router.
using RunId = NumberId<struct RunIdTag>;

/// Identifies one query run. The incarnation keeps a restarted instance from reusing an id.
struct RequestId
{
  InstanceId origin_;
  Incarnation incarnation_;
  uint64_t sequence_ = 0;

  auto operator<=>(const RequestId&) const = default;
};

/// Identifies one attempt of one shard of a query run.
struct AttemptId
{
  RequestId request_;
  uint32_t number_ = 0;

  auto operator<=>(const AttemptId&) const = default;
};

/// Text form used in logs and HTTP headers, for example "entry-1/1700000000/42".
std::string
ToString(const RequestId& aId);
std::string
ToString(const AttemptId& aId);

} // namespace ibisrock

template<typename Tag>
struct std::hash<ibisrock::StringId<Tag>>
{
  size_t operator()(const ibisrock::StringId<Tag>& aId) const { return std::hash<std::string>()(aId.Value()); }
};

template<typename Tag>
struct std::hash<ibisrock::NumberId<Tag>>
{
  size_t operator()(const ibisrock::NumberId<Tag>& aId) const { return std::hash<uint64_t>()(aId.Value()); }
};

#endif
