#include "adapters/http_target_client.h"

#include "adapters/target_protocol.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

namespace ibisrock::adapters {

namespace {

constexpr Micros kCancelTimeout = Millis(200);
constexpr Micros kProbeTimeout = Millis(500);
/// Targets reply with some kilobytes. All threads together stay within the memory of an instance even if their targets
/// send without end.
constexpr uint64_t kMaxReply = 1 << 20;

std::string
HeaderOf(const HttpOutcome& aOutcome, const char* aName)
{
  auto found = aOutcome.headers_.find(aName);
  return found == aOutcome.headers_.end() ? std::string() : found->second;
}

TargetState
StateFromText(const std::string& aText)
{
  if (aText == "ready") {
    return TargetState::Ready;
  }
  if (aText == "warming") {
    return TargetState::Warming;
  }
  return aText == "draining" ? TargetState::Draining : TargetState::Unknown;
}

std::vector<IndexVersion>
VersionsFromText(const std::string& aText)
{
  std::vector<IndexVersion> versions;
  std::istringstream in(aText);
  uint64_t version = 0;
  while (in >> version) {
    versions.emplace_back(version);
    in.ignore(1, ',');
  }
  return versions;
}

IndexVersion
VersionFromText(const std::string& aText)
{
  const std::vector<IndexVersion> versions = VersionsFromText(aText);
  return versions.empty() ? IndexVersion() : versions.front();
}

/// Reads the matches. Returns false when the body is not what the protocol asks for.
bool
ReadMatches(const std::string& aBody, std::vector<Match>& aMatches)
{
  try {
    const nlohmann::json document = nlohmann::json::parse(aBody);
    for (const auto& match : document.at("matches")) {
      aMatches.push_back({ match.at("id").get<std::string>(), match.at("text").get<std::string>() });
    }
    return true;
  } catch (const nlohmann::json::exception&) {
    aMatches.clear();
    return false;
  }
}

/// Whether a header that decides what a reply means occurs more than once: which value holds cannot be known.
bool
HasRepeatedHeader(const HttpOutcome& aOutcome)
{
  constexpr std::array kDecisive{ kIndexVersionHeader, kTargetStateHeader, kBootHeader, kNotRunHeader };
  return std::any_of(
    kDecisive.begin(), kDecisive.end(), [&](const char* aName) { return aOutcome.repeated_.contains(aName); });
}

/// Reads what the target says of itself in the headers of any complete reply.
TargetReply
DescribeTarget(const HttpOutcome& aOutcome)
{
  TargetReply reply;
  reply.verdict_ = aOutcome.verdict_;
  reply.reason_ = aOutcome.reason_;
  reply.lostKeptConnection_ = aOutcome.lostKeptConnection_;
  if (aOutcome.verdict_ == Verdict::Ran && HasRepeatedHeader(aOutcome)) {
    reply.verdict_ = Verdict::MayHaveRun;
    reply.reason_ = Reason::TargetError;
  } else if (aOutcome.verdict_ == Verdict::Ran) {
    reply.state_ = StateFromText(HeaderOf(aOutcome, kTargetStateHeader));
    reply.boot_ = BootId(HeaderOf(aOutcome, kBootHeader));
    reply.held_ = VersionsFromText(HeaderOf(aOutcome, kHeldVersionsHeader));
  }
  return reply;
}

} // namespace

TargetReply
ToTargetReply(const HttpOutcome& aOutcome)
{
  TargetReply reply = DescribeTarget(aOutcome);
  if (reply.verdict_ != Verdict::Ran) {
    return reply;
  }
  reply.version_ = VersionFromText(HeaderOf(aOutcome, kIndexVersionHeader));
  const std::string notRun = HeaderOf(aOutcome, kNotRunHeader);
  if (aOutcome.status_ != 200 && !notRun.empty()) {
    reply.verdict_ = Verdict::NotRun;
    reply.reason_ = ReasonFromString(notRun);
  } else if (aOutcome.status_ != 200 || !ReadMatches(aOutcome.body_, reply.matches_)) {
    reply.verdict_ = Verdict::MayHaveRun;
    reply.reason_ = Reason::TargetError;
  }
  return reply;
}

void
HttpTargetClient::Start(const TargetAttempt& aAttempt, Callback aCallback)
{
  {
    std::lock_guard lock(mutex_);
    running_[aAttempt.id_] = aAttempt.address_;
  }
  workers_.Add([this, aAttempt, callback = std::move(aCallback)] {
    TargetReply reply = Run(aAttempt);
    {
      std::lock_guard lock(mutex_);
      running_.erase(aAttempt.id_);
    }
    callback(std::move(reply));
  });
}

TargetReply
HttpTargetClient::Run(const TargetAttempt& aAttempt)
{
  HttpCall call;
  call.maxReply_ = kMaxReply;
  call.address_ = aAttempt.address_.Value();
  call.method_ = "POST";
  call.url_ = "/search/" + aAttempt.service_.Value() + "/" + aAttempt.shard_.Value();
  call.headers_ = { { kAttemptHeader, ToString(aAttempt.id_) },
                    { kIndexVersionHeader, std::to_string(aAttempt.version_.Value()) },
                    { kDeadlineHeader, std::to_string(aAttempt.budget_.count() / 1000) },
                    { kIdempotentHeader, aAttempt.idempotent_ ? "yes" : "no" } };
  call.body_ = aAttempt.body_;
  call.timeout_ = aAttempt.budget_;
  call.freshConnection_ = aAttempt.newConnection_;
  call.maxConnections_ = aAttempt.maxConnections_;
  return ToTargetReply(caller_.Call(call));
}

void
HttpTargetClient::Cancel(const AttemptId& aId)
{
  TargetAddress address;
  {
    std::lock_guard lock(mutex_);
    auto found = running_.find(aId);
    if (found == running_.end()) {
      return;
    }
    address = found->second;
  }
  workers_.Add([this, address, aId] {
    HttpCall call;
    call.maxReply_ = kMaxReply;
    call.address_ = address.Value();
    call.method_ = "POST";
    call.url_ = "/cancel";
    call.headers_ = { { kAttemptHeader, ToString(aId) } };
    call.timeout_ = kCancelTimeout;
    caller_.Call(call);
  });
}

void
HttpTargetClient::Probe(const TargetName& /*aTarget*/, const TargetAddress& aAddress, Callback aCallback)
{
  workers_.Add([this, aAddress, callback = std::move(aCallback)] {
    HttpCall call;
    call.maxReply_ = kMaxReply;
    call.address_ = aAddress.Value();
    call.url_ = "/health";
    call.timeout_ = kProbeTimeout;
    callback(DescribeTarget(caller_.Call(call)));
  });
}

} // namespace ibisrock::adapters
