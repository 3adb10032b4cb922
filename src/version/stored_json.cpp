#include "version/stored_json.h"

namespace ibisrock {

using nlohmann::json;

uint64_t
ReadStoredNumber(const json& aObject, const char* aKey, uint64_t aMaximum)
{
  const json& value = aObject.at(aKey);
  if (!value.is_number_unsigned() || value.get<uint64_t>() > aMaximum) {
    throw StoredValueError(std::string(aKey) + " is not a whole number up to " + std::to_string(aMaximum));
  }
  return value.get<uint64_t>();
}

json
EncodeShards(const ShardTargets& aShards)
{
  json shards = json::object();
  for (const auto& [shard, targets] : aShards) {
    json& names = shards[shard.Value()] = json::array();
    for (const TargetName& target : targets) {
      names.push_back(target.Value());
    }
  }
  return shards;
}

ShardTargets
DecodeShards(const json& aValue)
{
  if (!aValue.is_object()) {
    throw StoredValueError("the shards are not an object");
  }
  ShardTargets shards;
  for (const auto& [shard, names] : aValue.items()) {
    std::vector<TargetName>& targets = shards[ShardName(shard)];
    for (const json& name : names) {
      targets.emplace_back(name.get<std::string>());
    }
    if (targets.empty()) {
      throw StoredValueError("shard " + shard + " has no target");
    }
  }
  return shards;
}

} // namespace ibisrock
