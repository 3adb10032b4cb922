#ifndef IBISROCK_ADAPTERS_HTTP_INSTANCE_LIST_H
#define IBISROCK_ADAPTERS_HTTP_INSTANCE_LIST_H

#include "adapters/http_caller.h"
#include "adapters/worker_pool.h"
#include "base/instance_list.h"

#include <string>

namespace ibisrock::adapters {

/// The platform's instance list over HTTP: GET /instances gives a JSON array of id, address, data_centre and leaving.
/// An entry may also have http_address, the address for callers, which only the operators' tool reads.
class HttpInstanceList final : public InstanceList
{
public:
  /// aAddress is "ip:port".
  explicit HttpInstanceList(std::string aAddress);

  void Fetch(Callback aCallback) override;

private:
  const std::string address_;
  HttpCaller caller_;
  WorkerPool worker_;
};

} // namespace ibisrock::adapters

#endif
