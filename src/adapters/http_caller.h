#ifndef IBISROCK_ADAPTERS_HTTP_CALLER_H
#define IBISROCK_ADAPTERS_HTTP_CALLER_H

#include "base/units.h"
#include "base/verdict.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace ibisrock::adapters {

class ConnectionPool;

struct HttpCall
{
  /// Longest state dump of an instance.
  static constexpr uint64_t kMaxStateDump = 64 << 20;

  /// "ip:port".
  std::string address_;
  std::string method_ = "GET";
  /// Path with the query string, already encoded.
  std::string url_;
  std::map<std::string, std::string> headers_;
  std::string body_;
  Micros timeout_ = Seconds(5);
  /// Uses a new connection, which is closed afterwards. A peer may close a kept connection while a request is on its
  /// way; for requests that must not end in doubt for this reason. No request is ever sent twice, whatever this says.
  bool freshConnection_ = false;
  /// Longest body of a reply. Values of the object API have up to 1 MB, replies of targets some kilobytes.
  uint64_t maxReply_ = 4 << 20;
  /// Connections to the address that may be open at the same time, idle ones included; 0 for no limit.
  uint32_t maxConnections_ = 0;
};

/// Compares names of headers without regard to case.
struct HeaderNameLess
{
  bool operator()(const std::string& aLeft, const std::string& aRight) const;
};

/// Outcome of a call. status_ is valid only when verdict_ is Ran, which means that a complete reply was read.
struct HttpOutcome
{
  Verdict verdict_ = Verdict::NotRun;
  Reason reason_ = Reason::None;
  std::string error_;
  /// The connection was kept from an earlier call and was lost without a byte of a reply.
  bool lostKeptConnection_ = false;
  unsigned status_ = 0;
  std::map<std::string, std::string, HeaderNameLess> headers_;
  /// Names of the headers that occur more than once, of which headers_ has the last value.
  std::set<std::string, HeaderNameLess> repeated_;
  std::string body_;
};

/// Makes blocking HTTP calls and keeps connections open for the next call to the same address. Sends each request at
/// most once. The time-out holds for the whole call. Thread-safe.
class HttpCaller
{
public:
  HttpCaller();
  ~HttpCaller();

  HttpOutcome Call(const HttpCall& aCall);

private:
  std::unique_ptr<ConnectionPool> pool_;
};

} // namespace ibisrock::adapters

#endif
