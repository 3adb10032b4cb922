#ifndef IBISROCK_VERSION_STORED_JSON_H
#define IBISROCK_VERSION_STORED_JSON_H

#include "base/last_reason.h"
#include "version/shard_map.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace ibisrock {

/// Thrown for a stored value that is valid JSON but does not have the expected structure.
class StoredValueError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Reads an unsigned integer of at most aMaximum. Throws for any other value, which the JSON library's conversion would
/// silently truncate.
uint64_t
ReadStoredNumber(const nlohmann::json& aObject, const char* aKey, uint64_t aMaximum);

using ShardTargets = decltype(ShardMap::shards_);

nlohmann::json
EncodeShards(const ShardTargets& aShards);

/// Throws if the value is malformed or a shard has no target.
ShardTargets
DecodeShards(const nlohmann::json& aValue);

/// Parses aText as JSON and decodes it with aDecode, which throws for a malformed value. aKind is the name of the value
/// in the error text that is stored in aReason.
template<typename T>
std::optional<T>
DecodeStored(const std::string& aText, const char* aKind, T (*aDecode)(const nlohmann::json&), LastReason& aReason)
{
  try {
    return aDecode(nlohmann::json::parse(aText));
  } catch (const std::exception& error) {
    aReason.Set(std::string("stored ") + aKind + " is malformed: " + error.what());
    return std::nullopt;
  }
}

} // namespace ibisrock

#endif
