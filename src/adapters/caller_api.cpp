#include "adapters/caller_api.h"

#include <charconv>
#include <future>
#include <nlohmann/json.hpp>

namespace ibisrock::adapters {

namespace {

constexpr std::string_view kQueryPath = "/v1/query/";

HttpReply
TextReply(unsigned aStatus, const std::string& aText)
{
  return { aStatus, "text/plain", {}, aText + "\n" };
}

/// A refusal of a request that was never given to the library, so it was certainly not run.
HttpReply
BadRequest(const std::string& aText)
{
  return { 400,
           "application/json",
           { { "Ibisrock-Verdict", "not-run" } },
           nlohmann::json{ { "verdict", "not-run" }, { "reason", "malformed" }, { "message", aText } }.dump() + "\n" };
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

std::optional<Query>
ReadQuery(const HttpRequest& aRequest, LastReason& aReason)
{
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
AnswerQuery(Instance& aInstance, const HttpRequest& aRequest)
{
  if (aRequest.method_ != "POST") {
    return BadRequest("queries use the method POST");
  }
  LastReason reason;
  auto query = ReadQuery(aRequest, reason);
  if (!query) {
    return BadRequest(reason.Text());
  }
  auto promise = std::make_shared<std::promise<Answer>>();
  aInstance.Submit(std::move(*query), [promise](Answer aAnswer) { promise->set_value(std::move(aAnswer)); });
  const Answer answer = promise->get_future().get();
  return { StatusOf(answer),
           "application/json",
           { { "Ibisrock-Verdict", std::string(ToString(answer.verdict_)) },
             { "Ibisrock-Request", ToString(answer.request_) } },
           EncodeAnswer(answer) + "\n" };
}

HttpReply
AnswerReady(const Instance& aInstance)
{
  LastReason reason;
  return aInstance.IsReady(reason) ? TextReply(200, "ready") : TextReply(503, reason.Text());
}

} // namespace

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
    { "index_version", aAnswer.version_.Value() },
    { "config_version", aAnswer.config_.Value() },
    { "complete", complete },
    { "shards_covered", covered },
    { "shards_missing", missing },
    { "attempts", aAnswer.attempts_ },
    { "matches", matches }
  }.dump();
}

HttpHandler
MakeCallerApi(Instance& aInstance)
{
  return [&aInstance](const HttpRequest& aRequest) {
    if (aRequest.path_.starts_with(kQueryPath)) {
      return AnswerQuery(aInstance, aRequest);
    }
    if (aRequest.path_ == "/healthz") {
      return TextReply(200, "ok");
    }
    if (aRequest.path_ == "/readyz") {
      return AnswerReady(aInstance);
    }
    if (aRequest.path_ == "/debug/state") {
      return HttpReply{ 200, "application/json", {}, aInstance.DumpState() + "\n" };
    }
    return TextReply(404, "no such path");
  };
}

} // namespace ibisrock::adapters
