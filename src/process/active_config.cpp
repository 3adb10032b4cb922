#include "process/active_config.h"

#include "version/manifest.h"

#include <utility>

namespace ibisrock {

namespace {

std::optional<ObjectContent>
ParseManifest(const std::string& aText, LastReason& aReason)
{
  const auto manifest = DecodeManifest(aText, aReason);
  if (!manifest) {
    return std::nullopt;
  }
  if (SheetHash(manifest->partHashes_) != manifest->sheetHash_) {
    aReason.Set("the sheet hash in the manifest does not match the hashes of its parts");
    return std::nullopt;
  }
  ObjectContent content{ manifest->version_.Value(), manifest->sheetHash_, {} };
  for (const auto& [service, hash] : manifest->partHashes_) {
    content.parts_.push_back(PartKey(hash));
  }
  return content;
}

} // namespace

ActiveConfig::ActiveConfig(ObjectSync& aSync)
  : sync_(aSync)
{
  sync_.Add(kConfigHeadKey,
            { &ParseManifest, [this](const std::string& aText, const PartTexts& aParts) { Apply(aText, aParts); } });
}

std::shared_ptr<const Configuration>
ActiveConfig::Current() const
{
  std::lock_guard lock(mutex_);
  return current_;
}

bool
ActiveConfig::IsReady(LastReason& aReason) const
{
  if (!Current()) {
    aReason.Set("no configuration has been read from the object API or a peer");
    return false;
  }
  return sync_.IsReady(kConfigHeadKey, aReason);
}

uint64_t
ActiveConfig::UndecodableVersions() const
{
  std::lock_guard lock(mutex_);
  return undecodable_;
}

/// Returns the decoded part, reused from the active configuration if it contains the part; null if it is malformed.
std::shared_ptr<const ServiceConfig>
ActiveConfig::Decode(const std::string& aHash, const PartTexts& aParts) const
{
  {
    std::lock_guard lock(mutex_);
    if (auto known = parts_.find(aHash); known != parts_.end()) {
      return known->second;
    }
  }
  LastReason reason;
  auto decoded = DecodeService(*aParts.at(PartKey(aHash)), reason);
  return decoded ? std::make_shared<const ServiceConfig>(std::move(*decoded)) : nullptr;
}

void
ActiveConfig::Apply(const std::string& aText, const PartTexts& aParts)
{
  LastReason reason;
  const auto manifest = DecodeManifest(aText, reason);
  auto next = std::make_shared<Configuration>();
  next->version_ = manifest->version_;
  next->hash_ = manifest->sheetHash_;
  std::map<std::string, std::shared_ptr<const ServiceConfig>> decoded;
  for (const auto& [service, hash] : manifest->partHashes_) {
    auto part = Decode(hash, aParts);
    if (!part) {
      std::lock_guard lock(mutex_);
      undecodable_++;
      return;
    }
    next->services_[service] = decoded[hash] = std::move(part);
  }
  {
    std::lock_guard lock(mutex_);
    if (current_ && current_->version_ >= next->version_) {
      return;
    }
    current_ = next;
    parts_ = std::move(decoded);
  }
  for (const Listener& listener : listeners_) {
    listener(*next);
  }
}

} // namespace ibisrock
