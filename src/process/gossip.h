#ifndef IBISROCK_PROCESS_GOSSIP_H
#define IBISROCK_PROCESS_GOSSIP_H

#include "process/membership.h"
#include "process/update_queue.h"

#include <functional>
#include <mutex>
#include <vector>

namespace ibisrock {

/// Spreads updates to all instances without knowing what they mean. Thread-safe.
class Gossip
{
public:
  /// Takes an update from a peer. Returns true when it was news to this instance, so that it is passed on.
  using Handler = std::function<bool(const wire::Update&)>;

  Gossip(InstanceIdentity aSelf, Environment aEnvironment, const Membership& aMembership, SendToPeer aSend);

  /// Adds a part that takes updates; each part ignores the kinds of update that it does not know. Not thread-safe: to
  /// be called before the instance starts.
  void Subscribe(Handler aHandler);
  /// Sends an update that this instance learned first hand to some peers at once, which pass it on.
  void Disseminate(const wire::Update& aUpdate);
  /// Adds an update to the next messages to peers without a message of its own.
  void Queue(const wire::Update& aUpdate);
  void OnGossipMessage(const wire::GossipMessage& aMessage);
  /// Updates that ride on the next message to a peer, of bounded size.
  std::vector<wire::Update> TakeUpdates();

private:
  void Push();
  void SendPush();

  const InstanceIdentity self_;
  Environment environment_;
  const Membership& membership_;
  SendToPeer send_;
  std::vector<Handler> handlers_;
  UpdateQueue queue_;

  std::mutex mutex_;
  TimePoint nextPush_;
  bool pushScheduled_ = false;
};

} // namespace ibisrock

#endif
