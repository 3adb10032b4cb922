#ifndef IBISROCK_CLI_STORE_HEAD_H
#define IBISROCK_CLI_STORE_HEAD_H

#include "base/last_reason.h"
#include "version/manifest.h"

#include <optional>
#include <string>

namespace ibisrock::cli {

/// Reads the manifest in force once, without a repeat. A store that has none gives a manifest without version.
std::optional<Manifest>
ReadHead(const std::string& aPlatformAddress, LastReason& aReason);

} // namespace ibisrock::cli

#endif
