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

/// Finds out by messages which instances live, and joins Membership to Gossip. Thread-safe.
class Prober
{
public:
  Prober(InstanceIdentity aSelf, Environment aEnvironment, Membership& aMembership, Gossip& aGossip, SendToPeer aSend);

  /// Begins to fetch the instance list and to probe.
  void Start();
  void OnPing(const PeerAddress& aFrom, const wire::Ping& aPing);
  void OnAck(const wire::Ack& aAck);
  void OnPingRequest(const PeerAddress& aFrom, const wire::PingRequest& aRequest);
  /// Checks whether the process was stopped since the latest tick. Returns true until a peer has answered after such a
  /// pause; in that time this instance owns nothing. Called for each message, because queued messages may be read
  /// before the timers run.
  bool IsResuming();

private:
  struct Probe
  {
    uint64_t sequence_ = 0;
    Member subject_;
  };
  struct Relay
  {
    PeerAddress origin_;
    uint64_t originSequence_ = 0;
    TimePoint created_;
  };

  void FetchList();
  void PollList();
  void OnListed(const std::vector<ListedInstance>& aListed);
  bool ReadsList() const;
  void Watchdog();
  void ProbeAfterPause();
  void Tick();
  void EndProbe();
  void StartProbe();
  void ProbeDead();
  void PingAccused();
  void Retry(uint64_t aSequence, size_t aHelpers);
  void ProbeIndirectly(uint64_t aSequence, const Member& aSubject, size_t aHelpers);
  std::vector<Member> Peers() const;
  std::optional<Member> NextPeer();
  void SendPing(const PeerAddress& aAddress, const InstanceId& aId);
  std::vector<wire::Update> UpdatesFor(const InstanceId& aId);
  void TakeFrom(const wire::MemberUpdate& aSender, const std::vector<wire::Update>& aUpdates);

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
  /// Instances that this one suspected because of its own probe.
  std::set<InstanceId> accused_;
  /// Order in which the peers are probed in this round; the next one is last.
  std::vector<InstanceId> round_;
  /// Where the pings to listed instances that were never heard begin at the next reading of the list.
  size_t joinOffset_ = 0;
  bool started_ = false;
  TimePoint lastAwake_;
  std::optional<TimePoint> resumedAt_;
  /// Acks of pings up to this one were sent before the pause.
  uint64_t resumeSequence_ = 0;
};

} // namespace ibisrock

#endif
