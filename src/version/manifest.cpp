#include "version/manifest.h"

#include "base/hashing.h"
#include "version/stored_json.h"

namespace ibisrock {

namespace {

using nlohmann::json;

Manifest
DecodeManifestValue(const json& aValue)
{
  Manifest manifest;
  manifest.version_ = ConfigVersion(ReadStoredNumber(aValue, "version", UINT64_MAX));
  manifest.sheetHash_ = aValue.at("sheet").get<std::string>();
  for (const auto& [service, hash] : aValue.at("parts").items()) {
    manifest.partHashes_[ServiceName(service)] = hash.get<std::string>();
  }
  for (const json& entry : aValue.at("history")) {
    manifest.history_.push_back({ ConfigVersion(ReadStoredNumber(entry, "version", UINT64_MAX)),
                                  entry.at("sheet").get<std::string>(),
                                  entry.at("apply_id").get<std::string>() });
  }
  return manifest;
}

} // namespace

std::string
PartKey(const std::string& aPartHash)
{
  return "config/part/" + aPartHash;
}

std::string
EncodeManifest(const Manifest& aManifest)
{
  json parts = json::object();
  for (const auto& [service, hash] : aManifest.partHashes_) {
    parts[service.Value()] = hash;
  }
  json history = json::array();
  for (const ManifestEntry& entry : aManifest.history_) {
    history.push_back(
      { { "version", entry.version_.Value() }, { "sheet", entry.sheetHash_ }, { "apply_id", entry.applyId_ } });
  }
  return json{
    { "version", aManifest.version_.Value() },
    { "sheet", aManifest.sheetHash_ },
    { "parts", parts },
    { "history", history }
  }.dump();
}

std::optional<Manifest>
DecodeManifest(const std::string& aText, LastReason& aReason)
{
  return DecodeStored(aText, "manifest", &DecodeManifestValue, aReason);
}

std::string
SheetHash(const std::map<ServiceName, std::string>& aPartHashes)
{
  std::string partList;
  for (const auto& [service, hash] : aPartHashes) {
    partList += service.Value() + "=" + hash + "\n";
  }
  return ContentHash(partList);
}

} // namespace ibisrock
