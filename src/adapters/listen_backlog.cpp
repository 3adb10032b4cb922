#include "adapters/listen_backlog.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace ibisrock::adapters {

namespace {

bool
ListensOn(int aSocket, const sockaddr_in& aAddress)
{
  int listening = 0;
  socklen_t size = sizeof(listening);
  if (getsockopt(aSocket, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0 || listening == 0) {
    return false;
  }
  sockaddr_in bound{};
  size = sizeof(bound);
  return getsockname(aSocket, reinterpret_cast<sockaddr*>(&bound), &size) == 0 && bound.sin_family == AF_INET &&
         bound.sin_port == aAddress.sin_port && bound.sin_addr.s_addr == aAddress.sin_addr.s_addr;
}

} // namespace

// cxxtools::http::Server fixes its backlog and hides its socket. listen() on a listening socket changes the backlog, so
// the socket is looked up among the descriptors of the process. A listening socket is opened early and has a low
// number.
bool
SetListenBacklog(const SocketAddress& aAddress, unsigned aBacklog, LastReason& aReason)
{
  sockaddr_in address{};
  address.sin_port = htons(aAddress.port_);
  rlimit limit{};
  if (inet_pton(AF_INET, aAddress.ip_.c_str(), &address.sin_addr) == 1 && getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    constexpr rlim_t kHighest = 65536;
    const int end = static_cast<int>(std::min(limit.rlim_cur, kHighest));
    for (int descriptor = 0; descriptor < end; descriptor++) {
      if (ListensOn(descriptor, address)) {
        return listen(descriptor, static_cast<int>(aBacklog)) == 0;
      }
    }
  }
  aReason.Set("no socket listens on " + aAddress.ip_ + ":" + std::to_string(aAddress.port_));
  return false;
}

} // namespace ibisrock::adapters
