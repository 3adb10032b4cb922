#ifndef IBISROCK_ADAPTERS_CONNECTION_POOL_H
#define IBISROCK_ADAPTERS_CONNECTION_POOL_H

#include "adapters/http_connection.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock::adapters {

/// Connections that are kept open between requests, and the count of all open ones, for each address. Thread-safe.
class ConnectionPool
{
public:
  using Clock = HttpConnection::Clock;

  /// Permission to have one connection open, with a kept one if there was one that can be used.
  struct Lease
  {
    std::string address_;
    std::unique_ptr<HttpConnection> kept_;
  };

  /// Returns no value when aMaxOpen connections to the address are open and none of them is idle; 0 is no limit.
  std::optional<Lease> Take(const std::string& aAddress, uint32_t aMaxOpen, bool aWithoutKept);
  /// Gives the permission back. aConnection is kept for the next request if it can be used again; it may be null.
  void Return(const std::string& aAddress, std::unique_ptr<HttpConnection> aConnection);

private:
  struct Idle
  {
    std::unique_ptr<HttpConnection> connection_;
    Clock::time_point since_;
  };
  struct Connections
  {
    uint32_t inUse_ = 0;
    std::vector<Idle> idle_;
  };

  void CloseUnused(Clock::time_point aNow);

  std::mutex mutex_;
  std::map<std::string, Connections> connections_;
  Clock::time_point lastSweep_;
};

} // namespace ibisrock::adapters

#endif
