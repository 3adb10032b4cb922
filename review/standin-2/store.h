#ifndef IBISROCK_REVIEW_STANDIN_2_STORE_H
#define IBISROCK_REVIEW_STANDIN_2_STORE_H

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.h"

namespace standin {

/// The platform's store: objects by kind and name, lists, watches and writes.
class Store
{
public:
  using Json = nlohmann::json;

  Store();
  uint16_t Port() const;

  /// Writes as the operator or a replica.
  void Put(const std::string& aKind, const std::string& aName, const Json& aSpec);
  /// A check-in of a replica: the entry changes when more than its count of check-ins does.
  void CheckIn(const std::string& aName, const Json& aSpec);
  void Delete(const std::string& aKind, const std::string& aName);
  Json Get(const std::string& aKind, const std::string& aName) const;

  /// While the store is away it resets connections; its era rises when it returns from the copy taken by Copy().
  void SetAway(bool aIsAway);
  void Copy();
  void ReturnFromCopy();

private:
  struct Change
  {
    uint64_t revision_;
    std::string kind_;
    Json object_;
    bool isDeleted_;
  };

  using Objects = std::map<std::string, std::map<std::string, Json>>;

  void Serve(Stream& aStream);
  Message Answer(const Message& aRequest);
  Message List(const std::string& aKind, const std::map<std::string, std::string>& aQuery);
  Message Watch(const std::string& aKind, uint64_t aFrom, int64_t aWaitMs);
  Message Write(const Message& aRequest, const std::string& aKind, std::string aName, uint64_t aRevision);
  Message MakeJson(int aStatus, const Json& aContent) const;
  void PutLocked(const std::string& aKind, const std::string& aName, const Json& aSpec);
  void DeleteLocked(const std::string& aKind, const std::string& aName);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Objects objects_;
  Objects copy_;
  std::vector<Change> history_;
  uint64_t revision_ = 1;
  uint64_t copiedRevision_ = 1;
  uint64_t oldest_ = 1;
  uint64_t era_ = 1;
  bool isAway_ = false;
  std::unique_ptr<Listener> listener_;
};

} // namespace standin

#endif
