#include "adapters/http_caller.h"

#include "adapters/socket_address.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <exception>

namespace ibisrock::adapters {

namespace {

cxxtools::Milliseconds
ToMilliseconds(Micros aTime)
{
  return cxxtools::Milliseconds(static_cast<double>(std::max(aTime, Micros(1000)).count()) / 1000.0);
}

cxxtools::http::Request
BuildRequest(const HttpCall& aCall)
{
  cxxtools::http::Request request(aCall.url_);
  request.method(aCall.method_);
  for (const auto& [name, value] : aCall.headers_) {
    request.setHeader(name.c_str(), value.c_str());
  }
  request.body() << aCall.body_;
  return request;
}

HttpOutcome
Failure(Verdict aVerdict, Reason aReason, std::string aError)
{
  HttpOutcome outcome;
  outcome.verdict_ = aVerdict;
  outcome.reason_ = aReason;
  outcome.error_ = std::move(aError);
  return outcome;
}

HttpOutcome
ReadReply(cxxtools::http::Client& aClient)
{
  aClient.readBody();
  const cxxtools::http::Reply& reply = aClient.reply();
  HttpOutcome outcome;
  outcome.verdict_ = Verdict::Ran;
  outcome.status_ = reply.httpReturnCode();
  outcome.body_ = reply.body();
  for (auto entry = reply.header().begin(); entry != reply.header().end(); ++entry) {
    outcome.headers_[entry->first] = entry->second;
  }
  return outcome;
}

} // namespace

HttpCaller::HttpCaller() = default;
HttpCaller::~HttpCaller() = default;

HttpCaller::ClientPtr
HttpCaller::TakeIdle(const std::string& aAddress)
{
  std::lock_guard lock(mutex_);
  std::vector<ClientPtr>& idle = idle_[aAddress];
  if (idle.empty()) {
    return nullptr;
  }
  ClientPtr client = std::move(idle.back());
  idle.pop_back();
  return client;
}

void
HttpCaller::KeepIdle(const std::string& aAddress, ClientPtr aClient)
{
  std::lock_guard lock(mutex_);
  idle_[aAddress].push_back(std::move(aClient));
}

HttpOutcome
HttpCaller::Call(const HttpCall& aCall)
{
  LastReason reason;
  auto address = ParseSocketAddress(aCall.address_, reason);
  if (!address) {
    return Failure(Verdict::NotRun, Reason::ConnectFailed, reason.Text());
  }
  ClientPtr client = aCall.freshConnection_ ? nullptr : TakeIdle(aCall.address_);
  if (!client) {
    client = std::make_unique<cxxtools::http::Client>(address->ip_, address->port_);
    try {
      client->connect();
    } catch (const std::exception& error) {
      return Failure(Verdict::NotRun, Reason::ConnectFailed, error.what());
    }
  }
  try {
    client->execute(BuildRequest(aCall), ToMilliseconds(aCall.timeout_), ToMilliseconds(aCall.timeout_));
    HttpOutcome outcome = ReadReply(*client);
    KeepIdle(aCall.address_, std::move(client));
    return outcome;
  } catch (const cxxtools::IOTimeout& error) {
    return Failure(Verdict::MayHaveRun, Reason::TimedOut, error.what());
  } catch (const std::exception& error) {
    return Failure(Verdict::MayHaveRun, Reason::ConnectionLost, error.what());
  }
}

} // namespace ibisrock::adapters
