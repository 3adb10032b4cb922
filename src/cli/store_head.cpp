#include "cli/store_head.h"

#include "adapters/http_object_store.h"

#include <future>

namespace ibisrock::cli {

std::optional<Manifest>
ReadHead(const std::string& aPlatformAddress, LastReason& aReason)
{
  std::promise<StoreResult> promise;
  adapters::HttpObjectStore store(aPlatformAddress);
  store.Get(kConfigHeadKey, [&promise](StoreResult aResult) { promise.set_value(std::move(aResult)); });
  const StoreResult result = promise.get_future().get();
  if (result.outcome_ == StoreOutcome::NotFound) {
    return Manifest();
  }
  if (result.outcome_ != StoreOutcome::Ok) {
    aReason.Set("the object API at " + aPlatformAddress + " is unavailable");
    return std::nullopt;
  }
  return DecodeManifest(result.value_, aReason);
}

} // namespace ibisrock::cli
