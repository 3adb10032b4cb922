#ifndef IBISROCK_VERSION_SHEET_CHECKS_H
#define IBISROCK_VERSION_SHEET_CHECKS_H

#include "version/configuration.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ibisrock {

/// Maximum length of the name of a service, caller, shard, target or data centre, in characters.
constexpr size_t kMaxNameLength = 128;
/// Maximum number of services in one sheet. Even with names and hashes of maximum length, the manifest stays below the
/// 1 MB limit of the store.
constexpr size_t kMaxServices = 4000;
/// Maximum number of slots and of connections of a target.
constexpr uint64_t kMaxTargetLimit = 65535;
/// Maximum deadline and connection set-up time, in ms (one hour).
constexpr uint64_t kMaxMillis = 3'600'000;
constexpr uint64_t kMaxRate = 1'000'000'000;
constexpr uint64_t kMaxConcurrent = 1'000'000'000;
/// Maximum version number. JSON parsers in other languages represent integers exactly only up to 2^53.
constexpr uint64_t kMaxVersion = uint64_t(1) << 53U;

/// Returns why a name cannot be used in a URL path and a store key, or no value for a valid name.
std::optional<std::string>
FindNameFault(const std::string& aName);

/// True for an IPv4 address and a port from 1 to 65535, separated by a colon.
bool
IsIpAndPort(const std::string& aText);

/// Parses an unsigned decimal integer in [aMinimum, aMaximum]. Returns no value for any other text.
std::optional<uint64_t>
ParseNumber(const std::string& aText, uint64_t aMinimum, uint64_t aMaximum);

/// Compares all fields of two target rows but the shard, which may differ between the services that share a target.
bool
EqualsExceptShard(const TargetConfig& aLeft, const TargetConfig& aRight);

} // namespace ibisrock

#endif
