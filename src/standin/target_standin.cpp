#include "standin/target_standin.h"

#include "adapters/target_protocol.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string_view>

namespace ibisrock::standin {

namespace {

using adapters::HttpReply;
using adapters::HttpRequest;

constexpr std::string_view kSearchPath = "/search/";

/// Text that differs between two starts of any target.
std::string
NewBootId()
{
  static std::atomic<uint64_t> starts{ 0 };
  return std::to_string(std::chrono::system_clock::now().time_since_epoch().count()) + "-" + std::to_string(++starts);
}

HttpReply
Text(unsigned aStatus, const char* aText)
{
  return { aStatus, "text/plain", {}, aText };
}

} // namespace

TargetStandin::TargetStandin(TargetBehaviour aBehaviour, std::function<void()> aCrash, std::shared_ptr<RunLog> aRunLog)
  : crash_(std::move(aCrash))
  , runLog_(std::move(aRunLog))
  , behaviour_(std::move(aBehaviour))
{
  Restart();
}

/// Needs the lock, but in the constructor.
void
TargetStandin::Restart()
{
  bootId_ = NewBootId();
  bootTime_ = Clock::now();
}

/// Needs the lock.
std::string
TargetStandin::State() const
{
  if (behaviour_.draining_) {
    return "draining";
  }
  return Clock::now() - bootTime_ < behaviour_.coldStart_ ? "warming" : "ready";
}

HttpReply
TargetStandin::Handle(const HttpRequest& aRequest)
{
  if (aRequest.path_.starts_with(kSearchPath)) {
    return Search(aRequest.path_.substr(aRequest.path_.rfind('/') + 1), aRequest);
  }
  std::lock_guard lock(mutex_);
  if (aRequest.path_ == "/health") {
    return Health();
  }
  if (aRequest.path_ == "/cancel") {
    attempts_.erase(aRequest.header_(adapters::kAttemptHeader));
    changed_.notify_all();
    return Text(200, "ok\n");
  }
  if (aRequest.path_ == "/restart") {
    Restart();
    return Text(200, "ok\n");
  }
  if (aRequest.path_ == "/admin") {
    return aRequest.method_ == "PUT" ? Change(aRequest.body_) : HttpReply{ 200, "application/json", {}, Counters() };
  }
  return Text(404, "no such path\n");
}

/// Needs the lock.
HttpReply
TargetStandin::Change(const std::string& aJson)
{
  LastReason reason;
  auto changed = ChangeBehaviour(behaviour_, aJson, reason);
  if (!changed) {
    return { 400, "text/plain", {}, reason.Text() + "\n" };
  }
  states_.emplace_back(Clock::now(), State());
  behaviour_ = std::move(*changed);
  return Text(200, "ok\n");
}

/// Needs the lock. A state holds until the time of its entry, at which the behaviour was changed.
HttpReply
TargetStandin::Health()
{
  const Clock::time_point shown = Clock::now() - behaviour_.healthLag_;
  auto entry =
    std::find_if(states_.begin(), states_.end(), [shown](const auto& aEntry) { return aEntry.first > shown; });
  std::string state = entry == states_.end() ? State() : entry->second;
  if (!behaviour_.falseHealth_.empty()) {
    state = behaviour_.falseHealth_;
  }
  return Describe(Text(200, "ok\n"), state);
}

/// Needs the lock.
HttpReply
TargetStandin::Describe(HttpReply aReply, const std::string& aState) const
{
  std::string held;
  for (uint64_t version : behaviour_.versions_) {
    held += (held.empty() ? "" : ",") + std::to_string(version);
  }
  aReply.headers_[adapters::kHeldVersionsHeader] = held;
  aReply.headers_[adapters::kTargetStateHeader] = aState;
  aReply.headers_[adapters::kBootHeader] = bootId_;
  return aReply;
}

/// Needs the lock.
HttpReply
TargetStandin::NotRun(const char* aReason, uint64_t& aCounter) const
{
  aCounter++;
  return Describe({ 503, "text/plain", { { adapters::kNotRunHeader, aReason } }, "" }, State());
}

/// Needs the lock.
Micros
TargetStandin::WorkTime()
{
  Micros time = behaviour_.serviceTime_;
  if (State() == "warming") {
    time *= behaviour_.coldFactor_;
  }
  return random_.Unit() < behaviour_.slowShare_ ? time * behaviour_.slowFactor_ : time;
}

HttpReply
TargetStandin::Search(const std::string& aShard, const HttpRequest& aRequest)
{
  Lock lock(mutex_);
  if (behaviour_.connections_ != 0 && connected_ >= behaviour_.connections_) {
    return NotRun("overloaded", counters_.refusedConnection_);
  }
  connected_++;
  if (IsNewPeer(aRequest.peer_)) {
    changed_.wait_for(lock, behaviour_.connectTime_, [] { return false; });
  }
  HttpReply reply = Admit(aShard, aRequest);
  if (reply.status_ == 200) {
    reply = RunSearch(lock, aShard, aRequest);
  }
  connected_--;
  return reply;
}

/// A port that the system gives to a later connection counts as the same peer until the set is cleared. Needs the lock.
bool
TargetStandin::IsNewPeer(const std::string& aPeer)
{
  constexpr size_t kMaxPeers = 1000;
  if (peers_.size() >= kMaxPeers) {
    peers_.clear();
  }
  return peers_.insert(aPeer).second;
}

/// Refuses what the target does not take; status 200 means that it may run. Needs the lock.
HttpReply
TargetStandin::Admit(const std::string& aShard, const HttpRequest& aRequest)
{
  if (behaviour_.draining_) {
    return NotRun("draining", counters_.refusedDraining_);
  }
  const uint64_t version = std::strtoull(aRequest.header_(adapters::kIndexVersionHeader).c_str(), nullptr, 10);
  const bool holdsShard = behaviour_.shards_.empty() || behaviour_.shards_.contains(aShard);
  if (!behaviour_.versions_.contains(version) || !holdsShard) {
    return NotRun("version-not-held", counters_.refusedVersion_);
  }
  if (running_ >= behaviour_.slots_) {
    return NotRun("overloaded", counters_.shed_);
  }
  return HttpReply();
}

/// Holds a slot for the time of the work, until the deadline or until a cancellation.
HttpReply
TargetStandin::RunSearch(Lock& aLock, const std::string& aShard, const HttpRequest& aRequest)
{
  const std::string version = aRequest.header_(adapters::kIndexVersionHeader);
  if (runLog_) {
    runLog_->Add(aShard, version, aRequest.body_);
  }
  if (!behaviour_.crashBody_.empty() && behaviour_.crashBody_ == aRequest.body_) {
    counters_.crashed_++;
    if (crash_) {
      crash_();
    }
    return Text(500, "crashed\n");
  }
  const Micros work = WorkTime();
  const std::string deadline = aRequest.header_(adapters::kDeadlineHeader);
  const Micros allowed = deadline.empty() ? work : Millis(std::strtoll(deadline.c_str(), nullptr, 10));
  running_++;
  const bool cancelled =
    !WaitForWork(aLock, aRequest.header_(adapters::kAttemptHeader), Clock::now() + std::min(work, allowed));
  running_--;
  if (cancelled || allowed < work) {
    (cancelled ? counters_.cancelled_ : counters_.expired_)++;
    return Describe(Text(504, "stopped\n"), State());
  }
  counters_.ran_++;
  const nlohmann::json match = { { "id", aShard + "/" + aRequest.body_ },
                                 { "text", "match in " + aShard + " of index version " + version } };
  HttpReply reply =
    Describe({ 200, "application/json", {}, nlohmann::json{ { "matches", { match } } }.dump() }, State());
  reply.headers_[adapters::kIndexVersionHeader] = version;
  return reply;
}

/// Returns false when the attempt was cancelled before aUntil.
bool
TargetStandin::WaitForWork(Lock& aLock, const std::string& aAttempt, Clock::time_point aUntil)
{
  if (aAttempt.empty()) {
    changed_.wait_until(aLock, aUntil, [] { return false; });
    return true;
  }
  attempts_.insert(aAttempt);
  const bool cancelled = changed_.wait_until(aLock, aUntil, [&] { return !attempts_.contains(aAttempt); });
  attempts_.erase(aAttempt);
  return !cancelled;
}

/// Needs the lock.
std::string
TargetStandin::Counters() const
{
  return nlohmann::json{
    { "boot", bootId_ },
    { "state", State() },
    { "running", running_ },
    { "connected", connected_ },
    { "ran", counters_.ran_ },
    { "shed", counters_.shed_ },
    { "refused_version", counters_.refusedVersion_ },
    { "refused_draining", counters_.refusedDraining_ },
    { "refused_connection", counters_.refusedConnection_ },
    { "cancelled", counters_.cancelled_ },
    { "expired", counters_.expired_ },
    { "crashed", counters_.crashed_ }
  }.dump();
}

} // namespace ibisrock::standin
