#ifndef IBISROCK_VERSION_SHEET_CHECKS_H
#define IBISROCK_VERSION_SHEET_CHECKS_H

#include "version/configuration.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ibisrock {

/// Longest name of a service, caller, shard, target or data centre, in characters.
constexpr size_t kMaxNameLength = 128;
/// Most services of one sheet. With names and hashes of full length, the manifest stays below the store's 1 MB.
constexpr size_t kMaxServices = 4000;
/// Largest slots and connections of a target.
constexpr uint64_t kMaxTargetLimit = 65535;
/// Longest deadline and connection set-up time, in ms (one hour).
constexpr uint64_t kMaxMillis = 3'600'000;
constexpr uint64_t kMaxRate = 1'000'000'000;
constexpr uint64_t kMaxConcurrent = 1'000'000'000;
/// Largest version number; JSON readers in other languages hold whole numbers exactly only up to 2^53.
constexpr uint64_t kMaxVersion = uint64_t(1) << 53U;

/// Why a name cannot be part of a URL path and a store key; no value for a valid name.
std::optional<std::string>
FindNameFault(const std::string& aName);

/// True for an IPv4 address and a port from 1 to 65535, joined by a colon.
bool
IsIpAndPort(const std::string& aText);

/// Parses a whole decimal number in [aMinimum, aMaximum].
std::optional<uint64_t>
ParseNumber(const std::string& aText, uint64_t aMinimum, uint64_t aMaximum);

/// True when two rows of one target name agree in everything that belongs to the target and not to its shard.
bool
EqualsExceptShard(const TargetConfig& aLeft, const TargetConfig& aRight);

} // namespace ibisrock

#endif
