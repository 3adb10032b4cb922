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

/// Object that names the configuration in force; a conditional update of it is the only moment of acceptance.
inline constexpr const char* kConfigHeadKey = "config/head";

/// One accepted version, kept so that an operator whose store answer was lost can find out what happened.
struct ManifestEntry
{
  ConfigVersion version_;
  std::string sheetHash_;
  std::string applyId_;

  bool operator==(const ManifestEntry&) const = default;
};

/// Content of the head object: which part holds each service of the version in force.
struct Manifest
{
  ConfigVersion version_;
  std::string sheetHash_;
  std::map<ServiceName, std::string> partHashes_;
  /// Newest last.
  std::vector<ManifestEntry> history_;

  bool operator==(const Manifest&) const = default;
};

/// Versions kept in a manifest's history.
constexpr size_t kManifestHistoryLength = 64;

/// Key of the object that holds the part with this content hash.
std::string
PartKey(const std::string& aPartHash);

std::string
EncodeManifest(const Manifest& aManifest);

std::optional<Manifest>
DecodeManifest(const std::string& aText, LastReason& aReason);

/// Hash over all part hashes; equal for equal sheets.
std::string
SheetHash(const std::map<ServiceName, std::string>& aPartHashes);

} // namespace ibisrock

#endif
