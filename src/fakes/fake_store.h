#ifndef IBISROCK_FAKES_FAKE_STORE_H
#define IBISROCK_FAKES_FAKE_STORE_H

#include "base/object_store.h"
#include "base/timer_service.h"

#include <list>
#include <map>
#include <mutex>
#include <string>

namespace ibisrock::fakes {

/// Faults and delays of a FakeStore.
struct StoreFaults
{
  Micros latency_ = Millis(2);
  /// Every call fails as Unavailable.
  bool outage_ = false;
  /// Number of coming updates that take effect but whose answers are lost.
  unsigned lostAnswers_ = 0;
  /// Number of coming updates that are lost before they take effect; they are answered as Unknown.
  unsigned lostRequests_ = 0;
  /// Only updates of keys with this prefix are lost.
  std::string lostPrefix_{};
  /// Reads answer with the value that was current this long ago.
  Micros readLag_{};
};

/// Calls that a FakeStore has received.
struct StoreCalls
{
  uint64_t gets_ = 0;
  uint64_t puts_ = 0;
  uint64_t watches_ = 0;
};

/// An object API in memory that answers on a timer service.
class FakeStore final : public ObjectStore
{
public:
  explicit FakeStore(TimerService& aTimers)
    : timers_(aTimers)
  {
  }

  void Get(const std::string& aKey, Callback aCallback) override;
  void Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback) override;
  void Watch(const std::string& aKey, StoreRevision aAfter, Micros aTimeout, Callback aCallback) override;

  void SetFaults(const StoreFaults& aFaults);
  StoreCalls Calls() const;
  /// Keys that start with aPrefix.
  std::vector<std::string> Keys(const std::string& aPrefix) const;

private:
  struct Version
  {
    StoreRevision revision_;
    std::string value_;
    TimePoint writtenAt_;
  };
  struct Watcher
  {
    uint64_t id_;
    std::string key_;
    StoreRevision after_;
    Callback callback_;
  };

  StoreResult Read(const std::string& aKey, Micros aLag) const;
  StoreResult Write(const std::string& aKey, const std::string& aValue, StoreRevision aExpected);
  void Answer(Callback aCallback, StoreResult aResult);
  void AnswerWatchers(const std::string& aKey);
  void ExpireWatch(uint64_t aId);

  TimerService& timers_;
  mutable std::mutex mutex_;
  StoreFaults faults_;
  StoreCalls calls_;
  uint64_t lastRevision_ = 0;
  uint64_t lastWatch_ = 0;
  std::map<std::string, std::vector<Version>> objects_;
  std::list<Watcher> watchers_;
};

} // namespace ibisrock::fakes

#endif
