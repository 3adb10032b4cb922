#ifndef IBISROCK_WIRE_MESSAGES_H
#define IBISROCK_WIRE_MESSAGES_H

#include "base/ids.h"
#include "base/target_client.h"
#include "base/units.h"

#include <string>
#include <variant>
#include <vector>

namespace ibisrock::wire {

/// One attempt, sent by the coordinator to the owner of the replica.
struct SubRequest
{
  AttemptId id_;
  CallerName caller_;
  ServiceName service_;
  ShardName shard_;
  TargetName target_;
  IndexVersion version_;
  std::string body_;
  bool idempotent_ = true;
  /// True for a canary: nothing else may run on the target at the same time.
  bool alone_ = false;
  Fingerprint fingerprint_;
  /// Time left when the message was sent.
  Micros budget_{};
};

/// Outcome of a SubRequest, sent by the owner to the coordinator.
struct SubReply
{
  AttemptId id_;
  TargetReply reply_;
  /// False when the owner refused the attempt without sending anything to the target.
  bool touchedTarget_ = false;
  /// Attempts in flight on the target, this one included, when its connection was lost; else 0.
  uint32_t inFlightAtLoss_ = 0;
  /// Time that the attempt waited in the owner's queue.
  Micros queueWait_{};
  /// Attempts that wait in the owner's queue for the same replica.
  uint32_t queueLength_ = 0;
};

/// The coordinator no longer needs this attempt.
struct CancelAttempt
{
  AttemptId id_;
  TargetName target_;
};

using Body = std::variant<SubRequest, SubReply, CancelAttempt>;

/// Every message between instances.
struct Envelope
{
  InstanceId from_;
  PeerAddress replyTo_;
  Incarnation incarnation_;
  /// Sender's monotonic clock; comparable only with other messages of the same incarnation.
  Micros sentAt_{};
  Body body_;
};

} // namespace ibisrock::wire

#endif
