#include "standin/target_behaviour.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace ibisrock::standin {

namespace {

using Json = nlohmann::json;
using Setter = std::function<void(TargetBehaviour&, const Json&)>;

template<typename Value>
Setter
Set(Value TargetBehaviour::*aMember)
{
  return [aMember](TargetBehaviour& aBehaviour, const Json& aJson) { aBehaviour.*aMember = aJson.get<Value>(); };
}

Setter
SetMillis(Micros TargetBehaviour::*aMember)
{
  return
    [aMember](TargetBehaviour& aBehaviour, const Json& aJson) { aBehaviour.*aMember = Millis(aJson.get<int64_t>()); };
}

const std::map<std::string, Setter>&
Setters()
{
  static const std::map<std::string, Setter> kSetters = {
    { "service_ms", SetMillis(&TargetBehaviour::serviceTime_) },
    { "slots", Set(&TargetBehaviour::slots_) },
    { "connections", Set(&TargetBehaviour::connections_) },
    { "connect_ms", SetMillis(&TargetBehaviour::connectTime_) },
    { "versions", Set(&TargetBehaviour::versions_) },
    { "shards", Set(&TargetBehaviour::shards_) },
    { "draining", Set(&TargetBehaviour::draining_) },
    { "cold_start_ms", SetMillis(&TargetBehaviour::coldStart_) },
    { "cold_factor", Set(&TargetBehaviour::coldFactor_) },
    { "slow_share", Set(&TargetBehaviour::slowShare_) },
    { "slow_factor", Set(&TargetBehaviour::slowFactor_) },
    { "crash_body", Set(&TargetBehaviour::crashBody_) },
    { "false_health", Set(&TargetBehaviour::falseHealth_) },
    { "health_lag_ms", SetMillis(&TargetBehaviour::healthLag_) },
  };
  return kSetters;
}

} // namespace

std::optional<TargetBehaviour>
ChangeBehaviour(TargetBehaviour aBehaviour, const std::string& aJson, LastReason& aReason)
{
  try {
    const Json changes = Json::parse(aJson);
    for (const auto& [name, value] : changes.items()) {
      auto setter = Setters().find(name);
      if (setter == Setters().end()) {
        aReason.Set("no such setting: " + name);
        return std::nullopt;
      }
      setter->second(aBehaviour, value);
    }
    return aBehaviour;
  } catch (const Json::exception& error) {
    aReason.Set(error.what());
    return std::nullopt;
  }
}

} // namespace ibisrock::standin
