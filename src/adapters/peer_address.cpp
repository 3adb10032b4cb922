#include "adapters/peer_address.h"

#include <cxxtools/net/tcpsocket.h>

namespace ibisrock::adapters {

std::string
PeerAddress(const cxxtools::net::TcpSocket& aSocket)
{
  return aSocket.getPeerAddr();
}

} // namespace ibisrock::adapters
