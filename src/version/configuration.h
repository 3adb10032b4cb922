#ifndef IBISROCK_VERSION_CONFIGURATION_H
#define IBISROCK_VERSION_CONFIGURATION_H

#include "base/ids.h"
#include "base/last_reason.h"
#include "base/units.h"
#include "version/shard_map.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace ibisrock {

/// Whether a service prefers low latency or full shard coverage when it cannot have both.
enum class Priority : uint8_t
{
  /// Answers at the soft deadline with the shards that have replied.
  Latency,
  /// Waits for all shards until the deadline.
  Coverage,
};

/// One replica of one shard and its capacity limits.
struct TargetConfig
{
  TargetName name_;
  ShardName shard_;
  TargetAddress address_;
  DataCentre dataCentre_;
  /// Maximum number of concurrent attempts on the target.
  uint32_t slots_ = 0;
  /// Maximum number of connections that the target accepts from all instances together.
  uint32_t connections_ = 0;
  Micros connectTime_{};

  bool operator==(const TargetConfig&) const = default;
};

/// Configuration of one service of the sheet.
struct ServiceConfig
{
  ServiceName name_;
  Priority priority_ = Priority::Latency;
  Micros deadline_{};
  Micros softDeadline_{};
  PerSecond maxQueries_;
  uint32_t maxConcurrent_ = 0;
  /// Rate limits per caller; a caller that is not listed is limited by maxQueries_ alone.
  std::map<CallerName, PerSecond> callerLimits_;
  std::map<TargetName, TargetConfig> targets_;
  /// Shard map of the index version that the sheet names.
  ShardMap shardMap_;

  bool operator==(const ServiceConfig&) const = default;
};

/// Content of one accepted sheet. Immutable once it is in force.
struct Configuration
{
  ConfigVersion version_;
  std::string hash_;
  std::map<ServiceName, std::shared_ptr<const ServiceConfig>> services_;
};

/// Serializes one service as JSON with sorted keys, so that equal services have equal text.
std::string
EncodeService(const ServiceConfig& aService);

std::optional<ServiceConfig>
DecodeService(const std::string& aText, LastReason& aReason);

} // namespace ibisrock

#endif
