#ifndef IBISROCK_STANDIN_TARGET_STANDIN_H
#define IBISROCK_STANDIN_TARGET_STANDIN_H

#include "adapters/http_server.h"
#include "base/random.h"
#include "standin/run_log.h"
#include "standin/target_behaviour.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace ibisrock::standin {

/// What a target has done since the process started.
struct TargetCounters
{
  uint64_t ran_ = 0;
  uint64_t shed_ = 0;
  uint64_t refusedVersion_ = 0;
  uint64_t refusedDraining_ = 0;
  uint64_t refusedConnection_ = 0;
  uint64_t cancelled_ = 0;
  uint64_t expired_ = 0;
  uint64_t crashed_ = 0;
};

/// A stand-in for a target, for tests and trials. It answers each query with one match named for its shard
/// and index version. PUT /admin
/// with JSON changes its behaviour, POST /restart gives it a new boot id, GET /admin returns the counters. Thread-safe.
class TargetStandin
{
public:
  /// aCrash ends the process or what stands for it; when it returns, the request is answered with status 500. Each run
  /// is added to aRunLog when it begins; no log when it is null.
  explicit TargetStandin(TargetBehaviour aBehaviour,
                         std::function<void()> aCrash = nullptr,
                         std::shared_ptr<RunLog> aRunLog = nullptr);

  adapters::HttpReply Handle(const adapters::HttpRequest& aRequest);

private:
  using Clock = std::chrono::steady_clock;
  using Lock = std::unique_lock<std::mutex>;

  adapters::HttpReply Search(const std::string& aShard, const adapters::HttpRequest& aRequest);
  adapters::HttpReply Admit(const std::string& aShard, const adapters::HttpRequest& aRequest);
  adapters::HttpReply RunSearch(Lock& aLock, const std::string& aShard, const adapters::HttpRequest& aRequest);
  bool WaitForWork(Lock& aLock, const std::string& aAttempt, Clock::time_point aUntil);
  adapters::HttpReply NotRun(const char* aReason, uint64_t& aCounter) const;
  adapters::HttpReply Describe(adapters::HttpReply aReply, const std::string& aState) const;
  adapters::HttpReply Health();
  adapters::HttpReply Change(const std::string& aJson);
  bool IsNewPeer(const std::string& aPeer);
  void Restart();
  std::string State() const;
  Micros WorkTime();
  std::string Counters() const;

  const std::function<void()> crash_;
  const std::shared_ptr<RunLog> runLog_;
  std::mutex mutex_;
  std::condition_variable changed_;
  TargetBehaviour behaviour_;
  TargetCounters counters_;
  Random random_{ 1 };
  std::string bootId_;
  Clock::time_point bootTime_;
  unsigned connected_ = 0;
  /// Peers whose connection was set up.
  std::set<std::string> peers_;
  unsigned running_ = 0;
  /// Attempts in flight that were not cancelled.
  std::set<std::string> attempts_;
  /// True states and since when, for a health endpoint that lags.
  std::deque<std::pair<Clock::time_point, std::string>> states_;
};

} // namespace ibisrock::standin

#endif
