#ifndef IBISROCK_BASE_PEER_TRANSPORT_H
#define IBISROCK_BASE_PEER_TRANSPORT_H

#include "base/ids.h"

#include <string>

namespace ibisrock {

/// Carries messages to other instances. Messages may be lost, delayed or reordered, but not duplicated.
class PeerTransport
{
public:
  virtual ~PeerTransport() = default;

  /// Returns false when the message was certainly not sent, and true when it may arrive.
  virtual bool Send(const PeerAddress& aPeer, std::string aBytes) = 0;
};

} // namespace ibisrock

#endif
