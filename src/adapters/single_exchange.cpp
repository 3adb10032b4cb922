#include "adapters/single_exchange.h"

#include "adapters/http_outcome.h"

#include <algorithm>
#include <chrono>
#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/selector.h>

namespace ibisrock::adapters {

namespace {

using Clock = std::chrono::steady_clock;

/// One request on a client that was never connected before. cxxtools sends a request again when a connection that was
/// open before the request is closed without a reply, even one that Client::connect() has only just opened. The
/// asynchronous interface is used because the time-outs of the synchronous one hold for each read, not for the whole.
class SingleExchange : public cxxtools::Connectable
{
public:
  explicit SingleExchange(const SocketAddress& aAddress)
    : client_(selector_, aAddress.ip_, aAddress.port_)
  {
    client_.replyFinished.connect(cxxtools::slot(*this, &SingleExchange::OnFinished));
    client_.bodyAvailable.connect(cxxtools::slot(*this, &SingleExchange::OnBody));
  }

  HttpOutcome Run(const HttpCall& aCall)
  {
    const Clock::time_point deadline = Clock::now() + aCall.timeout_;
    const cxxtools::http::Request request = BuildRequest(aCall);
    if (Clock::now() >= deadline) {
      return FailedOutcome(Verdict::NotRun, Reason::Expired, "the deadline passed before the request was sent");
    }
    try {
      client_.beginExecute(request);
      if (!WaitUntil(deadline)) {
        client_.cancel();
        return TimedOut();
      }
      client_.endExecute();
      return CompleteOutcome(client_.header(), std::move(body_));
    } catch (const std::exception& error) {
      return FailureOnNewConnection(error);
    }
  }

private:
  /// Handles the events of the connection. Returns false when the deadline passed before the reply was complete. Events
  /// are looked for at least once, also after the deadline: a connection that was established at once may have sent.
  bool WaitUntil(Clock::time_point aDeadline)
  {
    while (!finished_) {
      const auto left = std::max(std::chrono::duration_cast<Micros>(aDeadline - Clock::now()), Micros::zero());
      const bool isLast = left == Micros::zero();
      hadEvent_ = selector_.wait(cxxtools::Milliseconds(static_cast<double>(left.count()) / 1000.0)) || hadEvent_;
      if (isLast && !finished_) {
        return false;
      }
    }
    return true;
  }

  /// The first event of a connection is that it is established. Without one, nothing can have been sent.
  HttpOutcome TimedOut() const
  {
    return hadEvent_ ? FailedOutcome(Verdict::MayHaveRun, Reason::TimedOut, "no complete reply in time")
                     : FailedOutcome(Verdict::NotRun, Reason::ConnectFailed, "not connected in time");
  }

  void OnFinished(cxxtools::http::Client&) { finished_ = true; }

  size_t OnBody(cxxtools::http::Client& aClient)
  {
    const std::streamsize available = aClient.in().rdbuf()->in_avail();
    const size_t start = body_.size();
    body_.resize(start + static_cast<size_t>(std::max<std::streamsize>(available, 0)));
    const std::streamsize count =
      aClient.in().rdbuf()->sgetn(body_.data() + start, static_cast<std::streamsize>(body_.size() - start));
    body_.resize(start + static_cast<size_t>(count));
    return static_cast<size_t>(count);
  }

  cxxtools::Selector selector_;
  cxxtools::http::Client client_;
  std::string body_;
  bool finished_ = false;
  bool hadEvent_ = false;
};

} // namespace

HttpOutcome
ExchangeOnce(const SocketAddress& aAddress, const HttpCall& aCall)
{
  return SingleExchange(aAddress).Run(aCall);
}

} // namespace ibisrock::adapters
