#include "proxy.h"

#include <array>
#include <sys/socket.h>

namespace review {

Proxy::Proxy(const Address& aAddress, Address aUpstream)
  : upstream_(std::move(aUpstream))
  , listener_(aAddress, [this](Connection& aConnection) { Serve(aConnection); })
{
}

void
Proxy::Serve(Connection& aConnection)
{
  auto upstream = Connection::Open(upstream_, 1);
  if (!upstream) {
    return;
  }
  auto flow = std::make_shared<Flow>();
  {
    const std::lock_guard lock(mutex_);
    std::erase_if(flows_, [](const auto& aFlow) { return !aFlow->isOpen_; });
    flows_.push_back(flow);
  }
  std::thread back([&] { Forward(*upstream, aConnection, *flow); });
  Forward(aConnection, *upstream, *flow);
  back.join();
}

/// Ends both directions when one side closes, unless the flow is silent: then the other side notices nothing.
void
Proxy::Forward(const Connection& aFrom, const Connection& aTo, Flow& aFlow)
{
  std::array<char, 16384> bytes{};
  while (true) {
    const ssize_t count = ::recv(aFrom.Descriptor(), bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      break;
    }
    if (!watchedText_.empty() &&
        std::string_view(bytes.data(), static_cast<size_t>(count)).find(watchedText_) != std::string_view::npos) {
      lastSeen_ = Now();
    }
    if (!aFlow.isSilent_ && !aTo.Send({ bytes.data(), static_cast<size_t>(count) })) {
      break;
    }
  }
  aFlow.isOpen_ = false;
  if (!aFlow.isSilent_) {
    aTo.ShutDown();
  }
}

int
Proxy::SilenceOpenConnections()
{
  const std::lock_guard lock(mutex_);
  int silenced = 0;
  for (const auto& flow : flows_) {
    silenced += flow->isOpen_ && !flow->isSilent_ ? 1 : 0;
    flow->isSilent_ = true;
  }
  return silenced;
}

} // namespace review
