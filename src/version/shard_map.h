#ifndef IBISROCK_VERSION_SHARD_MAP_H
#define IBISROCK_VERSION_SHARD_MAP_H

#include "base/ids.h"

#include <map>
#include <vector>

namespace ibisrock {

/// The shards of one index version and the targets that hold each of them.
struct ShardMap
{
  IndexVersion version_;
  std::map<ShardName, std::vector<TargetName>> shards_;

  bool operator==(const ShardMap&) const = default;
};

} // namespace ibisrock

#endif
