#include "adapters/caller_api.h"

#include "adapters/api_error.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <future>
#include <nlohmann/json.hpp>

namespace ibisrock::adapters {

namespace {

constexpr std::string_view kQueryPath = "/v1/query/";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr size_t kLongestName = 128;

HttpReply
TextReply(unsigned aStatus, const std::string& aText)
{
  return { aStatus, "text/plain", {}, aText + "\n" };
}

HttpReply
Malformed(const std::string& aText)
{
  return NotRunReply(400, "malformed", aText);
}

/// Refuses every method but aAllowed.
std::optional<HttpReply>
CheckMethod(const HttpRequest& aRequest, const char* aAllowed)
{
  if (aRequest.method_ == aAllowed) {
    return std::nullopt;
  }
  HttpReply reply = NotRunReply(405, "method-not-allowed", std::string("this path accepts only ") + aAllowed);
  reply.headers_["Allow"] = aAllowed;
  return reply;
}

/// Caller and key become parts of store keys separated by '/', and of logs.
bool
CheckName(const HttpRequest& aRequest, const char* aHeader, LastReason& aReason)
{
  const std::string value = aRequest.header_(aHeader);
  const bool valid = std::all_of(value.begin(), value.end(), [](unsigned char aLetter) {
    return std::isalnum(aLetter) != 0 ||
           std::string_view("-_.:@").find(static_cast<char>(aLetter)) != std::string::npos;
  });
  if (!valid || value.size() > kLongestName) {
    aReason.Set(std::string("header ") + aHeader +
                " must have at most 128 letters, digits, '-', '_', '.', ':' and '@'");
    return false;
  }
  return true;
}

/// Reads an optional header that has two allowed values. Returns false for any other value.
bool
ReadChoice(const std::string& aText, const char* aTrue, const char* aFalse, std::optional<bool>& aValue)
{
  if (aText.empty()) {
    return true;
  }
  if (aText != aTrue && aText != aFalse) {
    return false;
  }
  aValue = aText == aTrue;
  return true;
}

HttpReply
AnswerQuery(Instance& aInstance, const HttpRequest& aRequest)
{
  if (auto refusal = CheckMethod(aRequest, "POST")) {
    return *refusal;
  }
  LastReason reason;
  auto query = ReadQuery(aRequest, reason);
  if (!query) {
    return Malformed(reason.Text());
  }
  auto promise = std::make_shared<std::promise<Answer>>();
  aInstance.Submit(std::move(*query), [promise](Answer aAnswer) { promise->set_value(std::move(aAnswer)); });
  return ReplyTo(promise->get_future().get());
}

struct StatusMessage
{
  unsigned status_;
  const char* text_;
};

constexpr StatusMessage kMessages[] = {
  { 404, "no service of this name is in force" },
  { 409, "the idempotency key belongs to another request or to one that is not finished" },
  { 422, "the request is refused because it may crash targets" },
  { 429, "the service or the caller is over its limit" },
  { 503, "the request was not run" },
  { 504, "the request may have run: no shard replied in time, or the record of its key was not read" },
};

const char*
MessageOf(unsigned aStatus)
{
  for (const StatusMessage& message : kMessages) {
    if (message.status_ == aStatus) {
      return message.text_;
    }
  }
  return "";
}

/// Seconds for Retry-After, rounded up so that a caller that follows it is not early.
std::string
RetryAfterSeconds(Micros aTime)
{
  return std::to_string(std::max<int64_t>(1, std::chrono::ceil<Seconds>(aTime).count()));
}

HttpReply
AnswerReady(const Instance& aInstance)
{
  LastReason reason;
  return aInstance.IsReady(reason) ? TextReply(200, "ready") : TextReply(503, reason.Text());
}

HttpReply
AnswerMetrics(const Instance& aInstance, PrometheusMetrics& aMetrics, const HttpRequest& aRequest)
{
  auto refusal = CheckMethod(aRequest, "GET");
  return refusal ? *refusal : HttpReply{ 200, "text/plain; version=0.0.4", {}, aMetrics.Text(aInstance) };
}

struct Endpoint
{
  const char* path_;
  HttpReply (*answer_)(const Instance&);
};

constexpr Endpoint kEndpoints[] = {
  { "/healthz", [](const Instance&) { return TextReply(200, "ok"); } },
  { "/readyz", &AnswerReady },
  { "/debug/state",
    [](const Instance& aInstance) {
      return HttpReply{ 200, "application/json", {}, aInstance.DumpState() + "\n" };
    } },
};

HttpReply
Route(Instance& aInstance, const HttpRequest& aRequest)
{
  if (aRequest.path_.starts_with(kQueryPath)) {
    return AnswerQuery(aInstance, aRequest);
  }
  for (const Endpoint& endpoint : kEndpoints) {
    if (aRequest.path_ == endpoint.path_) {
      auto refusal = CheckMethod(aRequest, "GET");
      return refusal ? *refusal : endpoint.answer_(aInstance);
    }
  }
  return NotRunReply(404, "unknown-path", "no such path");
}

} // namespace

std::optional<Query>
ReadQuery(const HttpRequest& aRequest, LastReason& aReason)
{
  if (!CheckName(aRequest, "Ibisrock-Caller", aReason) || !CheckName(aRequest, "Idempotency-Key", aReason)) {
    return std::nullopt;
  }
  Query query;
  query.service_ = ServiceName(aRequest.path_.substr(kQueryPath.size()));
  query.caller_ = CallerName(aRequest.header_("Ibisrock-Caller"));
  query.key_ = IdempotencyKey(aRequest.header_("Idempotency-Key"));
  query.body_ = aRequest.body_;
  std::optional<bool> idempotent;
  if (!ReadChoice(aRequest.header_("Ibisrock-Idempotent"), "yes", "no", idempotent)) {
    aReason.Set("header Ibisrock-Idempotent must be yes or no");
    return std::nullopt;
  }
  query.idempotent_ = idempotent.value_or(true);
  if (!ReadChoice(aRequest.header_("Ibisrock-Coverage"), "full", "partial", query.fullCoverage_)) {
    aReason.Set("header Ibisrock-Coverage must be full or partial");
    return std::nullopt;
  }
  const std::string deadline = aRequest.header_("Ibisrock-Deadline-Ms");
  if (!deadline.empty()) {
    int64_t milliseconds = 0;
    auto [end, error] = std::from_chars(deadline.data(), deadline.data() + deadline.size(), milliseconds);
    if (error != std::errc() || end != deadline.data() + deadline.size() || milliseconds <= 0 ||
        milliseconds > Millis(Seconds(3600)).count()) {
      aReason.Set("header Ibisrock-Deadline-Ms must be a whole number from 1 to 3600000");
      return std::nullopt;
    }
    query.deadline_ = Millis(milliseconds);
  }
  return query;
}

HttpReply
ReplyTo(const Answer& aAnswer)
{
  HttpReply reply{ StatusOf(aAnswer),
                   "application/json",
                   { { "Ibisrock-Verdict", std::string(ToString(aAnswer.verdict_)) },
                     { "Ibisrock-Request", ToString(aAnswer.request_) } },
                   EncodeAnswer(aAnswer) + "\n" };
  if (reply.status_ == 429 || reply.status_ == 503) {
    reply.headers_["Retry-After"] = RetryAfterSeconds(aAnswer.retryAfter_);
  }
  return reply;
}

unsigned
StatusOf(const Answer& aAnswer)
{
  if (!aAnswer.covered_.empty()) {
    return 200;
  }
  switch (aAnswer.reason_) {
    case Reason::UnknownService:
      return 404;
    case Reason::KeyConflict:
    case Reason::KeyInProgress:
      return 409;
    case Reason::CrashSuspect:
      return 422;
    case Reason::OverLimit:
      return 429;
    default:
      return aAnswer.verdict_ == Verdict::NotRun ? 503 : 504;
  }
}

std::string
EncodeAnswer(const Answer& aAnswer)
{
  nlohmann::json matches = nlohmann::json::array();
  for (const Match& match : aAnswer.matches_) {
    matches.push_back({ { "id", match.id_ }, { "text", match.text_ } });
  }
  nlohmann::json covered = nlohmann::json::array();
  for (const ShardName& shard : aAnswer.covered_) {
    covered.push_back(shard.Value());
  }
  nlohmann::json missing = nlohmann::json::object();
  for (const auto& [shard, reason] : aAnswer.missing_) {
    missing[shard.Value()] = ToString(reason);
  }
  const bool complete = aAnswer.missing_.empty() && !aAnswer.covered_.empty();
  return nlohmann::json{
    { "request", ToString(aAnswer.request_) },
    { "verdict", ToString(aAnswer.verdict_) },
    { "reason", ToString(aAnswer.reason_) },
    { "message", MessageOf(StatusOf(aAnswer)) },
    { "index_version", aAnswer.version_.Value() },
    { "config_version", aAnswer.config_.Value() },
    { "complete", complete },
    { "shards_covered", covered },
    { "shards_missing", missing },
    { "attempts", aAnswer.attempts_ },
    { "matches", matches }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpHandler
MakeCallerApi(Instance& aInstance, PrometheusMetrics* aMetrics)
{
  return [&aInstance, aMetrics](const HttpRequest& aRequest) {
    const bool wantsMetrics = aMetrics != nullptr && aRequest.path_ == kMetricsPath;
    HttpReply reply = wantsMetrics ? AnswerMetrics(aInstance, *aMetrics, aRequest) : Route(aInstance, aRequest);
    // Callers on kept connections must move to another instance before this one exits.
    if (aInstance.IsLeaving()) {
      reply.headers_["Connection"] = "close";
    }
    return reply;
  };
}

} // namespace ibisrock::adapters
