#ifndef IBISROCK_TESTS_RELAY_FLEET_H
#define IBISROCK_TESTS_RELAY_FLEET_H

#include "fake_target_link.h"
#include "line_sink.h"
#include "platform/discovery.h"
#include "platform/emulator/store_emulator.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace ibisrock::platform {

using nlohmann::json;

inline constexpr Seconds kApplyTime(6);
inline constexpr Seconds kLeaveTime(6);

inline json
Configuration(uint64_t aVersion)
{
  const json route{ { "name", "r" },       { "host", "h" },   { "pathPrefix", "/a/" },   { "routeType", "idempotent" },
                    { "timeoutMs", 1000 }, { "attempts", 2 }, { "targetLatencyMs", 60 }, { "priority", 1 },
                    { "service", "s" } };
  return { { "version", aVersion },
           { "routes", { route } },
           { "services", { { { "name", "s" }, { "maxConns", 26 } } } },
           { "limits", json::object() } };
}

inline json
TargetSpec()
{
  return { { "service", "s" },   { "address", "10.0.0.1:80" }, { "zone", "z" },   { "slots", 2 },
           { "state", "ready" }, { "warmupLeftMs", 0 },        { "version", "v" } };
}

/// Instances of one data centre with an emulated store, on one event loop and one clock that the test advances. Each
/// instance reaches the store through a port of its own.
class RelayFleet
{
public:
  struct Node
  {
    std::string name_;
    size_t storePort_ = 0;
    /// Kept over restarts, as on a machine.
    uint16_t peerPort_ = 0;
    /// Cut off from the store and from all instances that follow it.
    bool isIsolated_ = false;
    /// Time in which its machine was suspended.
    Micros suspended_{};
    ibisrock::tests::FakeTargetLink link_;
    std::unique_ptr<Router> router_;
    std::unique_ptr<Discovery> discovery_;
  };

  explicit RelayFleet(size_t aInstances)
  {
    LastReason reason;
    store_ = StoreEmulator::Create(loop_, timers_, { "127.0.0.1", 0 }, reason);
    EXPECT_TRUE(store_) << reason.Text();
    store_->Put("config", "main", Configuration(1));
    store_->Put("servers", "t1", TargetSpec());
    store_->Put("servers", "t2", TargetSpec());
    for (size_t i = 0; i < aInstances; i++) {
      nodes_.push_back(std::make_unique<Node>());
      nodes_.back()->name_ = "entry-" + std::to_string(i);
      nodes_.back()->storePort_ = store_->AddPort(reason);
      StartInstance(*nodes_.back());
    }
  }

  void StartInstance(Node& aNode)
  {
    aNode.router_ = std::make_unique<Router>(RouterSettings(), timers_, random_, aNode.link_, nullptr);
    const Discovery::Settings settings{ { "127.0.0.1", store_->ExtraPort(aNode.storePort_) },
                                        aNode.name_,
                                        "z",
                                        { "127.0.0.1", aNode.peerPort_ },
                                        kApplyTime,
                                        kLeaveTime,
                                        [this, &aNode] { return timers_.Now().time_since_epoch() + aNode.suspended_; },
                                        [this] { return timers_.Now().time_since_epoch() + Seconds(1'800'000'000); } };
    aNode.discovery_ = std::make_unique<Discovery>(loop_, timers_, random_, settings, *aNode.router_, log_, [] {});
    LastReason reason;
    EXPECT_TRUE(aNode.discovery_->Start(reason)) << reason.Text();
    aNode.peerPort_ = aNode.discovery_->PeerPort();
  }

  /// SIGKILL: the instance vanishes, and its registration stays.
  void Kill(Node& aNode)
  {
    aNode.discovery_.reset();
    aNode.router_.reset();
  }

  void Step()
  {
    timers_.Advance(Millis(20));
    loop_.run_for(std::chrono::microseconds(200));
    // The replies that the callbacks have caused.
    while (loop_.poll() > 0) {
    }
  }

  void Advance(Micros aTime)
  {
    for (const TimePoint end = timers_.Now() + aTime; timers_.Now() < end;) {
      Step();
    }
  }

  /// Advances the clock until aIsDone returns true. Returns false after aLimit.
  template<typename Condition>
  bool AdvanceUntil(Condition aIsDone, Micros aLimit)
  {
    const TimePoint end = timers_.Now() + aLimit;
    while (!aIsDone()) {
      if (timers_.Now() > end) {
        return false;
      }
      Step();
    }
    return true;
  }

  std::vector<Node*> Living(std::optional<Discovery::Source> aSource = std::nullopt)
  {
    std::vector<Node*> living;
    for (const auto& node : nodes_) {
      if (node->discovery_ && (!aSource || node->discovery_->CurrentSource() == *aSource)) {
        living.push_back(node.get());
      }
    }
    return living;
  }

  template<typename Predicate>
  bool All(Predicate aPredicate)
  {
    const auto living = Living();
    return std::all_of(
      living.begin(), living.end(), [&](Node* aNode) { return aNode->isIsolated_ || aPredicate(*aNode); });
  }

  bool AllReady()
  {
    return All([](Node& aNode) { return aNode.router_->IsReady(); });
  }

  static uint64_t Version(const Node& aNode)
  {
    return aNode.router_->Routes() ? aNode.router_->Routes()->Version().Value() : 0;
  }

  uint64_t StoreCalls(Discovery::Source aSource)
  {
    uint64_t calls = 0;
    for (Node* node : Living(aSource)) {
      calls += node->discovery_->StoreCalls();
    }
    return calls;
  }

  boost::asio::io_context loop_{ 1 };
  ManualTimerService timers_;
  Random random_{ 1 };
  LineSink log_;
  std::unique_ptr<StoreEmulator> store_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

} // namespace ibisrock::platform

#endif
