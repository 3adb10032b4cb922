#include "version/configuration.h"

#include <nlohmann/json.hpp>

namespace ibisrock {

namespace {

using nlohmann::json;

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
  target.slots_ = aValue.at("slots").get<uint32_t>();
  target.connections_ = aValue.at("connections").get<uint32_t>();
  target.connectTime_ = Micros(aValue.at("connect_us").get<int64_t>());
  return target;
}

json
EncodeShards(const ShardMap& aMap)
{
  json shards = json::object();
  for (const auto& [shard, targets] : aMap.shards_) {
    json& names = shards[shard.Value()] = json::array();
    for (const TargetName& target : targets) {
      names.push_back(target.Value());
    }
  }
  return shards;
}

void
DecodeShards(const json& aValue, ShardMap& aMap)
{
  for (const auto& [shard, names] : aValue.items()) {
    std::vector<TargetName>& targets = aMap.shards_[ShardName(shard)];
    for (const json& name : names) {
      targets.emplace_back(name.get<std::string>());
    }
  }
}

ServiceConfig
DecodeServiceValue(const json& aValue)
{
  ServiceConfig service;
  service.name_ = ServiceName(aValue.at("name").get<std::string>());
  service.priority_ = aValue.at("priority") == "coverage" ? Priority::Coverage : Priority::Latency;
  service.deadline_ = Micros(aValue.at("deadline_us").get<int64_t>());
  service.softDeadline_ = Micros(aValue.at("soft_deadline_us").get<int64_t>());
  service.maxQueries_ = PerSecond{ aValue.at("queries_per_second").get<double>() };
  service.maxConcurrent_ = aValue.at("concurrent").get<uint32_t>();
  service.shardMap_.version_ = IndexVersion(aValue.at("index_version").get<uint64_t>());
  DecodeShards(aValue.at("shards"), service.shardMap_);
  for (const auto& [name, limit] : aValue.at("callers").items()) {
    service.callerLimits_[CallerName(name)] = PerSecond{ limit.get<double>() };
  }
  for (const auto& [name, target] : aValue.at("targets").items()) {
    service.targets_[TargetName(name)] = DecodeTarget(name, target);
  }
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
    { "shards", EncodeShards(aService.shardMap_) },
    { "callers", callers },
    { "targets", targets }
  }.dump();
}

std::optional<ServiceConfig>
DecodeService(const std::string& aText, LastReason& aReason)
{
  try {
    return DecodeServiceValue(json::parse(aText));
  } catch (const json::exception& error) {
    aReason.Set(std::string("stored service is malformed: ") + error.what());
    return std::nullopt;
  }
}

} // namespace ibisrock
