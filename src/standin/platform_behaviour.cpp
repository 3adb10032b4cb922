#include "standin/platform_behaviour.h"

#include <nlohmann/json.hpp>

namespace ibisrock::standin {

namespace {

using Json = nlohmann::json;

/// One member of the JSON object, held in the one member pointer that is set.
struct Field
{
  const char* name_;
  bool PlatformBehaviour::*flag_ = nullptr;
  unsigned PlatformBehaviour::*count_ = nullptr;
  Micros PlatformBehaviour::*time_ = nullptr;
};

constexpr Field kFields[] = {
  { .name_ = "outage", .flag_ = &PlatformBehaviour::outage_ },
  { .name_ = "delay_ms", .time_ = &PlatformBehaviour::delay_ },
  { .name_ = "lost_answers", .count_ = &PlatformBehaviour::lostAnswers_ },
  { .name_ = "stale_ms", .time_ = &PlatformBehaviour::staleness_ },
  { .name_ = "list_lag_ms", .time_ = &PlatformBehaviour::listLag_ },
};

/// Longest time, so that sums of times and clocks do not overflow (one day).
constexpr unsigned kMaxMillis = 86'400'000;

bool
SetField(PlatformBehaviour& aBehaviour, const Field& aField, const Json& aValue)
{
  if (aField.flag_ != nullptr) {
    if (!aValue.is_boolean()) {
      return false;
    }
    aBehaviour.*aField.flag_ = aValue.get<bool>();
    return true;
  }
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() > kMaxMillis) {
    return false;
  }
  const auto number = aValue.get<unsigned>();
  if (aField.count_ != nullptr) {
    aBehaviour.*aField.count_ = number;
  } else {
    aBehaviour.*aField.time_ = Millis(number);
  }
  return true;
}

bool
SetByName(PlatformBehaviour& aBehaviour, const std::string& aName, const Json& aValue, LastReason& aReason)
{
  for (const Field& field : kFields) {
    if (aName == field.name_) {
      const bool valid = SetField(aBehaviour, field, aValue);
      if (!valid) {
        aReason.Set(aName + " must be " + (field.flag_ != nullptr ? "true or false" : "a whole number to 86400000"));
      }
      return valid;
    }
  }
  aReason.Set("no such setting: " + aName);
  return false;
}

} // namespace

std::optional<PlatformBehaviour>
ChangeBehaviour(PlatformBehaviour aBehaviour, const std::string& aJson, LastReason& aReason)
{
  const Json changes = Json::parse(aJson, nullptr, false);
  if (!changes.is_object()) {
    aReason.Set("the settings are not a JSON object");
    return std::nullopt;
  }
  for (const auto& [name, value] : changes.items()) {
    if (!SetByName(aBehaviour, name, value, aReason)) {
      return std::nullopt;
    }
  }
  return aBehaviour;
}

std::string
EncodeBehaviour(const PlatformBehaviour& aBehaviour)
{
  Json json;
  for (const Field& field : kFields) {
    if (field.flag_ != nullptr) {
      json[field.name_] = aBehaviour.*field.flag_;
    } else if (field.count_ != nullptr) {
      json[field.name_] = aBehaviour.*field.count_;
    } else {
      json[field.name_] = (aBehaviour.*field.time_).count() / 1000;
    }
  }
  return json.dump();
}

} // namespace ibisrock::standin
