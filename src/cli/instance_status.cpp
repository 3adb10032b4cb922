#include "cli/instance_status.h"

#include "adapters/http_caller.h"
#include "adapters/worker_pool.h"
#include "version/sheet_checks.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>

namespace ibisrock::cli {

namespace {

constexpr Micros kStateTimeout = Seconds(2);
/// Instances asked at the same time. Unreachable ones take the whole timeout each.
constexpr size_t kAskThreads = 32;

InstanceStatus
Ask(adapters::HttpCaller& aCaller, const ListedAddress& aListed)
{
  InstanceStatus status;
  status.listed_ = aListed;
  if (!IsIpAndPort(aListed.httpAddress_)) {
    status.note_ = aListed.httpAddress_.empty() ? "the instance list names no http_address"
                                                : "the http_address is not of the form ip:port";
    return status;
  }
  adapters::HttpCall call;
  call.address_ = aListed.httpAddress_;
  call.url_ = "/debug/state";
  call.maxReply_ = adapters::HttpCall::kMaxStateDump;
  call.timeout_ = kStateTimeout;
  const adapters::HttpOutcome outcome = aCaller.Call(call);
  if (outcome.verdict_ != Verdict::Ran) {
    status.note_ = outcome.error_;
  } else if (outcome.status_ != 200) {
    status.note_ = "status code " + std::to_string(outcome.status_);
  } else {
    ReadState(outcome.body_, status);
  }
  return status;
}

} // namespace

std::optional<std::vector<ListedAddress>>
ParseAddressList(const std::string& aJson, LastReason& aReason)
{
  try {
    std::vector<ListedAddress> listed;
    for (const auto& entry : nlohmann::json::parse(aJson)) {
      listed.push_back({ entry.at("id").get<std::string>(),
                         entry.value("http_address", std::string()),
                         entry.value("leaving", false) });
    }
    return listed;
  } catch (const nlohmann::json::exception& error) {
    aReason.Set(std::string("the instance list is malformed: ") + error.what());
    return std::nullopt;
  }
}

void
ReadState(const std::string& aJson, InstanceStatus& aStatus)
{
  try {
    const auto state = nlohmann::json::parse(aJson);
    aStatus.listed_.id_ = state.at("instance").get<std::string>();
    aStatus.version_ = state.at("config").at("version").get<uint64_t>();
    aStatus.ready_ = state.at("ready").get<bool>();
    aStatus.note_ = aStatus.ready_ ? "" : state.at("not_ready_reason").get<std::string>();
    aStatus.reachable_ = true;
  } catch (const nlohmann::json::exception& error) {
    aStatus.ready_ = false;
    aStatus.note_ = std::string("malformed state: ") + error.what();
  }
}

std::vector<InstanceStatus>
AskInstances(const std::vector<ListedAddress>& aListed)
{
  std::vector<std::promise<InstanceStatus>> promises(aListed.size());
  adapters::HttpCaller caller;
  adapters::WorkerPool pool(static_cast<unsigned>(std::clamp<size_t>(aListed.size(), 1, kAskThreads)));
  for (size_t index = 0; index < aListed.size(); index++) {
    pool.Add([&, index] { promises[index].set_value(Ask(caller, aListed[index])); });
  }
  std::vector<InstanceStatus> statuses;
  statuses.reserve(aListed.size());
  for (auto& promise : promises) {
    statuses.push_back(promise.get_future().get());
  }
  return statuses;
}

} // namespace ibisrock::cli
