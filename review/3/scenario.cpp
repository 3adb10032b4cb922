// The connections that are open between the instances and the store go silent for good, without a reset, while new ones
// work. Some seconds later, when the machines count as in touch again, a replica starts to drain, and then the operator
// moves the route to another service. Shows which requests still go where they may no longer go.
//
// Arguments: folder for settings and logs, path of the record, 1 or 0 for with or without the silence.

#include "../standin/proxy.h"
#include "../standin/world.h"

#include <iostream>

namespace {

using namespace review;

constexpr int kInstances = 6;
constexpr int kRounds = 3;
constexpr int kDeadlineMs = 2'000;
/// Bounds of the installation, in seconds.
constexpr double kStableWindow = 4;
constexpr double kConfigApply = 3;
constexpr double kDrain = 3;

const std::vector<std::string> kServices{ "fiwu23c", "nyka74d" };

nlohmann::json
Configuration(uint64_t aVersion, const std::string& aService)
{
  nlohmann::json services = nlohmann::json::array();
  for (const std::string& service : kServices) {
    services.push_back({ { "name", service }, { "healthPath", "/healthcheck" }, { "maxConns", 100 } });
  }
  return { { "version", aVersion },
           { "routes",
             { { { "name", "r-fetch" },
                 { "host", kHost },
                 { "pathPrefix", "/timi402/" },
                 { "routeType", "idempotent" },
                 { "timeoutMs", kDeadlineMs },
                 { "targetLatencyMs", 400 },
                 { "attempts", 2 },
                 { "priority", 2 },
                 { "service", aService } } } },
           { "services", services },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 262144 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

/// What clients may expect at the moment: the route's service and when it was confirmed, and the replica that drains.
struct Expectation
{
  std::mutex mutex_;
  std::string service_ = kServices[0];
  double confirmedAt_ = 0;
  std::string drainingReplica_;
  double drainingAt_ = 0;
};

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
    store_.Put("config", "main", Configuration(7, kServices[0]));
    for (int i = 0; i < 8; i++) {
      replicas_.push_back(std::make_unique<Replica>(Replica::Settings{ "i-7f3a91c" + std::to_string(i),
                                                                       kServices[i / 4],
                                                                       i % 2 == 0 ? "lhr-a" : "lhr-b",
                                                                       { LoopbackIp(100 + i), 8080 },
                                                                       0.02 },
                                                    store_,
                                                    record_));
    }
    for (int i = 0; i < kInstances; i++) {
      const Address proxy{ LoopbackIp(40 + i), 8102 };
      proxies_.push_back(std::make_unique<Proxy>(proxy, store_.At()));
      proxies_.back()->WatchFor("GET /-/objects/ibisrock-relays?allowStale=1 ");
      const std::string zone = std::vector<std::string>{ "lhr-a", "lhr-b", "isb-a" }[i % 3];
      instances_.push_back(std::make_unique<Instance>(
        InstanceSettings{ "front-" + zone + "-" + std::to_string(1 + i / 3), zone, LoopbackIp(10 + i), proxy },
        folder_));
      instances_.back()->Start();
    }
    if (!WaitUntilReady(instances_, 20)) {
      record_.Line("the instances were not ready in time");
      return kCouldNotRun;
    }
    std::vector<std::thread> clients;
    clients.reserve(kInstances);
    for (int i = 0; i < kInstances; i++) {
      clients.emplace_back([this, i] { SendRequests(*instances_[i]); });
    }
    SleepFor(8);
    for (int i = 0; i < kRounds; i++) {
      PlayRound(i);
    }
    ended_ = true;
    for (std::thread& client : clients) {
      client.join();
    }
    instances_.clear();
    record_.Line(std::to_string(successes_) + " successes, " + std::to_string(stale_) +
                 " run by the old service later than configApplyMs after the confirmation, " +
                 std::to_string(drained_) + " at a replica later than drainMs after it reported draining");
    if (stale_ > 0 || drained_ > 0) {
      return kBroken;
    }
    return successes_ > 0 ? kHeld : kCouldNotRun;
  }

private:
  /// An instance at the store lists the relays every 5 s. Waits for the last of these seconds.
  static void WaitForMoment(const Proxy& aProxy)
  {
    constexpr double kAfterList = 4.5;
    constexpr double kLongestWait = 10;
    const double before = aProxy.LastSeen();
    const double end = Now() + kLongestWait;
    while (aProxy.LastSeen() == before && Now() < end) {
      SleepFor(0.01);
    }
    SleepFor(aProxy.LastSeen() + kAfterList - Now());
  }

  void PlayRound(int aRound)
  {
    WaitForMoment(*proxies_[aRound]);
    if (hasTrouble_) {
      for (const auto& proxy : proxies_) {
        const int count = proxy->SilenceOpenConnections();
        record_.Line(std::to_string(count) + " open connections of an instance to the store go silent");
      }
    }
    SleepFor(kStableWindow + 1);
    Replica& leaving = *replicas_[4 * (aRound % 2) + aRound];
    leaving.Register("draining");
    {
      const std::lock_guard lock(expected_.mutex_);
      expected_.drainingReplica_ = leaving.Config().id_;
      expected_.drainingAt_ = Now();
    }
    record_.Line("the store confirms that " + leaving.Config().id_ + " is draining");
    SleepFor(1);
    const std::string& service = kServices[(aRound + 1) % 2];
    store_.Put("config", "main", Configuration(9 + 3 * aRound, service));
    {
      const std::lock_guard lock(expected_.mutex_);
      expected_.service_ = service;
      expected_.confirmedAt_ = Now();
    }
    record_.Line("the store confirms the version that moves the route to " + service);
    SleepFor(kConfigApply);
    NoteRelays(leaving.Config().id_);
    SleepFor(3);
    {
      const std::lock_guard lock(expected_.mutex_);
      expected_.drainingReplica_.clear();
    }
    leaving.Register("ready");
    record_.Line(leaving.Config().id_ + " is ready again");
    // Long enough for any wait of the system to end.
    SleepFor(aRound + 1 < kRounds ? 12 : 0);
  }

  /// Notes what the instances tell others of the replica that drains. The result does not depend on it.
  void NoteRelays(const std::string& aDraining)
  {
    constexpr uint16_t kPeerPort = 7380;
    for (const auto& instance : instances_) {
      const Address peer{ instance->Front().ip_, kPeerPort };
      const auto state = Call(peer, "GET /-/relay HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n", 1);
      const auto list = Call(peer, "GET /-/objects/servers HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n", 1);
      if (!state || !list) {
        continue;
      }
      for (const auto& item : nlohmann::json::parse(list->body_, nullptr, false).value("items", nlohmann::json())) {
        if (item["meta"]["name"] == aDraining) {
          record_.Line(instance->Name() + " tells other instances: current " +
                       nlohmann::json::parse(state->body_)["current"].dump() + ", " + aDraining + " is " +
                       item["spec"]["state"].dump());
        }
      }
    }
  }

  void SendRequests(const Instance& aInstance)
  {
    constexpr double kPeriod = 0.1;
    int number = 0;
    while (!ended_) {
      SendOne(aInstance, "9c41d07b-" + aInstance.Name() + "-" + std::to_string(++number));
      SleepFor(kPeriod);
    }
  }

  void SendOne(const Instance& aInstance, const std::string& aId)
  {
    const double sentAt = Now();
    std::string service;
    double confirmedAt = 0;
    std::string draining;
    double drainingAt = 0;
    {
      const std::lock_guard lock(expected_.mutex_);
      service = expected_.service_;
      confirmedAt = expected_.confirmedAt_;
      draining = expected_.drainingReplica_;
      drainingAt = expected_.drainingAt_;
    }
    const auto answer = Call(aInstance.Front(), FormatRequest("GET", "/timi402/2f", aId, kDeadlineMs), 3);
    if (!answer || answer->Status() != 200) {
      record_.Line("client gets " + (answer ? std::to_string(answer->Status()) : "no answer") + " to " + aId);
      return;
    }
    successes_++;
    const std::string stamp = answer->Field("Server-Stamp");
    for (const auto& replica : replicas_) {
      if (stamp != replica->Stamp(aId)) {
        continue;
      }
      const bool isStale = replica->Config().service_ != service && sentAt > confirmedAt + kConfigApply;
      const bool isDrained = replica->Config().id_ == draining && sentAt > drainingAt + kDrain;
      stale_ += isStale ? 1 : 0;
      drained_ += isDrained ? 1 : 0;
      record_.Line(
        "client gets 200 to " + aId + " from " + replica->Config().id_ + " of " + replica->Config().service_ +
        (isStale ? ": OLD SERVICE, " + std::to_string(sentAt - confirmedAt) + " s after the confirmation" : "") +
        (isDrained ? ": DRAINING for " + std::to_string(sentAt - drainingAt) + " s" : ""));
    }
  }

  const std::string folder_;
  Record& record_;
  const bool hasTrouble_;
  Store store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::vector<std::unique_ptr<Instance>> instances_;
  Expectation expected_;
  std::atomic<bool> ended_ = false;
  std::atomic<int> successes_ = 0;
  std::atomic<int> stale_ = 0;
  std::atomic<int> drained_ = 0;
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
