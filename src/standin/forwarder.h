#ifndef IBISROCK_STANDIN_FORWARDER_H
#define IBISROCK_STANDIN_FORWARDER_H

#include "adapters/http_server.h"
#include "adapters/socket_address.h"
#include "base/last_reason.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ibisrock::standin {

/// Connections to `listen_` are passed on to `target_`, the address at which the instance `name_` listens for peers.
struct ForwardRoute
{
  std::string name_;
  adapters::SocketAddress listen_;
  adapters::SocketAddress target_;
};

/// Reads "name,ip:port,ip:port": name, address to listen on, address to pass on to.
std::optional<ForwardRoute>
ParseRoute(const std::string& aText, LastReason& aReason);

enum class CutMode : uint8_t
{
  /// Bytes are passed on.
  None,
  /// Bytes wait in the forwarder and in the sender's socket, and arrive late when the cut ends.
  Stall,
  /// Connections are closed.
  Drop,
};

/// A cut of the bytes from one instance to another; "*" is any instance. The bytes of the other direction are on
/// connections of their own, since instances only send on connections that they dial.
struct Cut
{
  std::string from_;
  std::string to_;
  CutMode mode_ = CutMode::None;
};

/// A stand-in for the network between instances: passes bytes on and cuts connections when told. The instance that
/// dialled a connection is the one whose route name comes first in the bytes that it sends, as in an envelope. PUT
/// /admin with {"cuts":[{"from":...,"to":...,"mode":"stall"|"drop"}]} replaces all cuts, GET /admin returns counters.
/// Thread-safe.
class Forwarder
{
public:
  /// Starts to listen on all routes. Returns no value when an address is malformed or in use.
  static std::unique_ptr<Forwarder> Create(std::vector<ForwardRoute> aRoutes, LastReason& aReason);
  ~Forwarder();

  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  adapters::HttpReply Handle(const adapters::HttpRequest& aRequest);

private:
  struct Connection;

  explicit Forwarder(std::vector<ForwardRoute> aRoutes);

  void AcceptLoop(const ForwardRoute& aRoute, int aListener);
  void Pass(const ForwardRoute& aRoute, int aClient);
  void PassUntilClosed(Connection& aConnection);
  bool Receive(Connection& aConnection);
  std::string FindSender(const std::string& aHead) const;
  CutMode ModeOf(const std::string& aFrom, const std::string& aTo) const;
  adapters::HttpReply Change(const std::string& aJson);
  std::string Counters() const;

  const std::vector<ForwardRoute> routes_;
  std::vector<std::thread> acceptors_;
  std::atomic<bool> stopped_ = false;
  mutable std::mutex mutex_;
  std::condition_variable closed_;
  std::vector<Cut> cuts_;
  unsigned open_ = 0;
  uint64_t accepted_ = 0;
  uint64_t dropped_ = 0;
  uint64_t bytes_ = 0;
};

} // namespace ibisrock::standin

#endif
