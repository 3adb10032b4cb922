#ifndef IBISROCK_ADAPTERS_HTTP_CALLER_H
#define IBISROCK_ADAPTERS_HTTP_CALLER_H

#include "base/units.h"
#include "base/verdict.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cxxtools::http {
class Client;
}

namespace ibisrock::adapters {

struct SocketAddress;

struct HttpCall
{
  /// "ip:port".
  std::string address_;
  std::string method_ = "GET";
  /// Path with the query string, already encoded.
  std::string url_;
  std::map<std::string, std::string> headers_;
  std::string body_;
  Micros timeout_ = Seconds(5);
  /// Sends the request exactly once, on a new connection that is closed afterwards. On a connection that was open
  /// before the request and that the peer closes without a reply, cxxtools sends the request a second time.
  bool freshConnection_ = false;
  /// Fresh connections to the address that may be open at the same time, this one included; 0 for no limit.
  uint32_t maxConnections_ = 0;
};

/// Outcome of a call. status_ is valid only when verdict_ is Ran, which means that a complete reply was read.
struct HttpOutcome
{
  Verdict verdict_ = Verdict::NotRun;
  Reason reason_ = Reason::None;
  std::string error_;
  unsigned status_ = 0;
  std::map<std::string, std::string> headers_;
  std::string body_;
};

/// Makes blocking HTTP calls and keeps connections open for the next call to the same address. Thread-safe.
class HttpCaller
{
public:
  HttpCaller();
  ~HttpCaller();

  HttpOutcome Call(const HttpCall& aCall);

private:
  using ClientPtr = std::unique_ptr<cxxtools::http::Client>;

  using Clock = std::chrono::steady_clock;
  struct Idle
  {
    ClientPtr client_;
    Clock::time_point since_;
  };

  HttpOutcome CallOnKept(const SocketAddress& aAddress, const HttpCall& aCall);
  bool TakeConnection(const HttpCall& aCall);
  void ReturnConnection(const std::string& aAddress);
  void CloseUnused(Clock::time_point aNow);
  ClientPtr TakeIdle(const std::string& aAddress);
  void KeepIdle(const std::string& aAddress, ClientPtr aClient);

  std::mutex mutex_;
  std::map<std::string, std::vector<Idle>> idle_;
  std::map<std::string, uint32_t> open_;
  Clock::time_point lastSweep_;
};

} // namespace ibisrock::adapters

#endif
