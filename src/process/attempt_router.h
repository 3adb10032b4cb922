#ifndef IBISROCK_PROCESS_ATTEMPT_ROUTER_H
#define IBISROCK_PROCESS_ATTEMPT_ROUTER_H

#include "process/active_config.h"
#include "process/component_log.h"
#include "process/dispatcher_table.h"
#include "process/membership.h"
#include "process/ownership.h"
#include "process/peer_reachability.h"
#include "request/attempt_sender.h"

#include <array>
#include <map>
#include <mutex>
#include <optional>

namespace ibisrock {

/// Routes attempts to the owners of their replicas and runs the attempts forwarded by other instances. Thread-safe.
class AttemptRouter final : public AttemptSender
{
public:
  AttemptRouter(InstanceIdentity aSelf,
                Environment aEnvironment,
                const Membership& aMembership,
                const ActiveConfig& aConfig,
                DispatcherTable& aDispatchers,
                SendToPeer aSend);

  void Start(const wire::SubRequest& aRequest, Callback aCallback) override;
  void Cancel(const AttemptId& aId) override;

  /// Runs an attempt forwarded by a peer and replies with its outcome. aDelay is the time since the peer sent it. An
  /// attempt is refused if the delay has used up its budget, so that requests queued while this process was paused do
  /// not run after it resumes.
  void OnSubRequest(const PeerAddress& aFrom, const wire::SubRequest& aRequest, Micros aDelay);
  /// Completes a pending attempt with its outcome. Late and duplicate outcomes are dropped.
  void OnSubReply(const wire::SubReply& aReply);
  std::vector<PeerAddress> SilentPeers() const { return reachability_.SilentPeers(); }
  /// Called when a peer has answered a message of this instance.
  void OnPeerAnswer(const PeerAddress& aPeer) { reachability_.OnPeerAnswer(aPeer); }
  void OnCancel(const wire::CancelAttempt& aCancel);

private:
  struct Pending
  {
    Callback callback_;
    TargetName target_;
    /// Empty if the attempt runs on this instance.
    PeerAddress owner_;
    TimerId timeout_;
  };
  struct Shard
  {
    std::mutex mutex_;
    std::map<AttemptId, Pending> pending_;
  };
  static constexpr size_t kShardCount = 16;

  Shard& ShardOf(const AttemptId& aId) { return shards_[aId.request_.sequence_ % kShardCount]; }
  std::optional<TargetConfig> FindTarget(const ServiceName& aService, const TargetName& aTarget) const;
  void RunLocally(const TargetConfig& aTarget, const wire::SubRequest& aRequest, Callback aCallback);
  void Forward(const PeerAddress& aOwner, const wire::SubRequest& aRequest, Callback aCallback);
  std::optional<Pending> TakePending(const AttemptId& aId);
  const Member* FindReachableOwner(const TargetConfig& aTarget, const std::shared_ptr<const MemberView>& aView);

  const InstanceIdentity self_;
  Environment environment_;
  const Membership& membership_;
  const ActiveConfig& config_;
  DispatcherTable& dispatchers_;
  SendToPeer send_;
  OwnerCache owners_;
  PeerReachability reachability_;
  ComponentLog log_;
  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
