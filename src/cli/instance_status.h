#ifndef IBISROCK_CLI_INSTANCE_STATUS_H
#define IBISROCK_CLI_INSTANCE_STATUS_H

#include "base/last_reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock::cli {

/// An instance to ask. The address for callers is empty when the platform's list does not name it.
struct ListedAddress
{
  std::string id_;
  std::string httpAddress_;
  bool leaving_ = false;
};

/// What one instance says about itself.
struct InstanceStatus
{
  ListedAddress listed_;
  bool reachable_ = false;
  bool ready_ = false;
  uint64_t version_ = 0;
  /// Why it is not ready or could not be asked.
  std::string note_;
};

/// Reads the platform's instance list, whose entries may have an http_address.
std::optional<std::vector<ListedAddress>>
ParseAddressList(const std::string& aJson, LastReason& aReason);

/// Reads the reply of /debug/state into aStatus.
void
ReadState(const std::string& aJson, InstanceStatus& aStatus);

/// Asks all instances, several at the same time, in the order of aListed.
std::vector<InstanceStatus>
AskInstances(const std::vector<ListedAddress>& aListed);

} // namespace ibisrock::cli

#endif
