#ifndef IBISROCK_BASE_HASHING_H
#define IBISROCK_BASE_HASHING_H

#include "base/ids.h"

#include <string>
#include <string_view>

namespace ibisrock {

/// 64-bit xxhash (XXH3) of the bytes; equal on every machine.
uint64_t
HashBytes(std::string_view aBytes, uint64_t aSeed = 0);

/// 128-bit xxhash of the bytes as 32 hexadecimal digits, used as the address of stored content.
std::string
ContentHash(std::string_view aBytes);

/// Identity of a query for the crash guard and the idempotency record.
Fingerprint
QueryFingerprint(const ServiceName& aService, std::string_view aBody);

/// Weight of a node for a key in rendezvous hashing; the node with the highest weight gets the key.
uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aNode);

} // namespace ibisrock

#endif
