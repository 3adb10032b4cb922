#ifndef IBISROCK_TESTS_FAKE_TARGET_LINK_H
#define IBISROCK_TESTS_FAKE_TARGET_LINK_H

#include "base/target_link.h"
#include "base/timer_service.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibisrock::tests {

/// Records the calls of a router; the test ends them.
class FakeTargetLink final : public TargetLink
{
public:
  struct Sent
  {
    CallId id_;
    TargetCall call_;
    Callback callback_;
    bool ended_ = false;
    bool stopped_ = false;
    OnReleased onReleased_;
  };

  CallId Send(const TargetCall& aCall, Callback aCallback) override
  {
    Sent sent;
    sent.id_ = CallId(sent_.size() + 1);
    sent.call_ = aCall;
    sent.callback_ = std::move(aCallback);
    sent_.push_back(std::move(sent));
    return sent_.back().id_;
  }

  /// A stopped call is released at once, another one by End.
  void AbandonCall(CallId aId, Abandon aHow, OnReleased aOnReleased) override
  {
    Sent& sent = sent_.at(aId.Value() - 1);
    sent.ended_ = true;
    sent.stopped_ = aHow == Abandon::Stop;
    if (sent.stopped_) {
      aOnReleased(false);
    } else {
      sent.onReleased_ = std::move(aOnReleased);
    }
  }

  bool HasIdleConnection(const TargetName& aTarget) const override { return connected_.contains(aTarget.Value()); }

  void OpenIdleConnection(const TargetName& aTarget, const TargetAddress&) override
  {
    connected_.insert(aTarget.Value());
    opened_.push_back(aTarget.Value());
  }

  void CheckReachable(const TargetName& aTarget, const TargetAddress&, OnChecked aOnChecked) override
  {
    checked_.push_back(aTarget.Value());
    aOnChecked(silent_.contains(aTarget.Value())        ? Reachability::Silent
               : unknown_.contains(aTarget.Value())     ? Reachability::Unknown
               : unreachable_.contains(aTarget.Value()) ? Reachability::NoListener
                                                        : Reachability::Reachable);
  }

  void SetOnNotice(OnNotice aOnNotice) override { onNotice_ = std::move(aOnNotice); }

  void Forget(const TargetName& aTarget) override { forgotten_.push_back(aTarget.Value()); }

  /// Ends call number aIndex; of an abandoned one only its connection becomes free.
  void End(size_t aIndex, TargetOutcome aOutcome)
  {
    if (sent_.at(aIndex).ended_) {
      if (OnReleased onReleased = std::move(sent_[aIndex].onReleased_)) {
        onReleased(aOutcome.reason_ == Reason::ConnectionLost);
      }
      return;
    }
    sent_[aIndex].ended_ = true;
    Callback callback = std::move(sent_[aIndex].callback_);
    callback(std::move(aOutcome));
  }

  /// Names of the targets in the order of the calls.
  std::vector<std::string> Targets() const
  {
    std::vector<std::string> names;
    for (const Sent& sent : sent_) {
      names.push_back(sent.call_.target_.Value());
    }
    return names;
  }

  std::vector<Sent> sent_;
  /// Names of the targets to which idle connections were opened, in order.
  std::vector<std::string> opened_;
  std::vector<std::string> forgotten_;
  OnNotice onNotice_;
  /// Targets where nothing listens.
  std::set<std::string> unreachable_;
  /// Targets that do not answer at all.
  std::set<std::string> silent_;
  /// Targets to which this process can open no connection.
  std::set<std::string> unknown_;
  /// Names of the targets that were checked, in order.
  std::vector<std::string> checked_;
  /// Targets with an idle connection.
  std::set<std::string> connected_;
};

inline TargetOutcome
Success(const std::string& aBody, const std::string& aStamp = "stamp")
{
  TargetOutcome outcome;
  outcome.verdict_ = Verdict::Ran;
  outcome.status_ = 200;
  outcome.stamp_ = aStamp;
  outcome.fields_ = { { "Ibisrock-Stamp", aStamp } };
  outcome.body_ = std::make_shared<std::string>(aBody);
  return outcome;
}

inline TargetOutcome
Status(unsigned aStatus, const std::string& aStamp = "stamp")
{
  TargetOutcome outcome = Success("", aStamp);
  outcome.status_ = aStatus;
  outcome.reason_ = Reason::TargetError;
  return outcome;
}

inline TargetOutcome
Failure(Verdict aVerdict, Reason aReason)
{
  TargetOutcome outcome;
  outcome.verdict_ = aVerdict;
  outcome.reason_ = aReason;
  return outcome;
}

} // namespace ibisrock::tests

#endif
