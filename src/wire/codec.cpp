#include "wire/codec.h"

#include "wire/msgpack_types.h"

#include <array>
#include <exception>
#include <utility>

namespace ibisrock::wire {

namespace {

using DecodeBody = Body (*)(const msgpack::object&);

template<typename T>
Body
DecodeAs(const msgpack::object& aObject)
{
  return aObject.as<T>();
}

template<size_t... Index>
constexpr std::array<DecodeBody, sizeof...(Index)>
MakeDecoders(std::index_sequence<Index...> /*aIndexes*/)
{
  return { &DecodeAs<std::variant_alternative_t<Index, Body>>... };
}

/// One decoder for each alternative of Body, in its order; the position is the message's kind on the wire.
constexpr auto kDecoders = MakeDecoders(std::make_index_sequence<std::variant_size_v<Body>>());

/// Position of each field in the array that makes an envelope.
enum EnvelopeField : uint8_t
{
  eProtocol,
  eFrom,
  eReplyTo,
  eIncarnation,
  eSentAt,
  eKind,
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
                   kDecoders.at(fields[eKind].as<uint8_t>())(fields[eBody]) };
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
  packer.pack(static_cast<uint8_t>(aEnvelope.body_.index()));
  std::visit([&packer](const auto& aBody) { packer.pack(aBody); }, aEnvelope.body_);
  return { buffer.data(), buffer.size() };
}

std::optional<Envelope>
Decode(std::string_view aBytes, LastReason& aReason)
{
  try {
    const msgpack::object_handle handle = msgpack::unpack(aBytes.data(), aBytes.size());
    return DecodeObject(handle.get());
  } catch (const std::exception& error) {
    aReason.Set(std::string("message is malformed: ") + error.what());
    return std::nullopt;
  }
}

} // namespace ibisrock::wire
