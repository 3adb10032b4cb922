#ifndef IBISROCK_ADAPTERS_HTTP_OBJECT_STORE_H
#define IBISROCK_ADAPTERS_HTTP_OBJECT_STORE_H

#include "adapters/http_caller.h"
#include "adapters/worker_pool.h"
#include "base/object_store.h"

#include <string>

namespace ibisrock::adapters {

/// HTTP of the platform's object API: GET and PUT /objects/<key>, GET /watch/<key>?after=R&timeout_ms=T.
inline constexpr const char* kRevisionHeader = "Revision";
inline constexpr const char* kIfRevisionHeader = "If-Revision";

/// The platform's object API over HTTP. Watches have threads of their own, so that they delay no other call.
class HttpObjectStore final : public ObjectStore
{
public:
  /// aAddress is "ip:port".
  explicit HttpObjectStore(std::string aAddress);

  void Get(const std::string& aKey, Callback aCallback) override;
  void Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback) override;
  void Watch(const std::string& aKey, StoreRevision aAfter, Micros aTimeout, Callback aCallback) override;

private:
  StoreResult Read(const std::string& aUrl, Micros aTimeout);

  const std::string address_;
  HttpCaller caller_;
  WorkerPool calls_;
  WorkerPool watches_;
};

} // namespace ibisrock::adapters

#endif
