#ifndef REVIEW_STANDIN_PROXY_H
#define REVIEW_STANDIN_PROXY_H

#include "net.h"

namespace review {

/// Forwards connections to another address. Its open connections can go silent for good while new ones work.
class Proxy
{
public:
  Proxy(const Address& aAddress, Address aUpstream);

  /// From now on the open connections carry nothing, in both directions, and stay open. Returns their number.
  int SilenceOpenConnections();

private:
  struct Flow
  {
    std::atomic<bool> isSilent_ = false;
    std::atomic<bool> isOpen_ = true;
  };

  void Serve(Connection& aConnection);
  static void Forward(const Connection& aFrom, const Connection& aTo, Flow& aFlow);

  const Address upstream_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Flow>> flows_;
  Listener listener_;
};

} // namespace review

#endif
