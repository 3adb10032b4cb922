#ifndef IBISROCK_ADAPTERS_CALLER_SERVER_H
#define IBISROCK_ADAPTERS_CALLER_SERVER_H

#include "adapters/header_names.h"
#include "adapters/socket_address.h"
#include "base/last_reason.h"
#include "base/timer_service.h"
#include "version/route_table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <unordered_set>

namespace ibisrock::adapters {

class CallerConnection;

/// Why a request could not be read.
enum class RequestFault : uint8_t
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  TooSlow,
};

/// The reply to such a request, with the status of HTTP for it.
CallerReply
MakeFaultReply(RequestFault aFault);

/// Serves HTTP to callers on one event loop.
class CallerServer
{
public:
  using OnReply = std::function<void(CallerReply)>;
  /// Told when the caller has left before the reply.
  using OnLeft = std::function<void()>;
  /// Takes a request. The reply may come at once; without a returned function nobody wants to know that the caller
  /// left.
  using Handler = std::function<OnLeft(std::shared_ptr<const CallerRequest>, OnReply)>;

  struct Settings
  {
    SocketAddress address_;
    HeaderNames names_{};
    /// Connections that may wait to be accepted; all connections of a data centre may come when another one fails.
    int backlog_ = 1024;
    std::function<CallerReply(RequestFault)> makeFaultReply_ = &MakeFaultReply;
  };

  static std::unique_ptr<CallerServer> Create(boost::asio::io_context& aLoop,
                                              TimerService& aTimers,
                                              Settings aSettings,
                                              Handler aHandler,
                                              LastReason& aReason);
  ~CallerServer();

  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Limits for the requests that begin from now on.
  void SetLimits(const CallerLimits& aLimits) { limits_ = aLimits; }
  /// From now on every reply closes its connection.
  void BeginDrain() { draining_ = true; }
  /// Closes connections on which no request has begun or waits to be read.
  void CloseIdle();
  /// Accepts no connections from now on, but for those that wait to be accepted.
  void StopAccepting();
  bool IsAccepting() const { return acceptor_.is_open(); }
  size_t ConnectionCount() const { return connections_.size(); }
  /// Whether a request waits to be read, or is being read, served or answered.
  bool IsBusy() const;
  uint16_t Port() const;

private:
  friend class CallerConnection;

  CallerServer(boost::asio::io_context& aLoop, TimerService& aTimers, Settings aSettings, Handler aHandler);
  void Accept();
  void Take(boost::asio::ip::tcp::socket aSocket);
  void Sweep();

  boost::asio::io_context& loop_;
  TimerService& timers_;
  const Settings settings_;
  const Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  CallerLimits limits_;
  bool draining_ = false;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections_;
  TimerId sweepTimer_;
};

} // namespace ibisrock::adapters

#endif
