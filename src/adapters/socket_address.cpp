#include "adapters/socket_address.h"

#include <charconv>

namespace ibisrock::adapters {

std::optional<SocketAddress>
ParseSocketAddress(const std::string& aText, LastReason& aReason)
{
  const size_t colon = aText.rfind(':');
  SocketAddress address;
  if (colon != std::string::npos && colon > 0) {
    const char* first = aText.data() + colon + 1;
    const char* last = aText.data() + aText.size();
    auto [end, error] = std::from_chars(first, last, address.port_);
    if (error == std::errc() && end == last && address.port_ != 0) {
      address.ip_ = aText.substr(0, colon);
      return address;
    }
  }
  aReason.Set("\"" + aText + "\" is not of the form ip:port");
  return std::nullopt;
}

} // namespace ibisrock::adapters
