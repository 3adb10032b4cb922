#ifndef IBISROCK_PROCESS_PROBER_H
#define IBISROCK_PROCESS_PROBER_H

#include "process/gossip.h"
#include "process/membership.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace ibisrock {

/// Failure detector: probes the other instances with pings, and connects Membership to Gossip. Thread-safe.
class Prober
{
public:
  Prober(InstanceIdentity aSelf, Environment aEnvironment, Membership& aMembership, Gossip& aGossip, SendToPeer aSend);

  /// Starts fetching the instance list and probing.
  void Start();
  void OnPing(const PeerAddress& aFrom, const wire::Ping& aPing);
  void OnAck(const wire::Ack& aAck);
  void OnPingRequest(const PeerAddress& aFrom, const wire::PingRequest& aRequest);
  /// Detects whether the process was paused since the last pause check. After a pause, returns true until a peer has
  /// answered or the wait for an answer has timed out; until then this instance owns no replicas. Called for each
  /// message, because queued messages may be read before the timers run.
  bool IsResuming();

private:
  /// Probe of the current period, without an ack so far.
  struct Probe
  {
    uint64_t sequence_ = 0;
    Member subject_;
  };
  /// Ping sent on behalf of another instance, which is to receive the ack.
  struct Relay
  {
    PeerAddress origin_;
    uint64_t originSequence_ = 0;
    TimePoint created_;
  };

  void FetchList();
  void PollList();
  void OnInstanceList(const std::vector<ListedInstance>& aListed);
  bool ShouldFetchList() const;
  void CheckForPause();
  void ProbeAfterPause();
  void Tick();
  void EndProbe();
  void StartProbe();
  void ProbeDeadMember();
  void PingSuspects();
  void RetryProbe(uint64_t aSequence, size_t aProxyCount);
  void ProbeIndirectly(uint64_t aSequence, const Member& aSubject, size_t aProxyCount);
  std::vector<Member> Peers() const;
  std::optional<Member> NextPeer();
  void SendPing(const PeerAddress& aAddress, const InstanceId& aId);
  std::vector<wire::Update> TakeUpdatesFor(const InstanceId& aId);
  void ProcessUpdates(const wire::MemberUpdate& aSender, const std::vector<wire::Update>& aUpdates);

  const InstanceIdentity self_;
  Environment environment_;
  Membership& membership_;
  Gossip& gossip_;
  SendToPeer send_;

  std::mutex mutex_;
  uint64_t lastSequence_ = 0;
  uint64_t ticks_ = 0;
  std::optional<Probe> probe_;
  std::map<uint64_t, Relay> relays_;
  /// Instances that became suspect because a probe of this instance failed.
  std::set<InstanceId> suspectedHere_;
  /// Peers still to be probed in this round; the next one is at the back.
  std::vector<InstanceId> probeOrder_;
  /// Index of the first unconfirmed instance to ping after the next fetch of the instance list.
  size_t discoveryOffset_ = 0;
  bool started_ = false;
  TimePoint lastPauseCheck_;
  std::optional<TimePoint> resumeStart_;
  /// Sequence number of the last ping before the pause. Acks of pings up to it do not end the resume phase.
  uint64_t lastSequenceBeforePause_ = 0;
};

} // namespace ibisrock

#endif
