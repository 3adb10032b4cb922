#include "adapters/http_target_link.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace ibisrock::adapters {

namespace {

/// A connection takes a round trip and up to 6 ms of a slot of the target; a target that pauses adds up to 200 ms.
constexpr Micros kConnectTimeout = Millis(400);
/// Time for an abandoned call to end, so that its connection is kept. A new connection costs about as much of a slot as
/// a short call, and a call that takes longer than this waits behind a pause or a queue.
constexpr Micros kAbandonedTime = Millis(250);
/// Part of the keep-alive time of a target after which a connection is not used any more, so that a request does not
/// cross the target's close.
constexpr double kKeepAliveShare = 0.7;
/// A reply of a target has some kilobytes. All shards of a gather together stay within the memory of an instance even
/// if their targets send without end.
constexpr size_t kMaxReply = 512 << 10;
/// Keep-alive time of targets that state none.
constexpr Micros kDefaultKeepAlive = Seconds(20);

Reachability
ReachabilityOf(LoopHttpConnection::ConnectResult aResult)
{
  using ConnectResult = LoopHttpConnection::ConnectResult;
  switch (aResult) {
    case ConnectResult::Connected:
    case ConnectResult::OverLimit:
      return Reachability::Reachable;
    case ConnectResult::NoListener:
      return Reachability::NoListener;
    case ConnectResult::NotTried:
      return Reachability::Unknown;
    default:
      return Reachability::Silent;
  }
}

/// Reads a number of seconds with an optional fraction. What is not one, or not positive, says nothing.
std::optional<Micros>
ParseSeconds(std::string_view aText)
{
  constexpr double kMaxSeconds = 86'400;
  double seconds = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), seconds, std::chars_format::fixed);
  if (error != std::errc() || end != aText.data() + aText.size() || !(seconds > 0)) {
    return std::nullopt;
  }
  return Micros(static_cast<Micros::rep>(1e6 * std::min(seconds, kMaxSeconds)));
}

bool
IsEncoded(const ServerReply& aReply)
{
  return std::any_of(aReply.fields_.begin(), aReply.fields_.end(), [](const HeaderField& aField) {
    return IsSameName(aField.name_, "Content-Encoding") && !aField.value_.empty();
  });
}

TargetOutcome
MakeFailure(Verdict aVerdict, Reason aReason)
{
  TargetOutcome outcome;
  outcome.verdict_ = aVerdict;
  outcome.reason_ = aReason;
  return outcome;
}

} // namespace

HttpTargetLink::HttpTargetLink(boost::asio::io_context& aLoop, TimerService& aTimers, HeaderNames aNames)
  : loop_(aLoop)
  , timers_(aTimers)
  , names_(std::move(aNames))
{
}

HttpTargetLink::~HttpTargetLink()
{
  for (auto& [id, call] : calls_) {
    timers_.Cancel(call.timer_);
    call.connection_->Close();
  }
  for (auto& [name, connections] : idle_) {
    for (IdleConnection& idle : connections) {
      idle.connection_->Close();
    }
  }
}

CallId
HttpTargetLink::Send(const TargetCall& aCall, Callback aCallback)
{
  lastId_ = lastId_.Next();
  const CallId id = lastId_;
  Call& call = calls_[id];
  call.call_ = aCall;
  call.deadline_ = timers_.Now() + aCall.timeLeft_;
  call.callback_ = std::move(aCallback);
  call.connection_ = TakeIdle(aCall.target_);
  if (call.connection_) {
    Write(id, call);
  } else {
    OpenFor(id, call);
  }
  return id;
}

/// The connection that was used last, because the target closes those that are idle longest.
HttpTargetLink::ConnectionPtr
HttpTargetLink::TakeIdle(const TargetName& aTarget)
{
  auto found = idle_.find(aTarget);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<IdleConnection>& connections = found->second;
  while (!connections.empty()) {
    IdleConnection idle = std::move(connections.back());
    connections.pop_back();
    if (idle.connection_->CanBeReused() && timers_.Now() < idle.usableUntil_) {
      idle.connection_->SetOnClosed(nullptr);
      return idle.connection_;
    }
    idle.connection_->Close();
  }
  return nullptr;
}

void
HttpTargetLink::KeepIdle(const TargetName& aTarget, const ConnectionPtr& aConnection)
{
  if (aConnection->KeepAliveTime()) {
    keepAliveTimes_[aTarget] = *aConnection->KeepAliveTime();
  }
  auto stated = keepAliveTimes_.find(aTarget);
  const Micros keepAlive = stated == keepAliveTimes_.end() ? kDefaultKeepAlive : stated->second;
  aConnection->SetOnClosed([this, aTarget, raw = aConnection.get()] {
    auto found = idle_.find(aTarget);
    if (found != idle_.end()) {
      std::erase_if(found->second, [raw](const IdleConnection& aIdle) { return aIdle.connection_.get() == raw; });
    }
  });
  idle_[aTarget].push_back({ aConnection, timers_.Now() + Scale(keepAlive, kKeepAliveShare) });
}

