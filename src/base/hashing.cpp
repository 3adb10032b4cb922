#include "base/hashing.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace ibisrock {

uint64_t
HashBytes(std::string_view aBytes, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::string
ContentHash(std::string_view aBytes)
{
  const XXH128_hash_t hash = XXH3_128bits(aBytes.data(), aBytes.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, uint64_t(hash.high64), uint64_t(hash.low64));
  return text.data();
}

Fingerprint
QueryFingerprint(const ServiceName& aService, std::string_view aBody)
{
  return Fingerprint(HashBytes(aBody, HashBytes(aService.Value())));
}

uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode)
{
  return HashBytes(aNode, HashBytes(aKey));
}

} // namespace ibisrock
