#include "adapters/caller_api.h"
#include "adapters/http_caller.h"
#include "cli/command.h"
#include "cli/input.h"
#include "version/sheet_checks.h"

#include <nlohmann/json.hpp>

namespace ibisrock::cli {

namespace {

/// Time to wait for a reply when the query names no deadline; the deadline of the service is not known here.
constexpr Micros kDefaultTimeout = Seconds(60);
/// Time for a reply to arrive after the deadline.
constexpr Micros kReplyGrace = Seconds(5);

/// Headers of the query; those of options that are absent are left out.
std::map<std::string, std::string>
MakeHeaders(const CommandCall& aCall)
{
  constexpr std::pair<const char*, const char*> kHeaders[] = { { "--caller", "Ibisrock-Caller" },
                                                               { "--key", "Idempotency-Key" },
                                                               { "--deadline-ms", "Ibisrock-Deadline-Ms" },
                                                               { "--coverage", "Ibisrock-Coverage" } };
  std::map<std::string, std::string> headers;
  for (const auto& [option, header] : kHeaders) {
    if (std::string text = OptionText(aCall, option); !text.empty()) {
      headers[header] = std::move(text);
    }
  }
  if (aCall.arguments_.at("--non-idempotent").asBool()) {
    headers["Ibisrock-Idempotent"] = "no";
  }
  return headers;
}

/// Refuses what an instance would refuse or ignore. Returns the query as an instance reads it.
std::optional<Query>
CheckQuery(const CommandCall& aCall, const adapters::HttpCall& aQuery, LastReason& aReason)
{
  const std::string service = aCall.arguments_.at("SERVICE").asString();
  if (auto fault = FindNameFault(service)) {
    aReason.Set("service name \"" + service + "\" " + *fault);
    return std::nullopt;
  }
  for (const char* option : { "--caller", "--key", "--deadline-ms", "--coverage" }) {
    if (aCall.arguments_.at(option) && OptionText(aCall, option).empty()) {
      aReason.Set(std::string(option) + " is empty");
      return std::nullopt;
    }
  }
  if (aCall.arguments_.at("--key") && !aCall.arguments_.at("--non-idempotent").asBool()) {
    aReason.Set("--key has an effect only with --non-idempotent");
    return std::nullopt;
  }
  const auto header = [&aQuery](const char* aName) {
    auto found = aQuery.headers_.find(aName);
    return found == aQuery.headers_.end() ? std::string() : found->second;
  };
  return adapters::ReadQuery({ aQuery.method_, aQuery.url_, "", aQuery.body_, header }, aReason);
}

/// An answer is a success; otherwise the verdict of the reply tells whether the query may have run.
ExitCode
CodeOf(const adapters::HttpOutcome& aOutcome)
{
  if (aOutcome.verdict_ != Verdict::Ran) {
    return aOutcome.verdict_ == Verdict::NotRun ? ExitCode::Failed : ExitCode::Unknown;
  }
  if (aOutcome.status_ == 200) {
    return ExitCode::Done;
  }
  const nlohmann::json body = nlohmann::json::parse(aOutcome.body_, nullptr, false);
  const auto verdict = body.is_object() ? body.find("verdict") : body.end();
  return verdict != body.end() && *verdict == std::string(ToString(Verdict::NotRun)) ? ExitCode::Failed
                                                                                     : ExitCode::Unknown;
}

} // namespace

ExitCode
RunQuery(const CommandCall& aCall)
{
  auto address = ReadAddress(aCall, "--instance");
  if (!address) {
    return ExitCode::BadInput;
  }
  adapters::HttpCall call;
  call.address_ = *address;
  call.method_ = "POST";
  call.url_ = "/v1/query/" + aCall.arguments_.at("SERVICE").asString();
  call.headers_ = MakeHeaders(aCall);
  call.body_ = aCall.arguments_.at("BODY").asString();
  call.freshConnection_ = true;
  LastReason reason;
  auto query = CheckQuery(aCall, call, reason);
  if (!query) {
    aCall.err_ << "ibisrock: " << reason.Text() << "\n";
    return ExitCode::BadInput;
  }
  call.timeout_ = query->deadline_ ? *query->deadline_ + kReplyGrace : kDefaultTimeout;
  const adapters::HttpOutcome outcome = adapters::HttpCaller().Call(call);
  if (outcome.verdict_ != Verdict::Ran) {
    aCall.err_ << "ibisrock: " << *address << ": " << ToString(outcome.verdict_) << ": " << outcome.error_ << "\n";
  }
  aCall.out_ << outcome.body_;
  return CodeOf(outcome);
}

} // namespace ibisrock::cli
