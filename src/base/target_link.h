#ifndef IBISROCK_BASE_TARGET_LINK_H
#define IBISROCK_BASE_TARGET_LINK_H

#include "base/http_message.h"
#include "base/ids.h"
#include "base/units.h"
#include "base/verdict.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock {

/// A caller's request on its way to one target.
struct TargetCall
{
  TargetName target_;
  TargetAddress address_;
  std::shared_ptr<const CallerRequest> request_;
  /// Time that the target may use; it stops work after it.
  Micros timeLeft_{};
  /// Start time of the target that is meant, by which its incarnations differ.
  uint64_t targetStartedAt_ = 0;
};

/// Outcome of a call. With Verdict::Ran the reply is complete and belongs to the request.
struct TargetOutcome
{
  Verdict verdict_ = Verdict::MayHaveRun;
  Reason reason_ = Reason::None;
  unsigned status_ = 0;
  /// Fields to pass on, the stamp included.
  std::vector<HeaderField> fields_;
  /// The target's proof that it made this reply; empty without one.
  std::string stamp_;
  std::shared_ptr<const std::string> body_;
};

/// What a target says of itself beside an answer.
struct TargetNotice
{
  /// It leaves, and wants no new requests.
  bool isLeaving_ = false;
  /// It has turned a request away and wants nothing from this instance for so long.
  std::optional<Micros> pause_;
};

/// What becomes of a call whose outcome is no longer wanted.
enum class Abandon : uint8_t
{
  /// The target may finish, so that its connection can be used again.
  LetFinish,
  /// The connection is closed, so that the target stops work.
  Stop,
};

/// What an attempt to connect to a target shows.
enum class Reachability : uint8_t
{
  /// It takes connections, or has as many as it takes.
  Reachable,
  /// Nothing listens at its address.
  NoListener,
  /// No answer, or none that tells.
  Silent,
  /// This process could not try.
  Unknown,
};

/// Sends requests to targets over kept connections. Every call is sent at most once. Used on one thread.
class TargetLink
{
public:
  using Callback = std::function<void(TargetOutcome)>;
  /// aWasLost tells that the target closed the connection before it answered.
  using OnReleased = std::function<void(bool aWasLost)>;
  using OnChecked = std::function<void(Reachability aResult)>;

  /// Told of each answer in which a target says something of itself, also if nobody wants the outcome any more.
  using OnNotice = std::function<void(const TargetCall&, const TargetNotice&)>;

  virtual ~TargetLink() = default;

  virtual void SetOnNotice(OnNotice aOnNotice) = 0;

  /// Starts a call. aCallback is called once, never from within Send, unless the call is abandoned first.
  virtual CallId Send(const TargetCall& aCall, Callback aCallback) = 0;
  /// Gives up the outcome of a call. aOnReleased is called once, possibly from within AbandonCall, when the call holds
  /// no connection any more.
  virtual void AbandonCall(CallId aId, Abandon aHow, OnReleased aOnReleased) = 0;
  /// Whether a call to the target would use a connection that is open already.
  virtual bool HasIdleConnection(const TargetName& aTarget) const = 0;
  /// Opens a connection for a later call. Without success nothing happens.
  virtual void OpenIdleConnection(const TargetName& aTarget, const TargetAddress& aAddress) = 0;
  /// Opens a connection and tells whether that was possible. It is kept for a later call.
  virtual void CheckReachable(const TargetName& aTarget, const TargetAddress& aAddress, OnChecked aOnChecked) = 0;
  /// Closes the idle connections to a target that is gone.
  virtual void Forget(const TargetName& aTarget) = 0;
};

} // namespace ibisrock

#endif
