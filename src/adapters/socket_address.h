#ifndef IBISROCK_ADAPTERS_SOCKET_ADDRESS_H
#define IBISROCK_ADAPTERS_SOCKET_ADDRESS_H

#include "base/last_reason.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ibisrock::adapters {

struct SocketAddress
{
  std::string ip_;
  uint16_t port_ = 0;
};

/// Splits "ip:port". Returns no value when the port is missing or not between 1 and 65535.
std::optional<SocketAddress>
ParseSocketAddress(const std::string& aText, LastReason& aReason);

} // namespace ibisrock::adapters

#endif
