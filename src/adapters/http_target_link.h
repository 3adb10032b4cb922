#ifndef IBISROCK_ADAPTERS_HTTP_TARGET_LINK_H
#define IBISROCK_ADAPTERS_HTTP_TARGET_LINK_H

#include "adapters/header_names.h"
#include "adapters/loop_http_connection.h"
#include "base/target_link.h"
#include "base/timer_service.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace ibisrock::adapters {

/// Calls to targets over kept HTTP connections on one event loop.
class HttpTargetLink final : public TargetLink
{
public:
  HttpTargetLink(boost::asio::io_context& aLoop, TimerService& aTimers, HeaderNames aNames);
  ~HttpTargetLink() override;

  CallId Send(const TargetCall& aCall, Callback aCallback) override;
  void AbandonCall(CallId aId, Abandon aHow, OnReleased aOnReleased) override;
  bool HasIdleConnection(const TargetName& aTarget) const override;
  void OpenIdleConnection(const TargetName& aTarget, const TargetAddress& aAddress) override;
  void CheckReachable(const TargetName& aTarget, const TargetAddress& aAddress, OnChecked aOnChecked) override;
  void Forget(const TargetName& aTarget) override;

  void SetOnNotice(OnNotice aOnNotice) override { onNotice_ = std::move(aOnNotice); }

  uint64_t ConnectionsOpened() const { return connectionsOpened_; }

private:
  using ConnectionPtr = std::shared_ptr<LoopHttpConnection>;

  struct Call
  {
    TargetCall call_;
    TimePoint deadline_;
    ConnectionPtr connection_;
    /// Null when the outcome is not wanted any more.
    Callback callback_;
    /// Set when the call was abandoned and still holds its connection.
    OnReleased onReleased_;
    OnChecked onChecked_;
    Reachability reachability_ = Reachability::Silent;
    TimerId timer_;
    bool sent_ = false;
  };

  struct IdleConnection
  {
    ConnectionPtr connection_;
    TimePoint usableUntil_;
  };

  ConnectionPtr TakeIdle(const TargetName& aTarget);
  void KeepIdle(const TargetName& aTarget, const ConnectionPtr& aConnection);
  void OpenFor(CallId aId, Call& aCall);
  void OnConnected(CallId aId, LoopHttpConnection::ConnectResult aResult);
  void OnConnectTimeout(CallId aId);
  void Write(CallId aId, Call& aCall);
  void OnReply(CallId aId, std::optional<ServerReply> aReply);
  void TakeNotice(const TargetCall& aCall, const ServerReply& aReply) const;
  bool HasRepeatedField(const ServerReply& aReply) const;
  bool IsIdMissing(const TargetName& aTarget, const ServerReply& aReply);
  void End(CallId aId, TargetOutcome aOutcome);
  RequestText MakeRequest(const Call& aCall) const;
  TargetOutcome Judge(ServerReply aReply) const;

  boost::asio::io_context& loop_;
  TimerService& timers_;
  const HeaderNames names_;
  OnNotice onNotice_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<TargetName, std::vector<IdleConnection>> idle_;
  CallId lastId_;
  /// Targets that have echoed the id of a request.
  std::unordered_set<TargetName> echoing_;
  /// Keep-alive times that targets have stated.
  std::unordered_map<TargetName, Micros> keepAliveTimes_;
  uint64_t connectionsOpened_ = 0;
};

} // namespace ibisrock::adapters

#endif
