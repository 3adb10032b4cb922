#ifndef IBISROCK_TESTS_RAW_CONNECTION_H
#define IBISROCK_TESTS_RAW_CONNECTION_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace ibisrock {

/// A TCP connection on loopback that sends bytes as they are, for requests that an HTTP client would not send.
class RawConnection
{
public:
  explicit RawConnection(uint16_t aPort)
    : socket_(socket(AF_INET, SOCK_STREAM, 0))
  {
    // A server that never replies ends the test with an empty reply instead of blocking it.
    const timeval limit{ 10, 0 };
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  }
  ~RawConnection() { close(socket_); }

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool Send(const std::string& aBytes) const
  {
    return connected_ &&
           send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(aBytes.size());
  }

  void FinishSending() const { shutdown(socket_, SHUT_WR); }

  /// Everything that arrives until the server closes the connection.
  std::string ReadAll() const
  {
    std::string reply;
    char buffer[4096];
    for (ssize_t size = 0; (size = recv(socket_, buffer, sizeof(buffer), 0)) > 0;) {
      reply.append(buffer, static_cast<size_t>(size));
    }
    return reply;
  }

private:
  const int socket_;
  bool connected_ = false;
};

} // namespace ibisrock

#endif
