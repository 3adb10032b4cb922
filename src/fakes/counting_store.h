#ifndef IBISROCK_FAKES_COUNTING_STORE_H
#define IBISROCK_FAKES_COUNTING_STORE_H

#include "fakes/fake_store.h"

#include <atomic>
#include <string>
#include <utility>

namespace ibisrock::fakes {

/// A store as one instance sees it, with the instance's own call count and access.
class CountingStore final : public ObjectStore
{
public:
  explicit CountingStore(ObjectStore& aStore)
    : store_(aStore)
  {
  }

  void Get(const std::string& aKey, Callback aCallback) override
  {
    gets_++;
    store_.Get(aKey, std::move(aCallback));
  }
  void Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback) override
  {
    puts_++;
    store_.Put(aKey, aValue, aExpected, std::move(aCallback));
  }
  void Watch(const std::string& aKey, StoreRevision aAfter, Micros aTimeout, Callback aCallback) override
  {
    watches_++;
    store_.Watch(aKey, aAfter, aTimeout, std::move(aCallback));
  }

  StoreCalls Calls() const { return { gets_, puts_, watches_ }; }

private:
  ObjectStore& store_;
  std::atomic<uint64_t> gets_{ 0 };
  std::atomic<uint64_t> puts_{ 0 };
  std::atomic<uint64_t> watches_{ 0 };
};

} // namespace ibisrock::fakes

#endif
