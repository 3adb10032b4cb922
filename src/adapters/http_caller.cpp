#include "adapters/http_caller.h"

#include "adapters/connection_pool.h"
#include "adapters/socket_address.h"

#include <strings.h>

namespace ibisrock::adapters {

namespace {

HttpOutcome
NotRunOutcome(Reason aReason, std::string aError)
{
  HttpOutcome outcome;
  outcome.verdict_ = Verdict::NotRun;
  outcome.reason_ = aReason;
  outcome.error_ = std::move(aError);
  return outcome;
}

/// Sends the request on aConnection, or on a new connection when there is none or when nothing could be sent on it.
HttpOutcome
SendOnce(std::unique_ptr<HttpConnection>& aConnection, const SocketAddress& aAddress, const HttpCall& aCall)
{
  const HttpConnection::Clock::time_point deadline = HttpConnection::Clock::now() + aCall.timeout_;
  if (aConnection) {
    HttpOutcome outcome = aConnection->Exchange(aCall, deadline);
    if (outcome.verdict_ != Verdict::NotRun) {
      outcome.lostKeptConnection_ = outcome.reason_ == Reason::ConnectionLost && !aConnection->HasReadAny();
      return outcome;
    }
  }
  HttpOutcome failed;
  aConnection = std::make_unique<HttpConnection>();
  return aConnection->Open(aAddress, deadline, failed) ? aConnection->Exchange(aCall, deadline) : failed;
}

} // namespace

bool
HeaderNameLess::operator()(const std::string& aLeft, const std::string& aRight) const
{
  return strcasecmp(aLeft.c_str(), aRight.c_str()) < 0;
}

HttpCaller::HttpCaller()
  : pool_(std::make_unique<ConnectionPool>())
{
}

HttpCaller::~HttpCaller() = default;

HttpOutcome
HttpCaller::Call(const HttpCall& aCall)
{
  LastReason reason;
  auto address = ParseSocketAddress(aCall.address_, reason);
  if (!address) {
    return NotRunOutcome(Reason::ConnectFailed, reason.Text());
  }
  if (aCall.timeout_ <= Micros::zero()) {
    return NotRunOutcome(Reason::Expired, "the deadline passed before the request was sent");
  }
  auto lease = pool_->Take(aCall.address_, aCall.maxConnections_, aCall.freshConnection_);
  if (!lease) {
    return NotRunOutcome(Reason::Overloaded, "all connections to the address are in use");
  }
  HttpOutcome outcome = SendOnce(lease->kept_, *address, aCall);
  pool_->Return(aCall.address_, std::move(lease->kept_));
  return outcome;
}

} // namespace ibisrock::adapters
