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

class SocketConnection final : public ServedConnection
{
public:
  SocketConnection(TcpServer& aServer, std::atomic<unsigned>& aSeen)
    : socket_(aServer)
    , seen_(aSeen)
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
    std::string read;
    char part[4096];
    while (read.size() < end.size() || read.compare(read.size() - end.size(), end.size(), end) != 0) {
      const size_t count = socket_.read(part, sizeof(part));
      if (count == 0) {
        return false;
      }
      read.append(part, count);
    }
    seen_++;
    return true;
  }

private:
  TcpSocket socket_;
  std::atomic<unsigned>& seen_;
};

} // namespace

struct RawTarget::Impl
{
  Impl(unsigned short aPort, Script aScript)
    : server_(kAddress, aPort)
    , script_(std::move(aScript))
    , accepting_([this] { Accept(); })
  {
  }

  ~Impl()
  {
    server_.terminateAccept();
    accepting_.join();
    for (std::thread& thread : serving_) {
      thread.join();
    }
  }

  void Accept()
  {
    while (true) {
      try {
        auto connection = std::make_shared<SocketConnection>(server_, seen_);
        serving_.emplace_back([this, connection] { Serve(*connection); });
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
      // The client closed the connection, which ends the script.
    }
  }

  TcpServer server_;
  const Script script_;
  std::atomic<unsigned> seen_{ 0 };
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

RawTarget::RawTarget(unsigned short aPort, Script aScript)
  : impl_(std::make_unique<Impl>(aPort, std::move(aScript)))
{
}

RawTarget::~RawTarget() = default;

unsigned
RawTarget::Seen() const
{
  return impl_->seen_;
}

struct SilentTarget::Impl
{
  explicit Impl(unsigned short aPort, bool aFull)
    : server_(kAddress, aPort, aFull ? 0 : 5)
  {
    if (aFull) {
      // A backlog of 0 holds one connection.
      taken_.connect(kAddress, aPort);
    }
  }

  TcpServer server_;
  TcpSocket taken_;
};

SilentTarget::SilentTarget(unsigned short aPort, bool aFull)
  : impl_(std::make_unique<Impl>(aPort, aFull))
{
}

SilentTarget::~SilentTarget() = default;

} // namespace ibisrock
