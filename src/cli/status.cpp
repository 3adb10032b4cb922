#include "adapters/http_caller.h"
#include "cli/command.h"
#include "cli/input.h"
#include "cli/instance_status.h"
#include "cli/store_head.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>

namespace ibisrock::cli {

namespace {

/// What the command shows. Without a readable store, the version is the highest that an instance has.
struct Status
{
  uint64_t version_ = 0;
  /// Why the version or the instance list could not be read from the platform.
  std::string platformFault_;
  std::vector<InstanceStatus> instances_;
};

std::optional<std::vector<ListedAddress>>
FetchList(const std::string& aPlatform, LastReason& aReason)
{
  adapters::HttpCall call;
  call.address_ = aPlatform;
  call.url_ = "/instances";
  const adapters::HttpOutcome outcome = adapters::HttpCaller().Call(call);
  if (outcome.verdict_ != Verdict::Ran || outcome.status_ != 200) {
    aReason.Set("the instance list at " + aPlatform + " is unavailable");
    return std::nullopt;
  }
  return ParseAddressList(outcome.body_, aReason);
}

/// A leaving instance is expected not to be ready.
bool
IsFine(const InstanceStatus& aInstance, uint64_t aVersion)
{
  return aInstance.listed_.leaving_ || (aInstance.ready_ && aInstance.version_ == aVersion);
}

bool
IsFine(const Status& aStatus)
{
  return aStatus.platformFault_.empty() && aStatus.version_ != 0 && !aStatus.instances_.empty() &&
         std::all_of(aStatus.instances_.begin(), aStatus.instances_.end(), [&](const InstanceStatus& aInstance) {
           return IsFine(aInstance, aStatus.version_);
         });
}

void
WriteJson(std::ostream& aOut, const Status& aStatus)
{
  nlohmann::json instances = nlohmann::json::array();
  for (const InstanceStatus& instance : aStatus.instances_) {
    instances.push_back({ { "id", instance.listed_.id_ },
                          { "address", instance.listed_.httpAddress_ },
                          { "leaving", instance.listed_.leaving_ },
                          { "reachable", instance.reachable_ },
                          { "ready", instance.ready_ },
                          { "config_version", instance.version_ },
                          { "note", instance.note_ } });
  }
  const nlohmann::json json{ { "config_version", aStatus.version_ },
                             { "platform_fault", aStatus.platformFault_ },
                             { "in_force_everywhere", IsFine(aStatus) },
                             { "instances", instances } };
  aOut << json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

void
WriteText(std::ostream& aOut, const Status& aStatus)
{
  if (!aStatus.platformFault_.empty()) {
    aOut << aStatus.platformFault_ << "\n";
  }
  aOut << "configuration version " << aStatus.version_ << "\n";
  for (const InstanceStatus& instance : aStatus.instances_) {
    const char* ready = instance.reachable_ ? "not ready" : "unknown";
    aOut << std::left << std::setw(20) << (instance.listed_.id_.empty() ? "-" : instance.listed_.id_) << " "
         << std::setw(21) << (instance.listed_.httpAddress_.empty() ? "-" : instance.listed_.httpAddress_)
         << " version " << std::setw(6) << instance.version_ << " " << (instance.ready_ ? "ready" : ready)
         << (instance.listed_.leaving_ ? ", leaving" : "") << (instance.note_.empty() ? "" : ": " + instance.note_)
         << "\n";
  }
}

std::vector<ListedAddress>
ToListed(const std::vector<std::string>& aAddresses)
{
  std::vector<ListedAddress> listed;
  listed.reserve(aAddresses.size());
  for (const std::string& address : aAddresses) {
    listed.push_back({ "", address, false });
  }
  return listed;
}

/// aPlatform is empty when no platform is named; then aListed is given.
Status
ReadStatus(const std::string& aPlatform, std::optional<std::vector<ListedAddress>> aListed)
{
  Status status;
  LastReason reason;
  const auto head = aPlatform.empty() ? std::nullopt : ReadHead(aPlatform, reason);
  if (!aListed) {
    aListed = FetchList(aPlatform, reason);
  }
  status.platformFault_ = reason.Text();
  status.instances_ = AskInstances(aListed.value_or(std::vector<ListedAddress>()));
  if (head) {
    status.version_ = head->version_.Value();
  } else {
    for (const InstanceStatus& instance : status.instances_) {
      status.version_ = std::max(status.version_, instance.version_);
    }
  }
  return status;
}

} // namespace

ExitCode
RunStatus(const CommandCall& aCall)
{
  std::string platform;
  if (aCall.arguments_.at("--platform")) {
    auto address = ReadAddress(aCall, "--platform");
    if (!address) {
      return ExitCode::BadInput;
    }
    platform = *address;
  }
  std::optional<std::vector<ListedAddress>> listed;
  if (aCall.arguments_.at("--instances")) {
    auto addresses = ReadAddresses(aCall, "--instances");
    if (!addresses) {
      return ExitCode::BadInput;
    }
    listed = ToListed(*addresses);
  }
  const Status status = ReadStatus(platform, std::move(listed));
  (aCall.arguments_.at("--json").asBool() ? &WriteJson : &WriteText)(aCall.out_, status);
  return IsFine(status) ? ExitCode::Done : ExitCode::Failed;
}

} // namespace ibisrock::cli
