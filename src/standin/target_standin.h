#ifndef IBISROCK_STANDIN_TARGET_STANDIN_H
#define IBISROCK_STANDIN_TARGET_STANDIN_H

#include "adapters/http_server.h"
#include "base/units.h"

#include <atomic>
#include <string>

namespace ibisrock::standin {

/// How one target behaves.
struct TargetBehaviour
{
  /// Time that one request holds a slot.
  Micros serviceTime_ = Millis(2);
  unsigned slots_ = 2;
  uint64_t indexVersion_ = 1;
};

/// A stand-in for a target, for tests and trials. It answers each query with one match named for its shard.
class TargetStandin
{
public:
  explicit TargetStandin(TargetBehaviour aBehaviour)
    : behaviour_(aBehaviour)
  {
  }

  adapters::HttpReply Handle(const adapters::HttpRequest& aRequest);

private:
  adapters::HttpReply Search(const std::string& aShard, const adapters::HttpRequest& aRequest);

  const TargetBehaviour behaviour_;
  std::atomic<unsigned> running_{ 0 };
};

} // namespace ibisrock::standin

#endif