void
HttpTargetLink::OpenFor(CallId aId, Call& aCall)
{
  aCall.connection_ = LoopHttpConnection::Create(loop_, kMaxReply);
  connectionsOpened_++;
  aCall.timer_ = timers_.After(kConnectTimeout, [this, aId] { OnConnectTimeout(aId); });
  LastReason reason;
  auto address = ParseSocketAddress(aCall.call_.address_.Value(), reason);
  aCall.connection_->Connect(address.value_or(SocketAddress()),
                             [this, aId](LoopHttpConnection::ConnectResult aResult) { OnConnected(aId, aResult); });
}

void
HttpTargetLink::OnConnected(CallId aId, LoopHttpConnection::ConnectResult aResult)
{
  auto found = calls_.find(aId);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  timers_.Cancel(call.timer_);
  using ConnectResult = LoopHttpConnection::ConnectResult;
  call.reachability_ = ReachabilityOf(aResult);
  if (aResult != ConnectResult::Connected) {
    const bool isFull = aResult == ConnectResult::OverLimit;
    End(aId, MakeFailure(Verdict::NotRun, isFull ? Reason::OverLimit : Reason::ConnectFailed));
  } else if (!call.callback_) {
    // Abandoned before it was sent: the connection serves the next call.
    KeepIdle(call.call_.target_, call.connection_);
    End(aId, {});
  } else {
    Write(aId, call);
  }
}

void
HttpTargetLink::OnConnectTimeout(CallId aId)
{
  calls_.at(aId).connection_->Close();
  End(aId, MakeFailure(Verdict::NotRun, Reason::ConnectFailed));
}

void
HttpTargetLink::Write(CallId aId, Call& aCall)
{
  aCall.sent_ = true;
  auto belongs = [this, aId](const ServerReply& aReply) {
    if (HasRepeatedField(aReply)) {
      return true;
    }
    const TargetCall& call = calls_.at(aId).call_;
    TakeNotice(call, aReply);
    const std::string_view echoed = aReply.Field(names_.requestId_);
    return echoed.empty() || echoed == call.request_->id_;
  };
  aCall.connection_->Exchange(
    MakeRequest(aCall), std::move(belongs), [this, aId](std::optional<ServerReply> aReply, const LastReason&) {
      OnReply(aId, std::move(aReply));
    });
}

RequestText
HttpTargetLink::MakeRequest(const Call& aCall) const
{
  const CallerRequest& request = *aCall.call_.request_;
  RequestText text;
  std::string& head = text.head_;
  head.reserve(256);
  head.append(request.method_).append(" ").append(request.target_).append(" HTTP/1.1\r\n");
  AppendField(head, "Host", request.host_);
  if (!request.id_.empty()) {
    AppendField(head, names_.requestId_, request.id_);
  }
  const auto left = std::chrono::duration_cast<Millis>(aCall.deadline_ - timers_.Now());
  AppendField(head, names_.timeLeft_, std::to_string(std::max<Millis::rep>(left.count(), 1)));
  AppendField(head, names_.expectedTarget_, aCall.call_.target_.Value());
  for (const HeaderField& field : request.fields_) {
    AppendField(head, field.name_, field.value_);
  }
  const bool hasBody = request.body_ && !request.body_->empty();
  if (hasBody || (request.method_ != "GET" && request.method_ != "HEAD")) {
    AppendField(head, "Content-Length", std::to_string(hasBody ? request.body_->size() : 0));
  }
  head += "\r\n";
  text.body_ = request.body_;
  text.expectsNoBody_ = request.method_ == "HEAD";
  return text;
}

void
HttpTargetLink::OnReply(CallId aId, std::optional<ServerReply> aReply)
{
  const Call& call = calls_.at(aId);
  if (!aReply) {
    // A target that answers has not crashed, whatever it answers.
    const bool isBroken = call.connection_->IsReplyBroken();
    End(aId, MakeFailure(Verdict::MayHaveRun, isBroken ? Reason::TargetError : Reason::ConnectionLost));
    return;
  }
  if (HasRepeatedField(*aReply)) {
    call.connection_->Close();
    End(aId, MakeFailure(Verdict::MayHaveRun, Reason::TargetError));
    return;
  }
  if (IsIdMissing(call.call_.target_, *aReply)) {
    call.connection_->Close();
    End(aId, MakeFailure(Verdict::MayHaveRun, Reason::ConnectionLost));
    return;
  }
  if (call.connection_->CanBeReused()) {
    KeepIdle(call.call_.target_, call.connection_);
  }
  End(aId, Judge(std::move(*aReply)));
}

