#ifndef IBISROCK_PROCESS_RELAY_DIRECTORY_H
#define IBISROCK_PROCESS_RELAY_DIRECTORY_H

#include "base/ids.h"
#include "base/random.h"
#include "base/store_position.h"
#include "base/units.h"
#include "process/recent_maximum.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock {

/// Names one of the registrations of a data centre that an instance may hold as a relay.
using RelaySlotName = StringId<struct RelaySlotNameTag>;

/// A registration of a relay: an instance that watches the store and passes changes on to other instances.
struct RelaySlot
{
  RelaySlotName name_;
  InstanceId instance_;
  PeerAddress address_;
  DataCentre dataCentre_;
  /// Number of instances that use the relay, including itself.
  size_t served_ = 0;
  /// Requests to these instances.
  PerSecond requestRate_;
  /// Changes with each renewal.
  StorePosition position_;
  /// Its holder has given it up. Only the name and the position have a meaning then.
  bool isReleased_ = false;
};

/// A registration that nobody holds. position_ is that of the expired registration; its revision is none if there was
/// no registration when the vacancy was read.
struct RelayVacancy
{
  RelaySlotName name_;
  StorePosition position_;

  bool operator==(const RelayVacancy&) const = default;
};

/// The relays of the fleet. Decides which registrations are vacant, which relay an instance uses next, and how many
/// instances there are. Not thread-safe.
class RelayDirectory
{
public:
  /// Relays of each data centre. The number of instances that watch the store grows with the data centres and not with
  /// the fleet, and a data centre loses its relays only if all three fail together.
  static constexpr size_t kRelaysPerDataCentre = 3;
  /// A registration expires if it is not renewed for two and a half renewal periods. Its age is measured by the local
  /// clock only, because the clocks of machines differ.
  static constexpr Micros kRenewPeriod = Seconds(10);
  static constexpr Micros kExpiry = Seconds(25);
  /// Time for which a relay that did not answer is used only if there is no other.
  static constexpr Micros kFailurePause = Seconds(3);
  /// Time for which a larger rate of requests is remembered. A restart of instances in turn takes less for each.
  static constexpr Micros kHold = Seconds(30);
  /// Time for which a larger fleet is remembered. Instances that are cut off from the store are not counted, but serve
  /// callers and use their share of what the fleet may use.
  static constexpr Micros kCountHold = Seconds(600);

  /// Replaces the known registrations by those of a list that was read in aEra.
  void Replace(StoreEra aEra, const std::vector<RelaySlot>& aSlots, TimePoint aNow);
  /// Era in which the known registrations were read.
  StoreEra Era() const { return era_; }
  /// Returns the registration that aInstance holds, expired or not.
  std::optional<RelaySlot> FindHeldBy(const InstanceId& aInstance) const;
  /// Returns a vacant registration of a data centre.
  std::optional<RelayVacancy> FindVacancy(const DataCentre& aDataCentre, TimePoint aNow) const;
  /// Returns the relay to use next: one that is registered and has not failed lately, then one of aDataCentre, then any
  /// at random. Never returns the relay that aSelf holds.
  std::optional<PeerAddress> Choose(const DataCentre& aDataCentre,
                                    const InstanceId& aSelf,
                                    TimePoint aNow,
                                    Random& aRandom) const;
  /// Records that the relay at the address did not answer or was not current.
  void OnFailed(const PeerAddress& aAddress, TimePoint aNow) { failedAt_[aAddress] = aNow; }
  /// Number of instances that use the relays with a live registration, and the rate of requests to them: the largest
  /// within kCountHold and kHold, because a relay that stops or has just started reports fewer than there are.
  size_t InstanceCount(TimePoint aNow) const { return counts_.At(aNow); }
  PerSecond RequestRate(TimePoint aNow) const { return { rates_.At(aNow) }; }
  /// The registrations that have a holder, expired or not.
  std::vector<RelaySlot> Slots() const;

private:
  struct Entry
  {
    RelaySlot slot_;
    TimePoint changedAt_;
  };

  static bool IsExpired(const Entry& aEntry, TimePoint aNow)
  {
    return aEntry.slot_.isReleased_ || aNow - aEntry.changedAt_ > kExpiry;
  }

  StoreEra era_;
  std::map<RelaySlotName, Entry> entries_;
  std::map<PeerAddress, TimePoint> failedAt_;
  /// Sums over the live registrations at each update.
  RecentMaximum<size_t> counts_{ kCountHold };
  RecentMaximum<double> rates_{ kHold };
};

} // namespace ibisrock

#endif
