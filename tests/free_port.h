#ifndef IBISROCK_TESTS_FREE_PORT_H
#define IBISROCK_TESTS_FREE_PORT_H

#include <cstdint>
#include <string>

namespace ibisrock {

/// A loopback port that no other process can take and that refuses connections while this object lives.
class ReservedPort
{
public:
  ReservedPort();
  ~ReservedPort();

  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  uint16_t Port() const { return port_; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
  const int socket_;
  uint16_t port_ = 0;
};

/// A loopback port to listen on, which no other test run is given while this one lasts. It is none of those that the
/// system gives out by itself, because it could give it to another process before the test listens on it.
uint16_t
FreePort();

std::string
FreeAddress();

} // namespace ibisrock

#endif
