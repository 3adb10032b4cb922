#ifndef IBISROCK_VERSION_APPLY_H
#define IBISROCK_VERSION_APPLY_H

#include "base/object_store.h"
#include "version/manifest.h"
#include "version/sheet.h"

#include <functional>
#include <string>

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
  ConfigVersion version_;
  std::string text_;
};

/// Makes the sheet the next version of the configuration. aApplyId identifies this call among all operators' calls.
/// aCallback is called exactly once.
void
ApplySheet(ObjectStore& aStore,
           const Sheet& aSheet,
           const std::string& aApplyId,
           std::function<void(ApplyResult)> aCallback);

} // namespace ibisrock

#endif
