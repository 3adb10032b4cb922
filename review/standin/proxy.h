#ifndef REVIEW_STANDIN_PROXY_H
#define REVIEW_STANDIN_PROXY_H

#include "net.h"

namespace review {

/// Forwards connections to another address. Its open connections can go silent for good while new ones work.
class Proxy
{
public:
  Proxy(const Address& aAddress, Address aUpstream);

  /// Must be called before connections come: notes when requests with this text pass.
  void WatchFor(std::string aText) { watchedText_ = std::move(aText); }
  /// When the text was last seen, or 0.
  double LastSeen() const { return lastSeen_; }

  /// From now on the open connections carry nothing, in both directions, and stay open. Returns their number.
  int SilenceOpenConnections();

private:
  struct Flow
  {
    std::atomic<bool> isSilent_ = false;
    std::atomic<bool> isOpen_ = true;
  };

  void Serve(Connection& aConnection);
  void Forward(const Connection& aFrom, const Connection& aTo, Flow& aFlow);

  const Address upstream_;
  std::string watchedText_;
  std::atomic<double> lastSeen_ = 0;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Flow>> flows_;
  Listener listener_;
};

} // namespace review

#endif
