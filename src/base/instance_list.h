#ifndef IBISROCK_BASE_INSTANCE_LIST_H
#define IBISROCK_BASE_INSTANCE_LIST_H

#include "base/ids.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock {

/// One entry of the platform's instance list, which lags behind the truth.
struct ListedInstance
{
  InstanceId id_;
  PeerAddress address_;
  DataCentre dataCentre_;
  bool leaving_ = false;
};

/// Reads the platform's list of live and leaving instances.
class InstanceList
{
public:
  using Callback = std::function<void(std::optional<std::vector<ListedInstance>>)>;

  virtual ~InstanceList() = default;

  /// Answers with no value when the list cannot be read.
  virtual void Fetch(Callback aCallback) = 0;
};

} // namespace ibisrock

#endif
