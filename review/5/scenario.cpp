// A request crashes each replica that begins to run it, and its client sends it again. Shows how long the instances go
// on handing it to replicas, and what happens to other requests that these replicas run.
//
// Arguments: folder for settings and logs, path of the record, 1 or 0 for with or without the crashes.

#include "../standin/world.h"

#include <algorithm>
#include <iostream>
#include <map>

namespace {

using namespace review;

constexpr int kInstances = 3;
constexpr int kReplicas = 4;
constexpr int kDeadlineMs = 2'000;
constexpr int kAttempts = 2;
constexpr double kStableWindow = 4;
/// A crashed replica is back after this time.
constexpr double kDown = 3;
constexpr double kDuration = 50;
/// The client of the request sends it again after this time.
constexpr double kPeriod = 2;
constexpr const char* kService = "fiwu23c";
constexpr const char* kCrashingPath = "/timi402/2f";

nlohmann::json
Route(const std::string& aName, const std::string& aPrefix, const std::string& aType)
{
  return { { "name", aName },
           { "host", kHost },
           { "pathPrefix", aPrefix },
           { "routeType", aType },
           { "timeoutMs", kDeadlineMs },
           { "targetLatencyMs", 400 },
           { "attempts", kAttempts },
           { "priority", 2 },
           { "service", kService } };
}

nlohmann::json
Configuration()
{
  return { { "version", 7 },
           { "routes", { Route("r-fetch", "/timi402/", "idempotent"), Route("r-book", "/zuno51/", "non_idempotent") } },
           { "services", { { { "name", kService }, { "healthPath", "/healthcheck" }, { "maxConns", 100 } } } },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 262144 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

class Case
{
public:
  Case(std::string aFolder, Record& aRecord, bool aHasTrouble)
    : folder_(std::move(aFolder))
    , record_(aRecord)
    , hasTrouble_(aHasTrouble)
    , store_({ LoopbackIp(1), 8102 })
  {
  }

  Result Run()
  {
    store_.Put("config", "main", Configuration());
    for (int i = 0; i < kReplicas; i++) {
      replicas_.push_back(std::make_unique<Replica>(
        Replica::Settings{ "i-7f3a91c" + std::to_string(i), kService, "lhr-a", { LoopbackIp(100 + i), 8080 }, 0.15 },
        store_,
        record_));
      replicas_.back()->SetAnswer([this](Replica& aReplica, Connection& aConnection, const Message& aRequest) {
        Answer(aReplica, aConnection, aRequest);
      });
    }
    for (int i = 0; i < kInstances; i++) {
      instances_.push_back(std::make_unique<Instance>(
        InstanceSettings{ "front-lhr-a-" + std::to_string(i + 1), "lhr-a", LoopbackIp(10 + i), store_.At() }, folder_));
      instances_.back()->Start();
    }
    if (!WaitUntilReady(instances_, 20)) {
      record_.Line("the instances were not ready in time");
      return kCouldNotRun;
    }
    SleepFor(kStableWindow + 2);
    std::vector<std::thread> clients;
    clients.emplace_back([this] { SendCrashingRequest(); });
    for (int i = 0; i < kInstances; i++) {
      clients.emplace_back([this, i] { SendOtherRequests(i); });
    }
    SleepFor(kDuration);
    ended_ = true;
    for (std::thread& client : clients) {
      client.join();
    }
    instances_.clear();
    record_.Line(std::to_string(crashes_) + " crashes; the request reached replicas in " +
                 std::to_string(CountLateRetries()) +
                 " retries sent later than stableWindowMs after the third crash; " + std::to_string(others_) +
                 " other requests, " + std::to_string(othersLost_) + " without success, of which " +
                 std::to_string(othersLostAtWork_) + " had begun to run");
    if (CountLateRetries() > 3) {
      return kBroken;
    }
    return others_ > 0 && answered_ > 0 ? kHeld : kCouldNotRun;
  }

private:
  void Answer(Replica& aReplica, Connection& aConnection, const Message& aRequest)
  {
    const std::string id = aRequest.Field("Request-Id");
    {
      const std::lock_guard lock(mutex_);
      begun_[id] = true;
    }
    if (aRequest.Target() != kCrashingPath || !hasTrouble_) {
      Replica::Respond(aReplica, aConnection, aRequest);
      return;
    }
    {
      const std::lock_guard lock(mutex_);
      if (++crashes_ == 3) {
        thirdCrashAt_ = Now();
      }
    }
    record_.Line("replica " + aReplica.Config().id_ + " crashes as it begins to run " + id);
    aReplica.Crash();
    std::thread([&aReplica, this] {
      SleepFor(kDown);
      aReplica.Restart();
      record_.Line("replica " + aReplica.Config().id_ + " is back");
    }).detach();
  }

  /// The same path and body each time, at any machine, with an id of its own.
  void SendCrashingRequest()
  {
    for (int i = 0; !ended_; i++) {
      const std::string id = "9c41d07be2a3" + std::to_string(1000 + i);
      {
        const std::lock_guard lock(mutex_);
        sentAt_[id] = Now();
      }
      const Instance& instance = *instances_[i % kInstances];
      record_.Line("client sends GET " + std::string(kCrashingPath) + " id " + id + " to " + instance.Name());
      const auto answer = Call(instance.Front(), FormatRequest("GET", kCrashingPath, id, kDeadlineMs), 3);
      answered_ += answer ? 1 : 0;
      record_.Line("client gets " + (answer ? std::to_string(answer->Status()) : "no answer") + " to " + id);
      SleepFor(kPeriod);
    }
  }

  void SendOtherRequests(int aClient)
  {
    constexpr double kPause = 0.1;
    for (int i = 0; !ended_; i++) {
      const std::string id = "77c0-" + std::to_string(aClient) + "-" + std::to_string(i);
      const auto answer =
        Call(instances_[aClient]->Front(), FormatRequest("POST", "/zuno51/2f", id, kDeadlineMs, "one batch"), 3);
      others_++;
      if (!answer || answer->Status() != 200) {
        const std::lock_guard lock(mutex_);
        othersLost_++;
        othersLostAtWork_ += begun_.contains(id) ? 1 : 0;
        record_.Line("another client gets " + (answer ? std::to_string(answer->Status()) : "no answer") +
                     " to POST id " + id + (begun_.contains(id) ? ", which had begun to run" : ""));
      }
      SleepFor(kPause);
    }
  }

  int CountLateRetries()
  {
    const std::lock_guard lock(mutex_);
    if (thirdCrashAt_ == 0) {
      return 0;
    }
    return static_cast<int>(std::count_if(sentAt_.begin(), sentAt_.end(), [this](const auto& aSent) {
      return aSent.second > thirdCrashAt_ + kStableWindow && begun_.contains(aSent.first);
    }));
  }

  const std::string folder_;
  Record& record_;
  const bool hasTrouble_;
  Store store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::mutex mutex_;
  /// Ids of requests that a replica has begun to run.
  std::map<std::string, bool> begun_;
  /// When each copy of the crashing request was sent, by id.
  std::map<std::string, double> sentAt_;
  int crashes_ = 0;
  double thirdCrashAt_ = 0;
  std::atomic<bool> ended_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> others_ = 0;
  int othersLost_ = 0;
  int othersLostAtWork_ = 0;
};

} // namespace

int
main(int aArgc, char** aArgv)
{
  const std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  try {
    Record record(arguments.at(1));
    Case testCase(arguments.at(0), record, arguments.at(2) == "1");
    Exit(testCase.Run());
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  Exit(kCouldNotRun);
}
