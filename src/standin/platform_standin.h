#ifndef IBISROCK_STANDIN_PLATFORM_STANDIN_H
#define IBISROCK_STANDIN_PLATFORM_STANDIN_H

#include "adapters/http_server.h"
#include "standin/platform_behaviour.h"
#include "standin/value_history.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace ibisrock::standin {

/// A stand-in for the platform's object API and instance list, for tests and trials. Its faults are set with PUT /admin
/// and shown, with the numbers of calls, by GET /admin; neither is affected by them.
class PlatformStandin
{
public:
  /// The clock decides what is stale; time-outs of watches and delays follow the steady clock.
  explicit PlatformStandin(std::function<ValueHistory::Clock::time_point()> aNow = &ValueHistory::Clock::now);

  adapters::HttpReply Handle(const adapters::HttpRequest& aRequest);

private:
  using Lock = std::unique_lock<std::mutex>;

  /// Calls received, refused ones included.
  struct Counters
  {
    uint64_t reads_ = 0;
    uint64_t writes_ = 0;
    uint64_t watches_ = 0;
    uint64_t lists_ = 0;
  };

  adapters::HttpReply HandleAdmin(const adapters::HttpRequest& aRequest);
  adapters::HttpReply HandleObject(const adapters::HttpRequest& aRequest);
  adapters::HttpReply HandleWatch(const adapters::HttpRequest& aRequest);
  adapters::HttpReply HandleInstances(const adapters::HttpRequest& aRequest);
  bool IsRefused(Lock& aLock);
  adapters::HttpReply GetObject(const std::string& aKey);
  adapters::HttpReply PutObject(const std::string& aKey, const adapters::HttpRequest& aRequest);
  adapters::HttpReply State() const;

  const std::function<ValueHistory::Clock::time_point()> now_;
  std::mutex mutex_;
  std::condition_variable changed_;
  PlatformBehaviour behaviour_;
  Counters counters_;
  unsigned waitingWatches_ = 0;
  /// Outages begun so far; also ends the calls that wait during an outage too short for them to wake up in.
  uint64_t outages_ = 0;
  uint64_t lastRevision_ = 0;
  std::map<std::string, ValueHistory> objects_;
  ValueHistory instances_;
};

} // namespace ibisrock::standin

#endif
