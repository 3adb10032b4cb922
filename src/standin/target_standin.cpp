#include "standin/target_standin.h"

#include "adapters/target_protocol.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <thread>

namespace ibisrock::standin {

namespace {

using adapters::HttpReply;
using adapters::HttpRequest;

constexpr std::string_view kSearchPath = "/search/";

HttpReply
NotRun(const char* aReason)
{
  return { 503, "text/plain", { { adapters::kNotRunHeader, aReason } }, "" };
}

} // namespace

HttpReply
TargetStandin::Handle(const HttpRequest& aRequest)
{
  if (aRequest.path_.starts_with(kSearchPath)) {
    return Search(aRequest.path_.substr(aRequest.path_.rfind('/') + 1), aRequest);
  }
  if (aRequest.path_ == "/health" || aRequest.path_ == "/cancel") {
    return { 200, "text/plain", {}, "ok\n" };
  }
  return { 404, "text/plain", {}, "no such path\n" };
}

HttpReply
TargetStandin::Search(const std::string& aShard, const HttpRequest& aRequest)
{
  if (aRequest.header_(adapters::kIndexVersionHeader) != std::to_string(behaviour_.indexVersion_)) {
    return NotRun("version-not-held");
  }
  if (running_.fetch_add(1) >= behaviour_.slots_) {
    running_--;
    return NotRun("overloaded");
  }
  std::this_thread::sleep_for(behaviour_.serviceTime_);
  running_--;
  const nlohmann::json match = { { "id", aShard + "/" + aRequest.body_ }, { "text", "match in " + aShard } };
  return { 200,
           "application/json",
           { { adapters::kIndexVersionHeader, std::to_string(behaviour_.indexVersion_) },
             { adapters::kHeldVersionsHeader, std::to_string(behaviour_.indexVersion_) },
             { adapters::kTargetStateHeader, "ready" } },
           nlohmann::json{ { "matches", { match } } }.dump() };
}

} // namespace ibisrock::standin
