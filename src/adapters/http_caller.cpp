#include "adapters/http_caller.h"

#include "adapters/http_outcome.h"
#include "adapters/single_exchange.h"
#include "adapters/socket_address.h"

#include <algorithm>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/ioerror.h>
#include <exception>

namespace ibisrock::adapters {

namespace {

/// Connections to one address that are kept for the next call.
constexpr size_t kMaxIdle = 4;
/// A kept connection is closed when it was not used for so long.
constexpr std::chrono::seconds kMaxIdleTime{ 10 };

cxxtools::Milliseconds
ToMilliseconds(Micros aTime)
{
  return cxxtools::Milliseconds(static_cast<double>(std::max(aTime, Micros(1000)).count()) / 1000.0);
}

} // namespace

HttpCaller::HttpCaller() = default;
HttpCaller::~HttpCaller() = default;

HttpCaller::ClientPtr
HttpCaller::TakeIdle(const std::string& aAddress)
{
  std::lock_guard lock(mutex_);
  auto found = idle_.find(aAddress);
  if (found == idle_.end() || found->second.empty()) {
    return nullptr;
  }
  ClientPtr client = std::move(found->second.back().client_);
  found->second.pop_back();
  return client;
}

void
HttpCaller::KeepIdle(const std::string& aAddress, ClientPtr aClient)
{
  const Clock::time_point now = Clock::now();
  std::lock_guard lock(mutex_);
  std::vector<Idle>& idle = idle_[aAddress];
  if (idle.size() < kMaxIdle) {
    idle.push_back({ std::move(aClient), now });
  }
  if (now - lastSweep_ >= kMaxIdleTime) {
    lastSweep_ = now;
    CloseUnused(now);
  }
}

/// Needs the lock.
void
HttpCaller::CloseUnused(Clock::time_point aNow)
{
  for (auto& [address, idle] : idle_) {
    std::erase_if(idle, [aNow](const Idle& aIdle) { return aNow - aIdle.since_ >= kMaxIdleTime; });
  }
  std::erase_if(idle_, [](const auto& aEntry) { return aEntry.second.empty(); });
}

bool
HttpCaller::TakeConnection(const HttpCall& aCall)
{
  std::lock_guard lock(mutex_);
  uint32_t& open = open_[aCall.address_];
  if (aCall.maxConnections_ != 0 && open >= aCall.maxConnections_) {
    return false;
  }
  open++;
  return true;
}

void
HttpCaller::ReturnConnection(const std::string& aAddress)
{
  std::lock_guard lock(mutex_);
  auto found = open_.find(aAddress);
  if (--found->second == 0) {
    open_.erase(found);
  }
}

HttpOutcome
HttpCaller::Call(const HttpCall& aCall)
{
  LastReason reason;
  auto address = ParseSocketAddress(aCall.address_, reason);
  if (!address) {
    return FailedOutcome(Verdict::NotRun, Reason::ConnectFailed, reason.Text());
  }
  if (!aCall.freshConnection_) {
    return CallOnKept(*address, aCall);
  }
  if (!TakeConnection(aCall)) {
    return FailedOutcome(Verdict::NotRun, Reason::Overloaded, "all connections to the address are in use");
  }
  HttpOutcome outcome = ExchangeOnce(*address, aCall);
  ReturnConnection(aCall.address_);
  return outcome;
}

/// Uses a kept connection if there is one. A failure on it gives MayHaveRun even if the last error was that connecting
/// failed, because the library may have sent the request before it tried to connect again.
HttpOutcome
HttpCaller::CallOnKept(const SocketAddress& aAddress, const HttpCall& aCall)
{
  ClientPtr client = TakeIdle(aCall.address_);
  const bool isNew = !client;
  if (isNew) {
    client = std::make_unique<cxxtools::http::Client>(aAddress.ip_, aAddress.port_);
  }
  try {
    client->execute(BuildRequest(aCall), ToMilliseconds(aCall.timeout_), ToMilliseconds(aCall.timeout_));
    client->readBody();
    HttpOutcome outcome = CompleteOutcome(client->header(), client->body());
    KeepIdle(aCall.address_, std::move(client));
    return outcome;
  } catch (const std::exception& error) {
    HttpOutcome outcome = FailureOnNewConnection(error);
    if (!isNew && outcome.verdict_ == Verdict::NotRun) {
      outcome.verdict_ = Verdict::MayHaveRun;
      outcome.reason_ = Reason::ConnectionLost;
    }
    return outcome;
  }
}

} // namespace ibisrock::adapters
