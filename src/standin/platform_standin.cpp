#include "standin/platform_standin.h"

#include "adapters/http_object_store.h"

#include <chrono>
#include <cxxtools/query_params.h>
#include <string_view>

namespace ibisrock::standin {

namespace {

using adapters::HttpReply;
using adapters::HttpRequest;

constexpr std::string_view kObjectsPath = "/objects/";
constexpr std::string_view kWatchPath = "/watch/";
constexpr std::string_view kInstancesPath = "/instances";

HttpReply
ObjectReply(unsigned aStatus, uint64_t aRevision, const std::string& aValue)
{
  return { aStatus, "application/octet-stream", { { adapters::kRevisionHeader, std::to_string(aRevision) } }, aValue };
}

} // namespace

HttpReply
PlatformStandin::Handle(const HttpRequest& aRequest)
{
  const std::string& path = aRequest.path_;
  if (path.starts_with(kObjectsPath)) {
    const std::string key = path.substr(kObjectsPath.size());
    return aRequest.method_ == "PUT" ? PutObject(key, aRequest) : GetObject(key);
  }
  if (path.starts_with(kWatchPath)) {
    return WatchObject(path.substr(kWatchPath.size()), aRequest);
  }
  if (path == kInstancesPath) {
    std::lock_guard lock(mutex_);
    if (aRequest.method_ == "PUT") {
      instances_ = aRequest.body_;
    }
    return { 200, "application/json", {}, instances_ };
  }
  return { 404, "text/plain", {}, "no such path\n" };
}

HttpReply
PlatformStandin::GetObject(const std::string& aKey)
{
  std::lock_guard lock(mutex_);
  auto found = objects_.find(aKey);
  return found == objects_.end() ? ObjectReply(404, 0, "")
                                 : ObjectReply(200, found->second.revision_, found->second.value_);
}

HttpReply
PlatformStandin::PutObject(const std::string& aKey, const HttpRequest& aRequest)
{
  const uint64_t expected = std::strtoull(aRequest.header_(adapters::kIfRevisionHeader).c_str(), nullptr, 10);
  std::lock_guard lock(mutex_);
  auto found = objects_.find(aKey);
  const uint64_t current = found == objects_.end() ? 0 : found->second.revision_;
  if (current != expected) {
    return ObjectReply(409, current, "");
  }
  objects_[aKey] = { ++lastRevision_, aRequest.body_ };
  changed_.notify_all();
  return ObjectReply(200, lastRevision_, "");
}

HttpReply
PlatformStandin::WatchObject(const std::string& aKey, const HttpRequest& aRequest)
{
  const cxxtools::QueryParams parameters(aRequest.query_);
  const uint64_t after = std::strtoull(parameters.param("after").c_str(), nullptr, 10);
  const std::chrono::milliseconds timeout(std::strtoull(parameters.param("timeout_ms").c_str(), nullptr, 10));
  std::unique_lock lock(mutex_);
  const bool found = changed_.wait_for(lock, timeout, [&] {
    auto object = objects_.find(aKey);
    return object != objects_.end() && object->second.revision_ > after;
  });
  if (!found) {
    return ObjectReply(404, 0, "");
  }
  const Object& object = objects_.at(aKey);
  return ObjectReply(200, object.revision_, object.value_);
}

} // namespace ibisrock::standin
