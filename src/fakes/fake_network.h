#ifndef IBISROCK_FAKES_FAKE_NETWORK_H
#define IBISROCK_FAKES_FAKE_NETWORK_H

#include "base/peer_transport.h"
#include "base/random.h"
#include "base/timer_service.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibisrock::fakes {

/// Carries messages between the instances of a test on a timer service, with cuts, freezes and counters.
class FakeNetwork
{
public:
  using Receiver = std::function<void(std::string_view)>;

  explicit FakeNetwork(TimerService& aTimers)
    : timers_(aTimers)
  {
  }

  void Attach(const PeerAddress& aAddress, Receiver aReceiver);
  /// Messages to this address are lost from now on, and sends to it fail.
  void Detach(const PeerAddress& aAddress);
  /// Sends from aFrom to aTo are lost without notice while cut.
  void SetCut(const PeerAddress& aFrom, const PeerAddress& aTo, bool aCut);
  /// Messages to a frozen address wait until it is thawed.
  void SetFrozen(const PeerAddress& aAddress, bool aFrozen);
  void SetDelay(Micros aDelay);
  /// Loses this share of all messages without notice, at random.
  void SetLoss(double aShare);
  /// Every message whose number is a multiple of aInterval is lost without notice; 0 loses none.
  void SetLossInterval(uint64_t aInterval);
  /// Called for every message sent, also for one that is lost. Not thread-safe: to be called before the first message.
  void SetObserver(Receiver aObserver);

  bool Send(const PeerAddress& aFrom, const PeerAddress& aTo, std::string aBytes);
  uint64_t MessagesSent() const;
  uint64_t BytesSent() const;

private:
  void Deliver(const PeerAddress& aTo, const std::string& aBytes);

  TimerService& timers_;
  mutable std::mutex mutex_;
  Micros delay_ = Micros(500);
  double loss_ = 0;
  Random random_{ 1 };
  std::map<PeerAddress, Receiver> receivers_;
  std::set<std::pair<PeerAddress, PeerAddress>> cuts_;
  std::map<PeerAddress, std::vector<std::string>> frozen_;
  uint64_t lossInterval_ = 0;
  Receiver observer_;
  uint64_t messages_ = 0;
  uint64_t bytes_ = 0;
};

/// The network as one instance sees it.
class FakeTransport final : public PeerTransport
{
public:
  FakeTransport(FakeNetwork& aNetwork, PeerAddress aSelf)
    : network_(aNetwork)
    , self_(std::move(aSelf))
  {
  }

  bool Send(const PeerAddress& aPeer, std::string aBytes) override
  {
    return network_.Send(self_, aPeer, std::move(aBytes));
  }

private:
  FakeNetwork& network_;
  const PeerAddress self_;
};

} // namespace ibisrock::fakes

#endif
