#ifndef IBISROCK_WIRE_MSGPACK_TYPES_H
#define IBISROCK_WIRE_MSGPACK_TYPES_H

#include "base/ids.h"
#include "base/target_client.h"
#include "base/units.h"
#include "base/verdict.h"
#include "wire/messages.h"

#include <array>
#include <msgpack.hpp>
#include <tuple>
#include <variant>

namespace ibisrock::wire {

/// Lists the fields of a struct in wire order. Every specialization has a static function Tie that works for const
/// and mutable objects. New fields go last, because a receiver of an older version reads a prefix.
template<typename T>
struct Fields;

template<typename T>
concept HasFields = requires(T& aValue)
{
  Fields<T>::Tie(aValue);
};

/// Largest valid value of an enum that travels in messages.
template<typename T>
struct EnumLimit;

template<typename T>
concept WireEnum = requires
{
  EnumLimit<T>::kLast;
};

template<>
struct EnumLimit<Verdict>
{
  static constexpr Verdict kLast = Verdict::MayHaveRun;
};

template<>
struct EnumLimit<Reason>
{
  static constexpr Reason kLast = Reason::Malformed;
};

template<>
struct EnumLimit<TargetState>
{
  static constexpr TargetState kLast = TargetState::Draining;
};

template<>
struct EnumLimit<MemberState>
{
  static constexpr MemberState kLast = MemberState::Dead;
};

template<>
struct EnumLimit<CrashState>
{
  static constexpr CrashState kLast = CrashState::Blocked;
};

template<>
struct Fields<RequestId>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.origin_, aValue.incarnation_, aValue.sequence_); }
};

template<>
struct Fields<AttemptId>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.request_, aValue.number_); }
};

template<>
struct Fields<Match>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.id_, aValue.text_); }
};

template<>
struct Fields<TargetReply>
{
  static auto Tie(auto& aValue)
  {
    return std::tie(
      aValue.verdict_, aValue.reason_, aValue.version_, aValue.matches_, aValue.held_, aValue.state_, aValue.boot_);
  }
};

template<>
struct Fields<SubRequest>
{
  static auto Tie(auto& aValue)
  {
    return std::tie(aValue.id_,
                    aValue.caller_,
                    aValue.service_,
                    aValue.shard_,
                    aValue.target_,
                    aValue.version_,
                    aValue.body_,
                    aValue.idempotent_,
                    aValue.alone_,
                    aValue.fingerprint_,
                    aValue.budget_);
  }
};

template<>
struct Fields<SubReply>
{
  static auto Tie(auto& aValue)
  {
    return std::tie(
      aValue.id_, aValue.reply_, aValue.touchedTarget_, aValue.inFlightAtLoss_, aValue.queueWait_, aValue.queueLength_);
  }
};

template<>
struct Fields<CancelAttempt>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.id_, aValue.target_); }
};

template<>
struct Fields<MemberUpdate>
{
  static auto Tie(auto& aValue)
  {
    return std::tie(aValue.id_, aValue.address_, aValue.dataCentre_, aValue.incarnation_, aValue.state_);
  }
};

template<>
struct Fields<TargetUpdate>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.target_, aValue.boot_, aValue.state_, aValue.held_); }
};

template<>
struct Fields<CrashUpdate>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.fingerprint_, aValue.state_, aValue.age_); }
};

template<>
struct Fields<VersionUpdate>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.object_, aValue.version_, aValue.holder_); }
};

template<>
struct Fields<GossipMessage>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.updates_); }
};

template<>
struct Fields<Ping>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.sequence_, aValue.sender_, aValue.updates_); }
};

template<>
struct Fields<Ack>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.sequence_, aValue.sender_, aValue.updates_); }
};

template<>
struct Fields<PingRequest>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.sequence_, aValue.subject_, aValue.sender_, aValue.updates_); }
};

template<>
struct Fields<ObjectVersion>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.object_, aValue.version_, aValue.hash_); }
};

template<>
struct Fields<ConfigDigest>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.objects_, aValue.isQuestion_); }
};

template<>
struct Fields<ConfigFetch>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.keys_); }
};

template<>
struct Fields<StoredValue>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.key_, aValue.value_); }
};

