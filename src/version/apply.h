#ifndef IBISROCK_VERSION_APPLY_H
#define IBISROCK_VERSION_APPLY_H

#include "base/object_store.h"
#include "base/timer_service.h"
#include "version/manifest.h"
#include "version/sheet.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock {

enum class ApplyOutcome : uint8_t
{
  /// The sheet is a new version.
  Accepted,
  /// The sheet is equal to the version in force.
  Unchanged,
  /// Another sheet was accepted after the base version; nothing was changed.
  Conflict,
  /// The store was unavailable or returned a malformed value; nothing was changed.
  Failed,
  /// The store's response was lost; the sheet may have been accepted.
  Unknown,
};

struct ApplyResult
{
  ApplyOutcome outcome_ = ApplyOutcome::Failed;
  /// The accepted version, or the version found in force; none when the store could not be read.
  ConfigVersion version_;
  /// Services that differ between the sheet and the version in force. Set for Conflict.
  std::vector<ServiceName> differing_;
  std::string text_;
};

struct ApplyOptions
{
  /// Unique identifier of this call among the calls of all operators.
  std::string applyId_;
  /// Base version; overrides the one that the sheet names.
  std::optional<ConfigVersion> base_;
};

/// Publishes the sheet as the next version of the configuration. Failed store calls are retried for about 20 s. Without
/// a base version, the sheet is based on the version that the first read returns. aCallback is called exactly once. The
/// store and the timer service must outlive the operation.
void
ApplySheet(ObjectStore& aStore,
           TimerService& aTimers,
           const Sheet& aSheet,
           const ApplyOptions& aOptions,
           std::function<void(ApplyResult)> aCallback);

} // namespace ibisrock

#endif
