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

/// State of an instance as its peers see it. Within an incarnation a later one overrides an earlier one.
enum class MemberState : uint8_t
{
  Alive,
  Suspect,
  Leaving,
  Dead,
};

/// Gossip update about an instance.
struct MemberUpdate
{
  InstanceId id_;
  PeerAddress address_;
  DataCentre dataCentre_;
  Incarnation incarnation_;
  MemberState state_ = MemberState::Alive;
};

/// Gossip update about a target, from the instance that saw it first hand.
struct TargetUpdate
{
  TargetName target_;
  BootId boot_;
  TargetState state_ = TargetState::Unknown;
  std::vector<IndexVersion> held_;
};

/// What is known of a query that may crash targets.
enum class CrashState : uint8_t
{
  Cleared,
  Suspect,
  Blocked,
};

/// Gossip update about a query that may crash targets.
struct CrashUpdate
{
  Fingerprint fingerprint_;
  CrashState state_ = CrashState::Suspect;
  /// Time since the crash or the clean run that the update reports.
  Micros age_{};
};

/// Gossip update that a newer version of a stored object exists, and which instance has it.
struct VersionUpdate
{
  /// Key of the stored object.
  std::string object_;
  uint64_t version_ = 0;
  /// Instance that holds the version.
  PeerAddress holder_;
};

using Update = std::variant<MemberUpdate, TargetUpdate, CrashUpdate, VersionUpdate>;

/// Gossip updates, sent alone or with a probe.
struct GossipMessage
{
  std::vector<Update> updates_;
};

/// Asks a peer for an Ack.
struct Ping
{
  uint64_t sequence_ = 0;
  /// The sending instance as it sees itself.
  MemberUpdate sender_;
  std::vector<Update> updates_;
};

/// Answers a Ping, or tells the sender of a PingRequest that the subject has answered.
struct Ack
{
  /// Sequence of the Ping or PingRequest that this answers.
  uint64_t sequence_ = 0;
  MemberUpdate sender_;
  std::vector<Update> updates_;
};

/// Asks a peer to ping another peer that did not answer the sender.
struct PingRequest
{
  uint64_t sequence_ = 0;
  PeerAddress subject_;
  MemberUpdate sender_;
  std::vector<Update> updates_;
};

/// Version of one stored object that an instance holds.
struct ObjectVersion
{
  std::string object_;
  uint64_t version_ = 0;
  /// Hash of the content, to find two contents of one version.
  std::string hash_;
};

/// Versions of the stored objects that the sender holds. The receiver fetches what is higher.
struct ConfigDigest
{
  std::vector<ObjectVersion> objects_;
  /// True when the receiver is to answer with a digest of what it has higher.
  bool isQuestion_ = false;
};

/// Asks for values by store key: objects, or parts of the configuration.
struct ConfigFetch
{
  std::vector<std::string> keys_;
};

struct StoredValue
{
  std::string key_;
  std::string value_;
};

/// Answer to ConfigFetch; values that the sender does not hold, or that would make the message too long, are left out.
struct ConfigParts
{
  std::vector<StoredValue> values_;
};

using Body = std::variant<SubRequest,
                          SubReply,
                          CancelAttempt,
                          GossipMessage,
                          Ping,
                          Ack,
                          PingRequest,
                          ConfigDigest,
                          ConfigFetch,
                          ConfigParts>;

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
