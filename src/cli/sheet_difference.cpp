#include "cli/sheet_difference.h"

#include "base/hashing.h"

namespace ibisrock::cli {

SheetDifference
CompareSheet(const Manifest& aInForce, const Sheet& aSheet)
{
  SheetDifference difference;
  for (const auto& [name, service] : aSheet.services_) {
    auto inForce = aInForce.partHashes_.find(name);
    if (inForce == aInForce.partHashes_.end()) {
      difference.added_.push_back(name.Value());
    } else if (inForce->second != ContentHash(EncodeService(service))) {
      difference.changed_.push_back(name.Value());
    }
  }
  for (const auto& [name, hash] : aInForce.partHashes_) {
    if (!aSheet.services_.contains(name)) {
      difference.removed_.push_back(name.Value());
    }
  }
  return difference;
}

} // namespace ibisrock::cli
