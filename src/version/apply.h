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
  /// Another sheet was accepted since the base version; nothing was changed.
  Conflict,
  /// The store could not be used; nothing was changed.
  Failed,
  /// The store's answers were lost; the sheet may have been accepted.
  Unknown,
};

struct ApplyResult
{
  ApplyOutcome outcome_ = ApplyOutcome::Failed;
  /// The accepted version, or the version in force that was found; none when the store could not be read.
  ConfigVersion version_;
  /// Services that differ between the sheet and the version in force. Set for Conflict.
  std::vector<ServiceName> differing_;
  std::string text_;
};

struct ApplyOptions
{
  /// Identifies this call among all operators' calls.
  std::string applyId_;
  /// Version on which the sheet is based, instead of the one that the sheet names.
  std::optional<ConfigVersion> base_;
};

/// Makes the sheet the next version of the configuration. Failed store calls are repeated for about 20 s. Without a
/// base version, the sheet is based on the version that the first read finds. aCallback is called exactly once. The
/// store and the timer service must outlive the call.
void
ApplySheet(ObjectStore& aStore,
           TimerService& aTimers,
           const Sheet& aSheet,
           const ApplyOptions& aOptions,
           std::function<void(ApplyResult)> aCallback);

} // namespace ibisrock

#endif
