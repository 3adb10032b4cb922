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

/// Brings attempts to the owners of their replicas and runs the attempts that other instances send here. Thread-safe.
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

  /// Runs an attempt that a peer forwarded and sends it the outcome. aDelay is the time since it was sent; an attempt
  /// whose budget it has used up is refused, so that work queued for a stopped process does not run when it resumes.
  void OnSubRequest(const PeerAddress& aFrom, const wire::SubRequest& aRequest, Micros aDelay);
  /// Hands the outcome of a forwarded attempt to its run. Late and repeated outcomes are dropped.
  void OnSubReply(const wire::SubReply& aReply);
  std::vector<PeerAddress> SilentPeers() const { return reachability_.SilentPeers(); }
  /// A peer has answered a message of this instance.
  void OnPeerAnswer(const PeerAddress& aPeer) { reachability_.OnPeerAnswer(aPeer); }
  void OnCancel(const wire::CancelAttempt& aCancel);

private:
  struct Pending
  {
    Callback callback_;
    TargetName target_;
    /// Empty when the attempt runs here.
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
  void RunHere(const TargetConfig& aTarget, const wire::SubRequest& aRequest, Callback aCallback);
  void Forward(const PeerAddress& aOwner, const wire::SubRequest& aRequest, Callback aCallback);
  std::optional<Pending> Take(const AttemptId& aId);
  const Member* ReachableOwner(const TargetConfig& aTarget, const std::shared_ptr<const MemberView>& aView);

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
