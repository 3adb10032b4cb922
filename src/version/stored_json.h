#ifndef IBISROCK_VERSION_STORED_JSON_H
#define IBISROCK_VERSION_STORED_JSON_H

#include "base/last_reason.h"
#include "version/shard_map.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace ibisrock {

/// A stored value that is valid JSON but not what its reader expects.
class StoredValueError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Reads a whole number up to aMaximum. Throws for anything else, where the library's conversion would cut it off.
uint64_t
ReadStoredNumber(const nlohmann::json& aObject, const char* aKey, uint64_t aMaximum);

using ShardTargets = decltype(ShardMap::shards_);

nlohmann::json
EncodeShards(const ShardTargets& aShards);

/// Throws when the value is malformed or a shard has no target.
ShardTargets
DecodeShards(const nlohmann::json& aValue);

/// Parses aText and decodes it with aDecode, which throws for a malformed value. aKind names the value in aReason.
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
