#include "raw_target.h"

#include <atomic>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <thread>
#include <utility>
#include <vector>

namespace ibisrock {

namespace {

using cxxtools::net::TcpServer;
using cxxtools::net::TcpSocket;

constexpr const char* kAddress = "127.0.0.1";

class SocketConnection final : public TargetConnection
{
public:
  SocketConnection(TcpServer& aServer, std::atomic<unsigned>& aRequestCount)
    : socket_(aServer)
    , requestCount_(aRequestCount)
  {
  }

  void Write(const std::string& aText) override
  {
    for (size_t sent = 0; sent < aText.size();) {
      sent += socket_.write(aText.data() + sent, aText.size() - sent);
    }
  }

  bool ReadRequest() override
  {
    const std::string end = RawTarget::kEndOfBody;
    std::string request;
    char chunk[4096];
    while (request.size() < end.size() || request.compare(request.size() - end.size(), end.size(), end) != 0) {
      const size_t count = socket_.read(chunk, sizeof(chunk));
      if (count == 0) {
        return false;
      }
      request.append(chunk, count);
    }
    requestCount_++;
    return true;
  }

private:
  TcpSocket socket_;
  std::atomic<unsigned>& requestCount_;
};

} // namespace

struct RawTarget::Impl
{
  Impl(unsigned short aPort, Script aScript)
    : server_(kAddress, aPort)
    , script_(std::move(aScript))
    , acceptThread_([this] { Accept(); })
  {
  }

  ~Impl()
  {
    server_.terminateAccept();
    acceptThread_.join();
    for (std::thread& thread : serveThreads_) {
      thread.join();
    }
  }

  void Accept()
  {
    while (true) {
      try {
        auto connection = std::make_shared<SocketConnection>(server_, requestCount_);
        serveThreads_.emplace_back([this, connection] { Serve(*connection); });
      } catch (const cxxtools::net::AcceptTerminated&) {
        return;
      }
    }
  }

  void Serve(SocketConnection& aConnection)
  {
    try {
      if (aConnection.ReadRequest()) {
        script_(aConnection);
      }
    } catch (const std::exception&) {
      // The client closed the connection; this ends the script.
    }
  }

  TcpServer server_;
  const Script script_;
  std::atomic<unsigned> requestCount_{ 0 };
  std::vector<std::thread> serveThreads_;
  std::thread acceptThread_;
};

RawTarget::RawTarget(unsigned short aPort, Script aScript)
  : impl_(std::make_unique<Impl>(aPort, std::move(aScript)))
{
}

RawTarget::~RawTarget() = default;

unsigned
RawTarget::RequestCount() const
{
  return impl_->requestCount_;
}

struct NonAcceptingTarget::Impl
{
  explicit Impl(unsigned short aPort, bool aHasFullBacklog)
    : server_(kAddress, aPort, aHasFullBacklog ? 0 : 5)
  {
    if (aHasFullBacklog) {
      // A backlog of 0 still queues one connection, which this one occupies.
      queued_.connect(kAddress, aPort);
    }
  }

  TcpServer server_;
  TcpSocket queued_;
};

NonAcceptingTarget::NonAcceptingTarget(unsigned short aPort, bool aHasFullBacklog)
  : impl_(std::make_unique<Impl>(aPort, aHasFullBacklog))
{
}

NonAcceptingTarget::~NonAcceptingTarget() = default;

} // namespace ibisrock
