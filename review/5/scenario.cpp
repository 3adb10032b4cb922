// Another writer puts an entry among those of the replicas, in which a field is of another type: arrays in arrays.
// Shows whether the instances go on.
//
// Arguments: folder for settings and logs, path of the record, 1 or 0 for with or without that entry.

#include "../standin/world.h"

#include <iostream>

namespace {

using namespace review;

constexpr int kInstances = 3;
constexpr int kReplicas = 4;
constexpr int kDeadlineMs = 2'000;
/// The entry has twice as many bytes, and a few more; a value of the store has 1,048,576 at most.
constexpr size_t kDepth = 300'000;
/// The platform starts a process again after this time.
constexpr double kRestartDelay = 0.5;
constexpr double kDuration = 20;
constexpr const char* kService = "fiwu23c";

std::string
Entry()
{
  return R"({"service":"fiwu23c","address":"127.0.0.1:9","zone":"lhr-a","version":)" + std::string(kDepth, '[') +
         std::string(kDepth, ']') + R"(,"slots":2,"state":"ready","warmupLeftMs":0,"seqNo":4,"born":1700000000000})";
}

nlohmann::json
Configuration()
{
  return { { "version", 7 },
           { "routes",
             { { { "name", "r-fetch" },
                 { "host", kHost },
                 { "pathPrefix", "/timi402/" },
                 { "routeType", "idempotent" },
                 { "timeoutMs", kDeadlineMs },
                 { "targetLatencyMs", 400 },
                 { "attempts", 2 },
                 { "priority", 2 },
                 { "service", kService } } } },
           { "services", { { { "name", kService }, { "healthPath", "/healthcheck" }, { "maxConns", 100 } } } },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 262144 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

/// Starts the processes that end again, as the platform does, and counts these ends.
class Platform
{
public:
  Platform(const std::vector<std::unique_ptr<Instance>>& aInstances, Record& aRecord)
    : instances_(aInstances)
    , record_(aRecord)
    , ends_(aInstances.size())
  {
  }

  void WatchUntil(double aEnd)
  {
    constexpr double kPeriod = 0.05;
    while (Now() < aEnd) {
      for (size_t i = 0; i < instances_.size(); i++) {
        if (instances_[i]->HasEnded()) {
          ends_[i]++;
          record_.Line("the process of " + instances_[i]->Name() + " has ended by itself");
          SleepFor(kRestartDelay);
          instances_[i]->Start();
        }
      }
      SleepFor(kPeriod);
    }
  }

  /// Machines on which processes ended by themselves three times.
  int CountFailedMachines() const
  {
    constexpr int kEnds = 3;
    int machines = 0;
    for (const int ends : ends_) {
      machines += ends >= kEnds ? 1 : 0;
    }
    return machines;
  }

private:
  const std::vector<std::unique_ptr<Instance>>& instances_;
  Record& record_;
  std::vector<int> ends_;
};

Result
Run(const std::string& aFolder, Record& aRecord, bool aHasTrouble)
{
  Store store({ LoopbackIp(1), 8102 });
  store.Put("config", "main", Configuration());
  std::vector<std::unique_ptr<Replica>> replicas;
  replicas.reserve(kReplicas);
  for (int i = 0; i < kReplicas; i++) {
    replicas.push_back(std::make_unique<Replica>(
      Replica::Settings{ "i-7f3a91c" + std::to_string(i), kService, "lhr-a", { LoopbackIp(100 + i), 8080 }, 0.02 },
      store,
      aRecord));
  }
  std::vector<std::unique_ptr<Instance>> instances;
  instances.reserve(kInstances);
  for (int i = 0; i < kInstances; i++) {
    instances.push_back(std::make_unique<Instance>(
      InstanceSettings{ "front-lhr-a-" + std::to_string(i + 1), "lhr-a", LoopbackIp(10 + i), store.At() }, aFolder));
    instances.back()->Start();
  }
  if (!WaitUntilReady(instances, 20)) {
    aRecord.Line("the instances were not ready in time");
    return kCouldNotRun;
  }
  std::atomic<bool> hasEnded = false;
  std::atomic<int> sent = 0;
  std::atomic<int> successes = 0;
  std::thread client([&] {
    while (!hasEnded) {
      const Instance& instance = *instances[sent % kInstances];
      const std::string id = "9c41d07be2a3" + std::to_string(++sent);
      const auto answer = Call(instance.Front(), FormatRequest("GET", "/timi402/2f", id, kDeadlineMs), 3);
      successes += answer && answer->Status() == 200 ? 1 : 0;
      aRecord.Line("client gets " + (answer ? std::to_string(answer->Status()) : "no answer") + " to " + id);
      SleepFor(0.1);
    }
  });
  SleepFor(4);
  if (aHasTrouble) {
    const std::string entry = Entry();
    store.PutText("servers", "x-5d20", entry);
    aRecord.Line("another writer puts the entry x-5d20 of " + std::to_string(entry.size()) +
                 " bytes: " + entry.substr(0, 90) + "...");
  }
  Platform platform(instances, aRecord);
  platform.WatchUntil(Now() + kDuration);
  hasEnded = true;
  client.join();
  const int failed = platform.CountFailedMachines();
  aRecord.Line("on " + std::to_string(failed) + " of " + std::to_string(kInstances) +
               " machines the process ended by itself three times or more; " + std::to_string(successes) + " of " +
               std::to_string(sent) + " requests got a success");
  instances.clear();
  Exit(failed >= 2 ? kBroken : successes > 0 ? kHeld : kCouldNotRun);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  const std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  Result result = kCouldNotRun;
  try {
    Record record(arguments.at(1));
    result = Run(arguments.at(0), record, arguments.at(2) == "1");
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  Exit(result);
}
