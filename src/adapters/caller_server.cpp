#include "adapters/caller_server.h"

#include "adapters/caller_connection.h"

#include <algorithm>
#include <vector>

namespace ibisrock::adapters {

namespace asio = boost::asio;

namespace {

/// All connections of a data centre may come at once when another one fails.
constexpr int kBacklog = 1024;
/// Pause after a failed accept, for example without free descriptors.
constexpr Micros kAcceptPause = Millis(50);
/// Time-outs of connections are checked this often, so they are exact to this time.
constexpr Micros kSweepPeriod = Millis(250);

} // namespace

CallerServer::CallerServer(asio::io_context& aLoop, TimerService& aTimers, HeaderNames aNames, Handler aHandler)
  : loop_(aLoop)
  , timers_(aTimers)
  , names_(std::move(aNames))
  , handler_(std::move(aHandler))
  , acceptor_(aLoop)
{
}

std::unique_ptr<CallerServer>
CallerServer::Create(asio::io_context& aLoop,
                     TimerService& aTimers,
                     const SocketAddress& aAddress,
                     HeaderNames aNames,
                     Handler aHandler,
                     LastReason& aReason)
{
  std::unique_ptr<CallerServer> server(new CallerServer(aLoop, aTimers, std::move(aNames), std::move(aHandler)));
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(aAddress.ip_, error);
  if (!error) {
    server->acceptor_.open(asio::ip::tcp::v4(), error);
  }
  if (!error) {
    server->acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    server->acceptor_.bind({ ip, aAddress.port_ }, error);
  }
  if (!error) {
    server->acceptor_.listen(kBacklog, error);
  }
  if (error) {
    aReason.Set("cannot listen on " + aAddress.ip_ + ":" + std::to_string(aAddress.port_) + ": " + error.message());
    return nullptr;
  }
  server->Accept();
  server->Sweep();
  return server;
}

CallerServer::~CallerServer()
{
  timers_.Cancel(sweepTimer_);
  StopAccepting();
  for (const auto& connection : connections_) {
    connection->Detach();
  }
}

void
CallerServer::Accept()
{
  acceptor_.async_accept([this](const boost::system::error_code& aError, asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      timers_.After(kAcceptPause, [this] { Accept(); });
      return;
    }
    auto connection = std::make_shared<CallerConnection>(*this, std::move(aSocket));
    connections_.insert(connection);
    connection->Start();
    Accept();
  });
}

void
CallerServer::Sweep()
{
  const std::vector<std::shared_ptr<CallerConnection>> connections(connections_.begin(), connections_.end());
  for (const auto& connection : connections) {
    connection->CheckTimeouts();
  }
  sweepTimer_ = timers_.After(kSweepPeriod, [this] { Sweep(); });
}

void
CallerServer::CloseIdle()
{
  const std::vector<std::shared_ptr<CallerConnection>> connections(connections_.begin(), connections_.end());
  for (const auto& connection : connections) {
    if (connection->IsIdle()) {
      connection->Close();
    }
  }
}

void
CallerServer::StopAccepting()
{
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

bool
CallerServer::IsBusy() const
{
  return std::any_of(
    connections_.begin(), connections_.end(), [](const auto& aConnection) { return !aConnection->IsIdle(); });
}

uint16_t
CallerServer::Port() const
{
  boost::system::error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

} // namespace ibisrock::adapters
