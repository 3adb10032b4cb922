#include "version/idempotency_record.h"

#include "base/hashing.h"
#include "base/object_store.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ibisrock {

namespace {

using nlohmann::json;

constexpr const char* kStateTexts[] = { "claimed", "released", "done" };
constexpr const char* kVerdictTexts[] = { "ran", "not-run", "may-have-run" };

/// Converts a text to the enumerator of the same index. Throws for an unknown text, as the JSON library does for a
/// missing field.
template<typename Enum, size_t Size>
Enum
EnumFromText(const char* const (&aTexts)[Size], const std::string& aText)
{
  for (size_t index = 0; index < Size; index++) {
    if (aText == aTexts[index]) {
      return static_cast<Enum>(index);
    }
  }
  throw std::invalid_argument("unknown value \"" + aText + "\"");
}

json
EncodeAnswerValue(const Answer& aAnswer)
{
  json covered = json::array();
  for (const ShardName& shard : aAnswer.covered_) {
    covered.push_back(shard.Value());
  }
  json missing = json::object();
  for (const auto& [shard, reason] : aAnswer.missing_) {
    missing[shard.Value()] = ToString(reason);
  }
  json matches = json::array();
  for (const Match& match : aAnswer.matches_) {
    matches.push_back({ match.id_, match.text_ });
  }
  return { { "request",
             { aAnswer.request_.origin_.Value(), aAnswer.request_.incarnation_.Value(), aAnswer.request_.sequence_ } },
           { "verdict", ToString(aAnswer.verdict_) },
           { "reason", ToString(aAnswer.reason_) },
           { "index_version", aAnswer.version_.Value() },
           { "config_version", aAnswer.config_.Value() },
           { "covered", covered },
           { "missing", missing },
           { "matches", matches },
           { "attempts", aAnswer.attempts_ } };
}

Answer
DecodeAnswerValue(const json& aValue)
{
  Answer answer;
  const json& request = aValue.at("request");
  answer.request_ = { InstanceId(request.at(0).get<std::string>()),
                      Incarnation(request.at(1).get<uint64_t>()),
                      request.at(2).get<uint64_t>() };
  answer.verdict_ = EnumFromText<Verdict>(kVerdictTexts, aValue.at("verdict").get<std::string>());
  answer.reason_ = ReasonFromString(aValue.at("reason").get<std::string>());
  answer.version_ = IndexVersion(aValue.at("index_version").get<uint64_t>());
  answer.config_ = ConfigVersion(aValue.at("config_version").get<uint64_t>());
  for (const json& shard : aValue.at("covered")) {
    answer.covered_.emplace(shard.get<std::string>());
  }
  for (const auto& [shard, reason] : aValue.at("missing").items()) {
    answer.missing_[ShardName(shard)] = ReasonFromString(reason.get<std::string>());
  }
  for (const json& match : aValue.at("matches")) {
    answer.matches_.push_back({ match.at(0).get<std::string>(), match.at(1).get<std::string>() });
  }
  answer.attempts_ = aValue.at("attempts").get<uint32_t>();
  return answer;
}

json
EncodeWithoutAnswer(const IdempotencyRecord& aRecord)
{
  return { { "caller", aRecord.caller_.Value() },
           { "key", aRecord.key_.Value() },
           { "fingerprint", aRecord.fingerprint_.Value() },
           { "claim", aRecord.claim_ },
           { "state", kStateTexts[static_cast<size_t>(aRecord.state_)] } };
}

/// Serializes a JSON value. Invalid UTF-8 is replaced, because callers may send arbitrary bytes.
std::string
DumpWithReplacement(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string
IdempotencyRecordKey(const ServiceName& aService, const CallerName& aCaller, const IdempotencyKey& aKey)
{
  // The length prefix keeps different pairs of caller and key with the same concatenation distinct.
  const std::string identity = std::to_string(aCaller.Value().size()) + ":" + aCaller.Value() + aKey.Value();
  return "idem/" + aService.Value() + "/" + ContentHash(identity);
}

std::string
EncodeIdempotencyRecord(const IdempotencyRecord& aRecord)
{
  json value = EncodeWithoutAnswer(aRecord);
  if (aRecord.answer_) {
    value["answer"] = EncodeAnswerValue(*aRecord.answer_);
  }
  std::string text = DumpWithReplacement(value);
  return text.size() <= kMaxStoredValueBytes ? text : DumpWithReplacement(EncodeWithoutAnswer(aRecord));
}

std::optional<IdempotencyRecord>
DecodeIdempotencyRecord(const std::string& aText, LastReason& aReason)
{
  try {
    const json value = json::parse(aText);
    IdempotencyRecord record;
    record.caller_ = CallerName(value.at("caller").get<std::string>());
    record.key_ = IdempotencyKey(value.at("key").get<std::string>());
    record.fingerprint_ = Fingerprint(value.at("fingerprint").get<uint64_t>());
    record.claim_ = value.at("claim").get<std::string>();
    record.state_ = EnumFromText<IdempotencyState>(kStateTexts, value.at("state").get<std::string>());
    if (value.contains("answer")) {
      record.answer_ = DecodeAnswerValue(value.at("answer"));
    }
    return record;
  } catch (const std::exception& error) {
    aReason.Set(std::string("idempotency record is malformed: ") + error.what());
    return std::nullopt;
  }
}

} // namespace ibisrock
