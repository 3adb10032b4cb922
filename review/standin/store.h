#ifndef REVIEW_STANDIN_STORE_H
#define REVIEW_STANDIN_STORE_H

#include "net.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>

namespace review {

/// The platform's metadata store: lists, watches, and conditional writes. It answers at once and loses nothing.
class Store
{
public:
  explicit Store(const Address& aAddress);

  /// Writes as the operator or a replica does. Returns after the write is confirmed.
  void Put(const std::string& aKind, const std::string& aName, const nlohmann::json& aSpec);
  void Delete(const std::string& aKind, const std::string& aName);
  /// Writes a spec as another writer sent it, which need not be readable text.
  void PutText(const std::string& aKind, const std::string& aName, const std::string& aSpec);
  /// Number of calls so far.
  uint64_t CallCount() const { return calls_; }

  /// The address at which an instance reaches the store.
  const Address& At() const { return address_; }

private:
  struct Change
  {
    uint64_t revision_;
    std::string kind_;
    nlohmann::json object_;
    bool deleted_;
  };

  void Serve(Connection& aConnection);
  std::string Answer(const Message& aRequest);
  std::string Respond(int aStatus, const nlohmann::json& aBody) const;
  std::string Watch(const std::string& aKind, uint64_t aFrom, double aWait);
  std::string List(const std::string& aKind, const std::string& aAfter);
  std::string Write(const Message& aRequest, const std::string& aKind, std::string aName, uint64_t aRevision);
  /// Both need the lock.
  void PutLocked(const std::string& aKind, const std::string& aName, const nlohmann::json& aSpec);
  void DeleteLocked(const std::string& aKind, const std::string& aName);
  nlohmann::json EventsAfter(const std::string& aKind, uint64_t aFrom) const;

  const Address address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
  std::deque<Change> history_;
  /// Specs of PutText, by the text that stands for them in an object.
  std::map<std::string, std::string> texts_;
  std::atomic<uint64_t> calls_ = 0;
  uint64_t revision_ = 100;
  Listener listener_;
};

} // namespace review

#endif
