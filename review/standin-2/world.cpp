#include "world.h"

#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>

namespace standin {

using nlohmann::json;

namespace {

/// As in the small deployments.
constexpr int kCheckInMs = 1200;

} // namespace

World::World(std::string aProgram, std::string aFolder, const std::string& aRecord, const std::string& aRouteType)
  : program_(std::move(aProgram))
  , folder_(std::move(aFolder))
  , record_(aRecord)
{
  store_.Put("config", "main", MakeConfiguration(aRouteType));
}

Record&
World::Records()
{
  return record_;
}

Store&
World::PlatformStore()
{
  return store_;
}

std::list<Replica>&
World::Replicas()
{
  return replicas_;
}

std::list<Entry>&
World::Entries()
{
  return entries_;
}

Replica&
World::AddReplica(ReplicaSettings aSettings)
{
  Replica& replica = replicas_.emplace_back(std::move(aSettings), record_);
  store_.Put("servers", replica.Id(), replica.Entry());
  return replica;
}

bool
World::StartEntries(int aCount)
{
  std::thread([this] { CheckIn(); }).detach();
  for (int i = 0; i < aCount; i++) {
    Entry& entry = entries_.emplace_back(program_, folder_, "entry-" + std::to_string(i), store_.Port());
    if (!entry.Start()) {
      return false;
    }
  }
  for (const Entry& entry : entries_) {
    if (!entry.WaitUntilReady(15000)) {
      Tell("an instance is not ready");
      return false;
    }
  }
  return true;
}

void
World::StartClients(int aForEachEntry, const std::string& aMethod, int aPauseMs)
{
  size_t number = 0;
  for (const Entry& entry : entries_) {
    for (int i = 0; i < aForEachEntry; i++) {
      ClientSettings settings;
      settings.name_ = "c" + std::to_string(number++);
      settings.port_ = entry.Port();
      settings.method_ = aMethod;
      settings.path_ = "/orders/new";
      settings.body_ = aMethod == "POST" ? "one order" : "";
      settings.pauseMs_ = aPauseMs;
      clients_.emplace_back(settings, record_);
    }
  }
}

void
World::StopClients()
{
  for (Client& client : clients_) {
    client.Stop();
  }
}

bool
World::IsCalm()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

void
World::Tell(const std::string& aText)
{
  record_.Note(aText);
  std::cout << aText << std::endl;
}

int64_t
World::Drain(Replica& aReplica)
{
  aReplica.Drain();
  const std::lock_guard lock(checkIns_);
  store_.CheckIn(aReplica.Id(), aReplica.Entry());
  Tell(aReplica.Id() + " drains, the store has accepted it");
  return NowMs();
}

void
World::Exit(Replica& aReplica)
{
  aReplica.Exit();
  const std::lock_guard lock(checkIns_);
  store_.Delete("servers", aReplica.Id());
  Tell(aReplica.Id() + " exits");
}

void
World::CheckIn()
{
  for (;;) {
    SleepMs(kCheckInMs);
    const std::lock_guard lock(checkIns_);
    for (Replica& replica : replicas_) {
      if (!replica.HasExited()) {
        store_.CheckIn(replica.Id(), replica.Entry());
      }
    }
  }
}

json
World::MakeConfiguration(const std::string& aRouteType)
{
  json routes = json::array();
  json services = json::array();
  for (const std::string name : { "orders", "billing" }) {
    routes.push_back({ { "name", name },
                       { "host", "shop.example" },
                       { "pathPrefix", "/" + name + "/" },
                       { "routeType", aRouteType },
                       { "service", name },
                       { "timeoutMs", 2000 },
                       { "targetLatencyMs", 500 },
                       { "priority", 0 },
                       { "attempts", 2 } });
    services.push_back({ { "name", name },
                         { "healthPath", "/healthcheck" },
                         { "maxConns", 64 },
                         { "protocol", "h1" },
                         { "tls", false } });
  }
  const json limits{
    { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 }
  };
  return { { "version", 3 }, { "routes", routes }, { "services", services }, { "limits", limits } };
}

void
PlayAndExit(int aCount, char** aArguments, const std::string& aRouteType, int (*aPlay)(World&))
{
  if (aCount != 4) {
    std::cerr << "arguments: ENTRY_PROGRAM FOLDER RECORD" << std::endl;
    std::quick_exit(2);
  }
  static World world(aArguments[1], aArguments[2], aArguments[3], aRouteType);
  const int result = aPlay(world);
  world.StopClients();
  world.Entries().clear();
  std::cout.flush();
  std::quick_exit(result);
}

} // namespace standin
