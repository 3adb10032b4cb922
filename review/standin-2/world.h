#ifndef IBISROCK_REVIEW_STANDIN_2_WORLD_H
#define IBISROCK_REVIEW_STANDIN_2_WORLD_H

#include <list>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "client.h"
#include "entry.h"
#include "record.h"
#include "replica.h"
#include "store.h"

namespace standin {

/// A small deployment: a store, replicas of the services "orders" and "billing", entry instances and clients.
class World
{
public:
  /// The route's type is that of the pages, idempotent or non_idempotent. Paths begin with the name of the service.
  World(std::string aProgram, std::string aFolder, const std::string& aRecord, const std::string& aRouteType);

  Record& Records();
  Store& PlatformStore();
  std::list<Replica>& Replicas();
  std::list<Entry>& Entries();

  /// The replica registers at once, and checks in from the start of the instances on.
  Replica& AddReplica(ReplicaSettings aSettings);
  bool StartEntries(int aCount);
  void StartClients(int aForEachEntry, const std::string& aMethod, int aPauseMs);
  void StopClients();

  /// The store accepts that the replica drains; it returns when that was.
  int64_t Drain(Replica& aReplica);
  /// The process of the replica ends, and its entry goes.
  void Exit(Replica& aReplica);

  /// Whether the environment asks for a run without the disturbance.
  static bool IsCalm();

  /// Writes to the record and to standard output.
  void Tell(const std::string& aText);

private:
  static nlohmann::json MakeConfiguration(const std::string& aRouteType);
  void CheckIn();

  std::string program_;
  std::string folder_;
  Record record_;
  Store store_;
  std::mutex checkIns_;
  std::list<Replica> replicas_;
  std::list<Entry> entries_;
  std::list<Client> clients_;
};

/// Plays a case and ends the process with its result. Threads of the stand-ins run until then.
[[noreturn]] void
PlayAndExit(int aCount, char** aArguments, const std::string& aRouteType, int (*aPlay)(World&));

} // namespace standin

#endif
