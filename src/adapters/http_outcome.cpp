#include "adapters/http_outcome.h"

#include <cxxtools/ioerror.h>
#include <string_view>

namespace ibisrock::adapters {

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
FailedOutcome(Verdict aVerdict, Reason aReason, std::string aError)
{
  HttpOutcome outcome;
  outcome.verdict_ = aVerdict;
  outcome.reason_ = aReason;
  outcome.error_ = std::move(aError);
  return outcome;
}

HttpOutcome
CompleteOutcome(const cxxtools::http::ReplyHeader& aHeader, std::string aBody)
{
  HttpOutcome outcome;
  outcome.verdict_ = Verdict::Ran;
  outcome.status_ = aHeader.httpReturnCode();
  outcome.body_ = std::move(aBody);
  for (auto entry = aHeader.begin(); entry != aHeader.end(); ++entry) {
    outcome.headers_[entry->first] = entry->second;
  }
  return outcome;
}

HttpOutcome
FailureOnNewConnection(const std::exception& aError)
{
  constexpr std::string_view kConnectText = "while trying to connect to ";
  if (std::string_view(aError.what()).starts_with(kConnectText)) {
    return FailedOutcome(Verdict::NotRun, Reason::ConnectFailed, aError.what());
  }
  const bool timedOut = dynamic_cast<const cxxtools::IOTimeout*>(&aError) != nullptr;
  return FailedOutcome(Verdict::MayHaveRun, timedOut ? Reason::TimedOut : Reason::ConnectionLost, aError.what());
}

} // namespace ibisrock::adapters
