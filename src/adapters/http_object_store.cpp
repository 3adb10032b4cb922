#include "adapters/http_object_store.h"

#include <cstdlib>
#include <utility>

namespace ibisrock::adapters {

namespace {

constexpr unsigned kCallThreads = 4;
constexpr unsigned kWatchThreads = 4;
constexpr Micros kCallTimeout = Seconds(2);
/// Extra time for the answer of a watch to arrive after its own timeout.
constexpr Micros kWatchGrace = Seconds(1);

StoreRevision
RevisionOf(const HttpOutcome& aOutcome)
{
  auto found = aOutcome.headers_.find(kRevisionHeader);
  return found == aOutcome.headers_.end() ? StoreRevision()
                                          : StoreRevision(std::strtoull(found->second.c_str(), nullptr, 10));
}

StoreOutcome
OutcomeOfStatus(unsigned aStatus)
{
  switch (aStatus) {
    case 200:
      return StoreOutcome::Ok;
    case 404:
      return StoreOutcome::NotFound;
    case 409:
      return StoreOutcome::Conflict;
    case 503:
      return StoreOutcome::Unavailable;
    default:
      return StoreOutcome::Unknown;
  }
}

StoreResult
ToResult(const HttpOutcome& aOutcome)
{
  StoreResult result;
  if (aOutcome.verdict_ == Verdict::Ran && aOutcome.repeated_.contains(kRevisionHeader)) {
    // Which revision holds cannot be known.
    result.outcome_ = StoreOutcome::Unknown;
  } else if (aOutcome.verdict_ == Verdict::Ran) {
    result.outcome_ = OutcomeOfStatus(aOutcome.status_);
    result.revision_ = RevisionOf(aOutcome);
    result.value_ = aOutcome.body_;
  } else {
    result.outcome_ = aOutcome.verdict_ == Verdict::NotRun ? StoreOutcome::Unavailable : StoreOutcome::Unknown;
  }
  return result;
}

} // namespace

HttpObjectStore::HttpObjectStore(std::string aAddress)
  : address_(std::move(aAddress))
  , calls_(kCallThreads)
  , watches_(kWatchThreads)
{
}

StoreResult
HttpObjectStore::Read(const std::string& aUrl, Micros aTimeout)
{
  HttpCall call;
  call.address_ = address_;
  call.url_ = aUrl;
  call.timeout_ = aTimeout;
  StoreResult result = ToResult(caller_.Call(call));
  if (result.outcome_ == StoreOutcome::Unknown) {
    result.outcome_ = StoreOutcome::Unavailable;
  }
  return result;
}

void
HttpObjectStore::Get(const std::string& aKey, Callback aCallback)
{
  calls_.Add([this, aKey, callback = std::move(aCallback)] { callback(Read("/objects/" + aKey, kCallTimeout)); });
}

void
HttpObjectStore::Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback)
{
  calls_.Add([this, aKey, aValue, aExpected, callback = std::move(aCallback)] {
    HttpCall call;
    call.address_ = address_;
    call.method_ = "PUT";
    call.url_ = "/objects/" + aKey;
    call.headers_ = { { kIfRevisionHeader, std::to_string(aExpected.Value()) } };
    call.body_ = aValue;
    call.timeout_ = kCallTimeout;
    call.freshConnection_ = true;
    callback(ToResult(caller_.Call(call)));
  });
}

void
HttpObjectStore::Watch(const std::string& aKey, StoreRevision aAfter, Micros aTimeout, Callback aCallback)
{
  watches_.Add([this, aKey, aAfter, aTimeout, callback = std::move(aCallback)] {
    const std::string url = "/watch/" + aKey + "?after=" + std::to_string(aAfter.Value()) +
                            "&timeout_ms=" + std::to_string(aTimeout.count() / 1000);
    callback(Read(url, aTimeout + kWatchGrace));
  });
}

} // namespace ibisrock::adapters
