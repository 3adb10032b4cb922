#include "standin/platform_standin.h"

#include "adapters/http_object_store.h"

#include <chrono>
#include <cxxtools/query_params.h>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace ibisrock::standin {

namespace {

using adapters::HttpReply;
using adapters::HttpRequest;

constexpr std::string_view kObjectsPath = "/objects/";
constexpr std::string_view kWatchPath = "/watch/";
constexpr std::string_view kInstancesPath = "/instances";
constexpr std::string_view kAdminPath = "/admin";

HttpReply
ObjectReply(unsigned aStatus, uint64_t aRevision, const std::string& aValue)
{
  return { aStatus, "application/octet-stream", { { adapters::kRevisionHeader, std::to_string(aRevision) } }, aValue };
}

HttpReply
TextReply(unsigned aStatus, const std::string& aText)
{
  return { aStatus, "text/plain", {}, aText + "\n" };
}

HttpReply
OutageReply()
{
  return TextReply(503, "outage");
}

} // namespace

PlatformStandin::PlatformStandin(std::function<ValueHistory::Clock::time_point()> aNow)
  : now_(std::move(aNow))
{
}

HttpReply
PlatformStandin::Handle(const HttpRequest& aRequest)
{
  const std::string& path = aRequest.path_;
  if (path.starts_with(kObjectsPath)) {
    return HandleObject(aRequest);
  }
  if (path.starts_with(kWatchPath)) {
    return HandleWatch(aRequest);
  }
  if (path == kInstancesPath) {
    return HandleInstances(aRequest);
  }
  return path == kAdminPath ? HandleAdmin(aRequest) : TextReply(404, "no such path");
}

HttpReply
PlatformStandin::HandleAdmin(const HttpRequest& aRequest)
{
  const Lock lock(mutex_);
  if (aRequest.method_ == "PUT") {
    LastReason reason;
    auto changed = ChangeBehaviour(behaviour_, aRequest.body_, reason);
    if (!changed) {
      return TextReply(400, reason.Text());
    }
    if (changed->outage_ && !behaviour_.outage_) {
      outages_++;
    }
    behaviour_ = *changed;
    changed_.notify_all();
  }
  return State();
}

/// Settings and numbers of calls. Needs the lock.
HttpReply
PlatformStandin::State() const
{
  auto json = nlohmann::json::parse(EncodeBehaviour(behaviour_));
  json["reads"] = counters_.reads_;
  json["writes"] = counters_.writes_;
  json["watches"] = counters_.watches_;
  json["lists"] = counters_.lists_;
  json["waiting_watches"] = waitingWatches_;
  return { 200, "application/json", {}, json.dump() + "\n" };
}

/// Waits for the set delay and tells whether the call meets an outage, which also ends the delay.
bool
PlatformStandin::IsRefused(Lock& aLock)
{
  const uint64_t outages = outages_;
  changed_.wait_for(aLock, behaviour_.delay_, [&] { return behaviour_.outage_ || outages_ != outages; });
  return behaviour_.outage_ || outages_ != outages;
}

HttpReply
PlatformStandin::HandleObject(const HttpRequest& aRequest)
{
  const bool writes = aRequest.method_ == "PUT";
  const std::string key = aRequest.path_.substr(kObjectsPath.size());
  Lock lock(mutex_);
  (writes ? counters_.writes_ : counters_.reads_)++;
  if (IsRefused(lock)) {
    return OutageReply();
  }
  return writes ? PutObject(key, aRequest) : GetObject(key);
}

/// Needs the lock.
HttpReply
PlatformStandin::GetObject(const std::string& aKey)
{
  const ValueHistory::Entry* entry = objects_[aKey].At(now_() - behaviour_.staleness_);
  return entry == nullptr ? ObjectReply(404, 0, "") : ObjectReply(200, entry->revision_, entry->value_);
}

/// Needs the lock. A lost answer is a 500, which says nothing about whether the change took effect.
HttpReply
PlatformStandin::PutObject(const std::string& aKey, const HttpRequest& aRequest)
{
  const uint64_t expected = std::strtoull(aRequest.header_(adapters::kIfRevisionHeader).c_str(), nullptr, 10);
  ValueHistory& object = objects_[aKey];
  const ValueHistory::Entry* newest = object.Newest();
  const uint64_t current = newest == nullptr ? 0 : newest->revision_;
  if (current != expected) {
    return ObjectReply(409, current, "");
  }
  object.Add(++lastRevision_, aRequest.body_, now_());
  changed_.notify_all();
  if (behaviour_.lostAnswers_ > 0) {
    behaviour_.lostAnswers_--;
    return TextReply(500, "answer lost");
  }
  return ObjectReply(200, lastRevision_, "");
}

HttpReply
PlatformStandin::HandleWatch(const HttpRequest& aRequest)
{
  const std::string key = aRequest.path_.substr(kWatchPath.size());
  const cxxtools::QueryParams parameters(aRequest.query_);
  const uint64_t after = std::strtoull(parameters.param("after").c_str(), nullptr, 10);
  const std::chrono::milliseconds timeout(std::strtoull(parameters.param("timeout_ms").c_str(), nullptr, 10));
  Lock lock(mutex_);
  counters_.watches_++;
  if (IsRefused(lock)) {
    return OutageReply();
  }
  const ValueHistory& object = objects_[key];
  const auto changed = [&] { return object.Newest() != nullptr && object.Newest()->revision_ > after; };
  const uint64_t outages = outages_;
  waitingWatches_++;
  changed_.wait_for(lock, timeout, [&] { return outages_ != outages || changed(); });
  waitingWatches_--;
  if (outages_ != outages) {
    return OutageReply();
  }
  return changed() ? ObjectReply(200, object.Newest()->revision_, object.Newest()->value_) : ObjectReply(404, 0, "");
}

/// PUT replaces the list and is not affected by faults: it stands for the platform's own knowledge.
HttpReply
PlatformStandin::HandleInstances(const HttpRequest& aRequest)
{
  Lock lock(mutex_);
  if (aRequest.method_ == "PUT") {
    if (!nlohmann::json::parse(aRequest.body_, nullptr, false).is_array()) {
      return TextReply(400, "the instance list is not a JSON array");
    }
    instances_.Add(++lastRevision_, aRequest.body_, now_());
    return { 200, "application/json", {}, aRequest.body_ };
  }
  counters_.lists_++;
  if (IsRefused(lock)) {
    return OutageReply();
  }
  const ValueHistory::Entry* entry = instances_.At(now_() - behaviour_.listLag_);
  return { 200, "application/json", {}, entry == nullptr ? "[]" : entry->value_ };
}

} // namespace ibisrock::standin
