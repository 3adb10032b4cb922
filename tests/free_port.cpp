#include "free_port.h"

#include <atomic>
#include <cerrno>
#include <cstddef>
#include <mutex>
#include <netinet/in.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/un.h>
#include <system_error>
#include <unistd.h>

namespace ibisrock {

namespace {

constexpr uint16_t kFirstPort = 12'000;
constexpr unsigned kPortCount = 5'000;

/// Binds a socket to the loopback port, or to any if it is zero.
bool
BindLoopback(int aSocket, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return bind(aSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

bool
IsFree(uint16_t aPort)
{
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool free = BindLoopback(probe, aPort);
  close(probe);
  return free;
}

/// Claims the port among all test runs by a socket with an abstract name, which the system releases when the run ends.
bool
Claim(uint16_t aPort)
{
  static std::mutex mutex;
  static std::set<uint16_t> claimed;
  const std::lock_guard lock(mutex);
  if (claimed.contains(aPort)) {
    return true;
  }
  const std::string name = "ibisrock-test-port-" + std::to_string(aPort);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  name.copy(address.sun_path + 1, sizeof(address.sun_path) - 1);
  const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  const int claim = socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (bind(claim, reinterpret_cast<const sockaddr*>(&address), size) == 0) {
    claimed.insert(aPort);
    return true;
  }
  close(claim);
  return false;
}

} // namespace

ReservedPort::ReservedPort()
  : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (!BindLoopback(socket_, 0) || getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    const int error = errno;
    close(socket_);
    throw std::system_error(error, std::generic_category(), "no free port");
  }
  port_ = ntohs(address.sin_port);
}

ReservedPort::~ReservedPort()
{
  close(socket_);
}

uint16_t
FreePort()
{
  // Runs that start at the same time begin at different ports.
  static std::atomic<unsigned> next{ static_cast<unsigned>(getpid()) * 37 };
  for (unsigned i = 0; i < kPortCount; i++) {
    const auto port = static_cast<uint16_t>(kFirstPort + next++ % kPortCount);
    if (Claim(port) && IsFree(port)) {
      return port;
    }
  }
  throw std::runtime_error("no free port from " + std::to_string(kFirstPort) + " on");
}

std::string
FreeAddress()
{
  return "127.0.0.1:" + std::to_string(FreePort());
}

} // namespace ibisrock
