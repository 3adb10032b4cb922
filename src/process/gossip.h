#ifndef IBISROCK_PROCESS_GOSSIP_H
#define IBISROCK_PROCESS_GOSSIP_H

#include "process/membership.h"
#include "process/update_queue.h"

#include <functional>
#include <mutex>
#include <vector>

namespace ibisrock {

/// Disseminates updates to all instances. Their content is interpreted by the subscribed handlers only. Thread-safe.
class Gossip
{
public:
  /// Processes an update received from a peer. Returns true if it was new to this instance, so that it is forwarded.
  using UpdateHandler = std::function<bool(const wire::Update&)>;

  Gossip(InstanceIdentity aSelf, Environment aEnvironment, const Membership& aMembership, SendToPeer aSend);

  /// Registers a handler. Each handler ignores the kinds of update that it does not support. Not thread-safe; must be
  /// called before the instance starts.
  void Subscribe(UpdateHandler aHandler);
  /// Pushes an update that originates at this instance to a few random peers at once, which forward it.
  void Disseminate(const wire::Update& aUpdate);
  /// Enqueues an update to be piggybacked on the next messages to peers.
  void Enqueue(const wire::Update& aUpdate);
  void OnGossipMessage(const wire::GossipMessage& aMessage);
  /// Takes the updates to piggyback on the next message to a peer; their total size is bounded.
  std::vector<wire::Update> TakeUpdates();

private:
  void SchedulePush();
  void SendPush();

  const InstanceIdentity self_;
  Environment environment_;
  const Membership& membership_;
  SendToPeer send_;
  std::vector<UpdateHandler> handlers_;
  UpdateQueue queue_;

  std::mutex mutex_;
  TimePoint earliestPush_;
  bool pushScheduled_ = false;
};

} // namespace ibisrock

#endif
