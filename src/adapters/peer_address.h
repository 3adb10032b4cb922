#ifndef IBISROCK_ADAPTERS_PEER_ADDRESS_H
#define IBISROCK_ADAPTERS_PEER_ADDRESS_H

#include <string>

namespace cxxtools::net {
class TcpSocket;
}

namespace ibisrock::adapters {

/// "ip:port" of the peer. In a file of its own, because the header of the socket does not compile as C++20.
std::string
PeerAddress(const cxxtools::net::TcpSocket& aSocket);

} // namespace ibisrock::adapters

#endif
