#ifndef IBISROCK_TESTS_FREE_PORT_H
#define IBISROCK_TESTS_FREE_PORT_H

#include <cerrno>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace ibisrock {

/// A loopback port that no other process can take and that refuses connections while this object lives.
class ReservedPort
{
public:
  ReservedPort()
    : socket_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(socket_, generic, size) != 0 || getsockname(socket_, generic, &size) != 0) {
      const int error = errno;
      close(socket_);
      throw std::system_error(error, std::generic_category(), "no free port");
    }
    port_ = ntohs(address.sin_port);
  }
  ~ReservedPort() { close(socket_); }

  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  uint16_t Port() const { return port_; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
  const int socket_;
  uint16_t port_ = 0;
};

/// A loopback port to listen on, so that several test runs can share a machine. To be asked for just before listening,
/// because another process can take the port in between.
inline uint16_t
FreePort()
{
  return ReservedPort().Port();
}

inline std::string
FreeAddress()
{
  return ReservedPort().Address();
}

} // namespace ibisrock

#endif
