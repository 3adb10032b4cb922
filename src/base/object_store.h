#ifndef IBISROCK_BASE_OBJECT_STORE_H
#define IBISROCK_BASE_OBJECT_STORE_H

#include "base/ids.h"
#include "base/units.h"

#include <functional>
#include <string>

namespace ibisrock {

/// Largest value that the platform's object API holds, in bytes.
constexpr size_t kMaxStoredValueBytes = 1024 * 1024;

enum class StoreOutcome : uint8_t
{
  Ok,
  NotFound,
  /// A conditional update found another revision; nothing was changed.
  Conflict,
  /// Nothing was changed.
  Unavailable,
  /// The answer was lost; the change may have taken effect.
  Unknown,
};

/// Result of a read, a watch or an update. value_ is set by reads and watches only.
struct StoreResult
{
  StoreOutcome outcome_ = StoreOutcome::Unavailable;
  StoreRevision revision_;
  std::string value_;
};

/// The platform's object API. Each call counts against its rates, a waiting watch as one.
class ObjectStore
{
public:
  using Callback = std::function<void(StoreResult)>;

  virtual ~ObjectStore() = default;

  virtual void Get(const std::string& aKey, Callback aCallback) = 0;
  /// Writes if the object's revision is aExpected; an expected revision of none creates the object only if absent.
  virtual void Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback) = 0;
  /// Answers when the object's revision is above aAfter, or with NotFound after aTimeout.
  virtual void Watch(const std::string& aKey, StoreRevision aAfter, Micros aTimeout, Callback aCallback) = 0;
};

} // namespace ibisrock

#endif
