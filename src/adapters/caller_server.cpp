#include "adapters/caller_server.h"

#include "adapters/caller_connection.h"
#include "request/error_reply.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace ibisrock::adapters {

namespace asio = boost::asio;

namespace {

/// Pause after a failed accept, for example without free descriptors.
constexpr Micros kAcceptPause = Millis(50);
/// Time-outs of connections are checked this often, so they are exact to this time.
constexpr Micros kSweepPeriod = Millis(250);

} // namespace

CallerReply
MakeFaultReply(RequestFault aFault)
{
  constexpr std::array<std::pair<RequestFault, unsigned>, 4> kStatuses{ { { RequestFault::Malformed, 400 },
                                                                          { RequestFault::HeaderTooLarge, 431 },
                                                                          { RequestFault::BodyTooLarge, 413 },
                                                                          { RequestFault::TooSlow, 408 } } };
  for (const auto& [fault, status] : kStatuses) {
    if (fault == aFault) {
      return MakeErrorReply(status, Reason::Malformed);
    }
  }
  return MakeErrorReply(400, Reason::Malformed);
}

CallerServer::CallerServer(asio::io_context& aLoop, TimerService& aTimers, Settings aSettings, Handler aHandler)
  : loop_(aLoop)
  , timers_(aTimers)
  , settings_(std::move(aSettings))
  , handler_(std::move(aHandler))
  , acceptor_(aLoop)
{
}

std::unique_ptr<CallerServer>
CallerServer::Create(asio::io_context& aLoop,
                     TimerService& aTimers,
                     Settings aSettings,
                     Handler aHandler,
                     LastReason& aReason)
{
  std::unique_ptr<CallerServer> server(new CallerServer(aLoop, aTimers, std::move(aSettings), std::move(aHandler)));
  const SocketAddress& address = server->settings_.address_;
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.ip_, error);
  if (!error) {
    server->acceptor_.open(asio::ip::tcp::v4(), error);
  }
  if (!error) {
    server->acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    server->acceptor_.bind({ ip, address.port_ }, error);
  }
  if (!error) {
    server->acceptor_.listen(server->settings_.backlog_, error);
  }
  if (error) {
    aReason.Set("cannot listen on " + address.ip_ + ":" + std::to_string(address.port_) + ": " + error.message());
    return nullptr;
  }
  server->Accept();
  server->Sweep();
  return server;
}

CallerServer::~CallerServer()
{
  timers_.Cancel(sweepTimer_);
  boost::system::error_code ignored;
  acceptor_.close(ignored);
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
    Take(std::move(aSocket));
    Accept();
  });
}

void
CallerServer::Take(asio::ip::tcp::socket aSocket)
{
  auto connection = std::make_shared<CallerConnection>(*this, std::move(aSocket));
  connections_.insert(connection);
  connection->Start();
}

void
CallerServer::Sweep()
{
  const std::vector<std::shared_ptr<CallerConnection>> connections(connections_.begin(), connections_.end());
  for (const auto& connection : connections) {
    connection->CheckTimeouts();
  }
  // All servers of a process sweep at the same moments, so that they wake it only once.
  const Micros sinceLast = timers_.Now().time_since_epoch() % kSweepPeriod;
  sweepTimer_ = timers_.After(kSweepPeriod - sinceLast, [this] { Sweep(); });
}

void
CallerServer::CloseIdle()
{
  const std::vector<std::shared_ptr<CallerConnection>> connections(connections_.begin(), connections_.end());
  for (const auto& connection : connections) {
    if (connection->CanBeClosed()) {
      connection->Close();
    }
  }
}

/// Takes the connections that the system has accepted already; closing would reset them with what was sent there.
void
CallerServer::StopAccepting()
{
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  for (int i = 0; i < settings_.backlog_ && !error; i++) {
    asio::ip::tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    if (!error) {
      Take(std::move(socket));
    }
  }
  acceptor_.close(error);
}

bool
CallerServer::IsBusy() const
{
  return std::any_of(
    connections_.begin(), connections_.end(), [](const auto& aConnection) { return !aConnection->CanBeClosed(); });
}

uint16_t
CallerServer::Port() const
{
  boost::system::error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

} // namespace ibisrock::adapters
