#include "wire/codec.h"

#include "wire/msgpack_types.h"

#include <exception>

namespace ibisrock::wire {

namespace {

/// Deepest nesting of arrays in a message.
constexpr size_t kMaxDepth = 32;

/// Position of each field in the array that makes an envelope.
enum EnvelopeField : uint8_t
{
  eProtocol,
  eFrom,
  eReplyTo,
  eIncarnation,
  eSentAt,
  eBody,
  eFieldCount,
};

Envelope
DecodeObject(const msgpack::object& aObject)
{
  if (aObject.type != msgpack::type::ARRAY || aObject.via.array.size != eFieldCount) {
    throw msgpack::type_error();
  }
  const msgpack::object* fields = aObject.via.array.ptr;
  if (fields[eProtocol].as<uint8_t>() != kProtocolVersion) {
    throw msgpack::type_error();
  }
  return Envelope{ fields[eFrom].as<InstanceId>(),
                   fields[eReplyTo].as<PeerAddress>(),
                   fields[eIncarnation].as<Incarnation>(),
                   fields[eSentAt].as<Micros>(),
                   fields[eBody].as<Body>() };
}

} // namespace

std::string
Encode(const Envelope& aEnvelope)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(eFieldCount);
  packer.pack(kProtocolVersion);
  packer.pack(aEnvelope.from_);
  packer.pack(aEnvelope.replyTo_);
  packer.pack(aEnvelope.incarnation_);
  packer.pack(aEnvelope.sentAt_);
  packer.pack(aEnvelope.body_);
  return { buffer.data(), buffer.size() };
}

std::optional<Envelope>
Decode(std::string_view aBytes, LastReason& aReason)
{
  try {
    // No element of a message takes less than one byte. Without these limits, a header that announces 2^32 elements
    // makes the library reserve memory for all of them.
    const msgpack::unpack_limit limit(
      aBytes.size(), aBytes.size(), aBytes.size(), aBytes.size(), aBytes.size(), kMaxDepth);
    const msgpack::object_handle handle = msgpack::unpack(aBytes.data(), aBytes.size(), nullptr, nullptr, limit);
    return DecodeObject(handle.get());
  } catch (const std::exception& error) {
    aReason.Set(std::string("message is malformed: ") + error.what());
    return std::nullopt;
  }
}

size_t
EncodedSize(const Update& aUpdate)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aUpdate);
  return buffer.size();
}

} // namespace ibisrock::wire