/// A reply with status 421 comes from another target at the same address.
void
HttpTargetLink::TakeNotice(const TargetCall& aCall, const ServerReply& aReply) const
{
  if (!onNotice_ || aReply.status_ == 421) {
    return;
  }
  TargetNotice notice;
  notice.isLeaving_ = aReply.Field(names_.leaving_) == "1";
  notice.pause_ = aReply.status_ == 503 ? ParseSeconds(aReply.Field("Retry-After")) : std::nullopt;
  if (notice.isLeaving_ || notice.pause_) {
    onNotice_(aCall, notice);
  }
}

/// Whether a field that decides what the reply means occurs more than once: which value holds cannot be known.
bool
HttpTargetLink::HasRepeatedField(const ServerReply& aReply) const
{
  const std::array decisive{ &names_.requestId_, &names_.stamp_, &names_.notRun_, &names_.leaving_ };
  return std::any_of(
    decisive.begin(), decisive.end(), [&aReply](const std::string* aName) { return aReply.Count(*aName) > 1; });
}

/// Whether a success lacks the id although the target echoes ids. It may be a late copy of an earlier answer. A refusal
/// may come before the target has read the id.
bool
HttpTargetLink::IsIdMissing(const TargetName& aTarget, const ServerReply& aReply)
{
  if (!aReply.Field(names_.requestId_).empty()) {
    echoing_.insert(aTarget);
    return false;
  }
  return aReply.status_ / 100 == 2 && echoing_.contains(aTarget);
}

/// What a complete reply says of the request.
TargetOutcome
HttpTargetLink::Judge(ServerReply aReply) const
{
  if (aReply.status_ == 421) {
    return MakeFailure(Verdict::NotRun, Reason::NotOwner);
  }
  if (!aReply.Field(names_.notRun_).empty()) {
    return MakeFailure(Verdict::NotRun, Reason::Overloaded);
  }
  if (IsEncoded(aReply)) {
    return MakeFailure(Verdict::MayHaveRun, Reason::TargetError);
  }
  TargetOutcome outcome;
  outcome.verdict_ = Verdict::Ran;
  outcome.reason_ = aReply.status_ < 500 ? Reason::None : Reason::TargetError;
  outcome.status_ = aReply.status_;
  outcome.stamp_ = aReply.Field(names_.stamp_);
  outcome.body_ = aReply.body_;
  const std::string connection(aReply.Field("Connection"));
  for (HeaderField& field : aReply.fields_) {
    if (!IsHopByHop(field.name_, connection)) {
      outcome.fields_.push_back(std::move(field));
    }
  }
  return outcome;
}

void
HttpTargetLink::End(CallId aId, TargetOutcome aOutcome)
{
  auto found = calls_.find(aId);
  timers_.Cancel(found->second.timer_);
  Callback callback = std::move(found->second.callback_);
  OnReleased onReleased = std::move(found->second.onReleased_);
  const OnChecked onChecked = std::move(found->second.onChecked_);
  const Reachability reachability = found->second.reachability_;
  calls_.erase(found);
  if (callback) {
    callback(std::move(aOutcome));
  } else if (onReleased) {
    onReleased(aOutcome.reason_ == Reason::ConnectionLost);
  } else if (onChecked) {
    onChecked(reachability);
  }
}

void
HttpTargetLink::AbandonCall(CallId aId, Abandon aHow, OnReleased aOnReleased)
{
  Call& call = calls_.at(aId);
  call.callback_ = nullptr;
  call.onReleased_ = std::move(aOnReleased);
  if (!call.sent_) {
    return;
  }
  if (aHow == Abandon::Stop) {
    call.connection_->Close();
    End(aId, {});
    return;
  }
  call.timer_ = timers_.After(kAbandonedTime, [this, aId] {
    calls_.at(aId).connection_->Close();
    End(aId, {});
  });
}

bool
HttpTargetLink::HasIdleConnection(const TargetName& aTarget) const
{
  auto found = idle_.find(aTarget);
  return found != idle_.end() && !found->second.empty() && timers_.Now() < found->second.back().usableUntil_;
}

/// A connection for a call that was abandoned before it was sent is kept for the next call.
void
HttpTargetLink::OpenIdleConnection(const TargetName& aTarget, const TargetAddress& aAddress)
{
  lastId_ = lastId_.Next();
  Call& call = calls_[lastId_];
  call.call_.target_ = aTarget;
  call.call_.address_ = aAddress;
  OpenFor(lastId_, call);
}

void
HttpTargetLink::CheckReachable(const TargetName& aTarget, const TargetAddress& aAddress, OnChecked aOnChecked)
{
  OpenIdleConnection(aTarget, aAddress);
  calls_.at(lastId_).onChecked_ = std::move(aOnChecked);
}

void
HttpTargetLink::Forget(const TargetName& aTarget)
{
  keepAliveTimes_.erase(aTarget);
  echoing_.erase(aTarget);
  auto found = idle_.find(aTarget);
  if (found == idle_.end()) {
    return;
  }
  for (IdleConnection& idle : found->second) {
    idle.connection_->Close();
  }
  idle_.erase(found);
}

} // namespace ibisrock::adapters