template<>
struct Fields<ConfigParts>
{
  static auto Tie(auto& aValue) { return std::tie(aValue.values_); }
};

} // namespace ibisrock::wire

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
  namespace adaptor {

  template<typename Tag>
  struct convert<ibisrock::StringId<Tag>>
  {
    const msgpack::object& operator()(const msgpack::object& aObject, ibisrock::StringId<Tag>& aId) const
    {
      aId = ibisrock::StringId<Tag>(aObject.as<std::string>());
      return aObject;
    }
  };

  template<typename Tag>
  struct pack<ibisrock::StringId<Tag>>
  {
    template<typename Stream>
    packer<Stream>& operator()(packer<Stream>& aPacker, const ibisrock::StringId<Tag>& aId) const
    {
      return aPacker.pack(aId.Value());
    }
  };

  template<typename Tag>
  struct convert<ibisrock::NumberId<Tag>>
  {
    const msgpack::object& operator()(const msgpack::object& aObject, ibisrock::NumberId<Tag>& aId) const
    {
      aId = ibisrock::NumberId<Tag>(aObject.as<uint64_t>());
      return aObject;
    }
  };

  template<typename Tag>
  struct pack<ibisrock::NumberId<Tag>>
  {
    template<typename Stream>
    packer<Stream>& operator()(packer<Stream>& aPacker, const ibisrock::NumberId<Tag>& aId) const
    {
      return aPacker.pack(aId.Value());
    }
  };

  template<>
  struct convert<ibisrock::Micros>
  {
    const msgpack::object& operator()(const msgpack::object& aObject, ibisrock::Micros& aValue) const
    {
      aValue = ibisrock::Micros(aObject.as<int64_t>());
      return aObject;
    }
  };

  template<>
  struct pack<ibisrock::Micros>
  {
    template<typename Stream>
    packer<Stream>& operator()(packer<Stream>& aPacker, const ibisrock::Micros& aValue) const
    {
      return aPacker.pack(static_cast<int64_t>(aValue.count()));
    }
  };

  /// A variant travels as an array of the position of its alternative and the value.
  template<typename... Types>
  struct pack<std::variant<Types...>>
  {
    template<typename Stream>
    packer<Stream>& operator()(packer<Stream>& aPacker, const std::variant<Types...>& aValue) const
    {
      aPacker.pack_array(2);
      aPacker.pack(static_cast<uint8_t>(aValue.index()));
      std::visit([&aPacker](const auto& aAlternative) { aPacker.pack(aAlternative); }, aValue);
      return aPacker;
    }
  };

  template<typename... Types>
  struct convert<std::variant<Types...>>
  {
    using Decoder = std::variant<Types...> (*)(const msgpack::object&);

    template<typename T>
    static std::variant<Types...> DecodeAs(const msgpack::object& aObject)
    {
      return aObject.as<T>();
    }

    const msgpack::object& operator()(const msgpack::object& aObject, std::variant<Types...>& aValue) const
    {
      static constexpr std::array<Decoder, sizeof...(Types)> kDecoders = { &DecodeAs<Types>... };
      if (aObject.type != msgpack::type::ARRAY || aObject.via.array.size != 2) {
        throw msgpack::type_error();
      }
      const auto index = aObject.via.array.ptr[0].as<uint8_t>();
      if (index >= kDecoders.size()) {
        throw msgpack::type_error();
      }
      aValue = kDecoders[index](aObject.via.array.ptr[1]);
      return aObject;
    }
  };

  template<ibisrock::wire::WireEnum T>
  struct convert<T>
  {
    const msgpack::object& operator()(const msgpack::object& aObject, T& aValue) const
    {
      const auto number = aObject.as<uint8_t>();
      if (number > static_cast<uint8_t>(ibisrock::wire::EnumLimit<T>::kLast)) {
        throw msgpack::type_error();
      }
      aValue = static_cast<T>(number);
      return aObject;
    }
  };

  template<ibisrock::wire::WireEnum T>
  struct pack<T>
  {
    template<typename Stream>
    packer<Stream>& operator()(packer<Stream>& aPacker, const T& aValue) const
    {
      return aPacker.pack(static_cast<uint8_t>(aValue));
    }
  };

  template<ibisrock::wire::HasFields T>
  struct convert<T>
  {
    const msgpack::object& operator()(const msgpack::object& aObject, T& aValue) const
    {
      auto fields = ibisrock::wire::Fields<T>::Tie(aValue);
      aObject.convert(fields);
      return aObject;
    }
  };

  template<ibisrock::wire::HasFields T>
  struct pack<T>
  {
    template<typename Stream>
    packer<Stream>& operator()(packer<Stream>& aPacker, const T& aValue) const
    {
      return aPacker.pack(ibisrock::wire::Fields<T>::Tie(aValue));
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

#endif
