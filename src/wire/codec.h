#ifndef IBISROCK_WIRE_CODEC_H
#define IBISROCK_WIRE_CODEC_H

#include "base/last_reason.h"
#include "wire/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace ibisrock::wire {

/// Version of the message format; a message of another version is refused.
constexpr uint8_t kProtocolVersion = 1;

std::string
Encode(const Envelope& aEnvelope);

/// Returns no value for anything that Encode did not make, whatever its size or content.
std::optional<Envelope>
Decode(std::string_view aBytes, LastReason& aReason);

/// Bytes that an update takes up in a message.
size_t
EncodedSize(const Update& aUpdate);

} // namespace ibisrock::wire

#endif
