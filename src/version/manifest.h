#ifndef IBISROCK_VERSION_MANIFEST_H
#define IBISROCK_VERSION_MANIFEST_H

#include "base/ids.h"
#include "base/last_reason.h"
#include "version/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock {

/// Key of the head object, which names the configuration in force. A version is accepted only by a conditional update
/// of this object.
inline constexpr const char* kConfigHeadKey = "config/head";

/// One accepted version. Kept so that an apply whose store response was lost can determine its outcome.
struct ManifestEntry
{
  ConfigVersion version_;
  std::string sheetHash_;
  std::string applyId_;

  bool operator==(const ManifestEntry&) const = default;
};

/// Content of the head object: the hash of the part that holds each service of the version in force.
struct Manifest
{
  ConfigVersion version_;
  std::string sheetHash_;
  std::map<ServiceName, std::string> partHashes_;
  /// Accepted versions, oldest first.
  std::vector<ManifestEntry> history_;

  bool operator==(const Manifest&) const = default;
};

/// Maximum number of versions in a manifest's history.
constexpr size_t kManifestHistoryLength = 64;

/// Store key of the part with this content hash.
std::string
PartKey(const std::string& aPartHash);

std::string
EncodeManifest(const Manifest& aManifest);

std::optional<Manifest>
DecodeManifest(const std::string& aText, LastReason& aReason);

/// Hash over the service names and part hashes; equal for equal sheets.
std::string
SheetHash(const std::map<ServiceName, std::string>& aPartHashes);

} // namespace ibisrock

#endif
