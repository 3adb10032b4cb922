#ifndef IBISROCK_REQUEST_ATTEMPT_SENDER_H
#define IBISROCK_REQUEST_ATTEMPT_SENDER_H

#include "wire/messages.h"

#include <functional>

namespace ibisrock {

/// Sends attempts to the replicas that they name, on whichever instance owns them.
class AttemptSender
{
public:
  using Callback = std::function<void(wire::SubReply)>;

  virtual ~AttemptSender() = default;

  /// Starts an attempt. aCallback is called exactly once, at the latest shortly after the request's time budget ends.
  virtual void Start(const wire::SubRequest& aRequest, Callback aCallback) = 0;
  /// Requests cancellation of an attempt. Its callback is still called.
  virtual void Cancel(const AttemptId& aId) = 0;
};

} // namespace ibisrock

#endif
