#ifndef IBISROCK_REQUEST_ATTEMPT_SENDER_H
#define IBISROCK_REQUEST_ATTEMPT_SENDER_H

#include "wire/messages.h"

#include <functional>

namespace ibisrock {

/// Brings attempts to the replicas that they name, wherever those are owned.
class AttemptSender
{
public:
  using Callback = std::function<void(wire::SubReply)>;

  virtual ~AttemptSender() = default;

  /// Starts an attempt. aCallback is called exactly once, at the latest shortly after the budget has passed.
  virtual void Start(const wire::SubRequest& aRequest, Callback aCallback) = 0;
  /// Asks for an attempt to be stopped. Its callback is still called.
  virtual void Cancel(const AttemptId& aId) = 0;
};

} // namespace ibisrock

#endif
