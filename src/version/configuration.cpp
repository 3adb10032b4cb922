#include "version/configuration.h"

#include "version/stored_json.h"

namespace ibisrock {

namespace {

using nlohmann::json;

/// Largest stored duration, in microseconds. It exceeds every limit of the sheet by far and can be added to a time
/// point without overflow.
constexpr uint64_t kMaxStoredMicros = uint64_t(1) << 53U;

json
EncodeTarget(const TargetConfig& aTarget)
{
  return { { "shard", aTarget.shard_.Value() },
           { "address", aTarget.address_.Value() },
           { "data_centre", aTarget.dataCentre_.Value() },
           { "slots", aTarget.slots_ },
           { "connections", aTarget.connections_ },
           { "connect_us", aTarget.connectTime_.count() } };
}

TargetConfig
DecodeTarget(const std::string& aName, const json& aValue)
{
  TargetConfig target;
  target.name_ = TargetName(aName);
  target.shard_ = ShardName(aValue.at("shard").get<std::string>());
  target.address_ = TargetAddress(aValue.at("address").get<std::string>());
  target.dataCentre_ = DataCentre(aValue.at("data_centre").get<std::string>());
  target.slots_ = static_cast<uint32_t>(ReadStoredNumber(aValue, "slots", UINT32_MAX));
  target.connections_ = static_cast<uint32_t>(ReadStoredNumber(aValue, "connections", UINT32_MAX));
  target.connectTime_ = Micros(ReadStoredNumber(aValue, "connect_us", kMaxStoredMicros));
  return target;
}

/// Checks an invariant of the dispatch of queries: every target of a shard is described in the targets of the service.
/// That every shard has a target is checked by DecodeShards.
void
CheckShards(const ServiceConfig& aService)
{
  for (const auto& [shard, targets] : aService.shardMap_.shards_) {
    for (const TargetName& target : targets) {
      if (!aService.targets_.contains(target)) {
        throw StoredValueError("shard " + shard.Value() + " refers to an unknown target");
      }
    }
  }
}

Priority
DecodePriority(const json& aValue)
{
  if (aValue == "coverage") {
    return Priority::Coverage;
  }
  if (aValue == "latency") {
    return Priority::Latency;
  }
  throw StoredValueError("unknown priority");
}

ServiceConfig
DecodeServiceValue(const json& aValue)
{
  ServiceConfig service;
  service.name_ = ServiceName(aValue.at("name").get<std::string>());
  service.priority_ = DecodePriority(aValue.at("priority"));
  service.deadline_ = Micros(ReadStoredNumber(aValue, "deadline_us", kMaxStoredMicros));
  service.softDeadline_ = Micros(ReadStoredNumber(aValue, "soft_deadline_us", kMaxStoredMicros));
  service.maxQueries_ = PerSecond{ aValue.at("queries_per_second").get<double>() };
  service.maxConcurrent_ = static_cast<uint32_t>(ReadStoredNumber(aValue, "concurrent", UINT32_MAX));
  service.shardMap_.version_ = IndexVersion(ReadStoredNumber(aValue, "index_version", UINT64_MAX));
  service.shardMap_.shards_ = DecodeShards(aValue.at("shards"));
  for (const auto& [name, limit] : aValue.at("callers").items()) {
    service.callerLimits_[CallerName(name)] = PerSecond{ limit.get<double>() };
  }
  for (const auto& [name, target] : aValue.at("targets").items()) {
    service.targets_[TargetName(name)] = DecodeTarget(name, target);
  }
  CheckShards(service);
  return service;
}

} // namespace

std::string
EncodeService(const ServiceConfig& aService)
{
  json callers = json::object();
  for (const auto& [name, limit] : aService.callerLimits_) {
    callers[name.Value()] = limit.value_;
  }
  json targets = json::object();
  for (const auto& [name, target] : aService.targets_) {
    targets[name.Value()] = EncodeTarget(target);
  }
  return json{
    { "name", aService.name_.Value() },
    { "priority", aService.priority_ == Priority::Coverage ? "coverage" : "latency" },
    { "deadline_us", aService.deadline_.count() },
    { "soft_deadline_us", aService.softDeadline_.count() },
    { "queries_per_second", aService.maxQueries_.value_ },
    { "concurrent", aService.maxConcurrent_ },
    { "index_version", aService.shardMap_.version_.Value() },
    { "shards", EncodeShards(aService.shardMap_.shards_) },
    { "callers", callers },
    { "targets", targets }
  }.dump();
}

std::optional<ServiceConfig>
DecodeService(const std::string& aText, LastReason& aReason)
{
  return DecodeStored(aText, "service", &DecodeServiceValue, aReason);
}

} // namespace ibisrock
