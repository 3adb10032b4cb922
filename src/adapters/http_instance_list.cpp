#include "adapters/http_instance_list.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace ibisrock::adapters {

namespace {

constexpr Micros kFetchTimeout = Seconds(2);

std::optional<std::vector<ListedInstance>>
ParseList(const std::string& aBody)
{
  try {
    std::vector<ListedInstance> listed;
    for (const auto& entry : nlohmann::json::parse(aBody)) {
      listed.push_back({ InstanceId(entry.at("id").get<std::string>()),
                         PeerAddress(entry.at("address").get<std::string>()),
                         DataCentre(entry.at("data_centre").get<std::string>()),
                         entry.at("leaving").get<bool>() });
    }
    return listed;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace

HttpInstanceList::HttpInstanceList(std::string aAddress)
  : address_(std::move(aAddress))
  , worker_(1)
{
}

void
HttpInstanceList::Fetch(Callback aCallback)
{
  worker_.Add([this, callback = std::move(aCallback)] {
    HttpCall call;
    call.address_ = address_;
    call.url_ = "/instances";
    call.timeout_ = kFetchTimeout;
    const HttpOutcome outcome = caller_.Call(call);
    const bool ok = outcome.verdict_ == Verdict::Ran && outcome.status_ == 200;
    callback(ok ? ParseList(outcome.body_) : std::nullopt);
  });
}

} // namespace ibisrock::adapters
