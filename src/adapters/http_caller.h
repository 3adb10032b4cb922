#ifndef IBISROCK_ADAPTERS_HTTP_CALLER_H
#define IBISROCK_ADAPTERS_HTTP_CALLER_H

#include "base/units.h"
#include "base/verdict.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cxxtools::http {
class Client;
}

namespace ibisrock::adapters {

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
  /// Opens a new connection. On a kept connection that the peer closes without a reply, cxxtools sends the request a
  /// second time; on a new one it does not.
  bool freshConnection_ = false;
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

  ClientPtr TakeIdle(const std::string& aAddress);
  void KeepIdle(const std::string& aAddress, ClientPtr aClient);

  std::mutex mutex_;
  std::map<std::string, std::vector<ClientPtr>> idle_;
};

} // namespace ibisrock::adapters

#endif
