// A replica answers a long request before it has read all of it. Its answer has no length, and the replica crashes in
// the midst of it, so that the connection is reset. Shows what the client gets.
//
// Arguments: folder for settings and logs, path of the record, 1 or 0 for with or without the crash.

#include "../standin/world.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace review;

constexpr int kClients = 6;
constexpr int kRequestsOfClient = 20;
constexpr size_t kRequestBody = 260'000;
constexpr size_t kAnswerBody = 6'000;
constexpr int kDeadlineMs = 4'000;
constexpr int kCrashes = 3;
/// A crashed replica is back after this time, in seconds.
constexpr double kDown = 1;

/// The whole body with which a replica answers a request.
std::string
WholeBody(const Replica& aReplica, const std::string& aId)
{
  std::string body;
  while (body.size() < kAnswerBody) {
    body += aReplica.Config().id_ + " answers " + aId + " at " + std::to_string(body.size()) + "\n";
  }
  return body;
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
                 { "service", "fiwu23c" } } } },
           { "services", { { { "name", "fiwu23c" }, { "healthPath", "/healthcheck" }, { "maxConns", 100 } } } },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 262144 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

/// Answers early and without a length. While aCrashesLeft is above 0, the process ends in the midst of the answer.
void
AnswerEarly(Replica& aReplica,
            Connection& aConnection,
            const Message& aRequest,
            std::atomic<int>& aCrashesLeft,
            Record& aRecord)
{
  const std::string id = aRequest.Field("Request-Id");
  const std::string body = WholeBody(aReplica, id);
  aConnection.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + aReplica.Stamp(id) +
                   "\r\nConnection: close\r\n\r\n" + body.substr(0, body.size() / 2));
  SleepFor(0.05);
  if (aCrashesLeft-- > 0) {
    aRecord.Line("replica " + aReplica.Config().id_ + " crashes after half of its answer to " + id);
    aReplica.Crash();
    SleepFor(kDown);
    aReplica.Restart();
    return;
  }
  aConnection.Send(body.substr(body.size() / 2));
  Message rest = aRequest;
  aConnection.ReadBody(rest, false);
  aConnection.ShutDown();
}

Result
Run(const std::string& aFolder, Record& aRecord, bool aHasTrouble)
{
  Store store({ LoopbackIp(1), 8102 });
  store.Put("config", "main", Configuration());
  std::atomic<int> crashesLeft = aHasTrouble ? kCrashes : 0;
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < 4; i++) {
    const std::string name = "i-7f3a91c" + std::to_string(i);
    replicas.push_back(std::make_unique<Replica>(
      Replica::Settings{ name, "fiwu23c", "lhr-a", { LoopbackIp(100 + i), 8080 }, 0.03 }, store, aRecord));
    replicas.back()->SetAnswer(
      [&, isFaulty = i == 0](Replica& aReplica, Connection& aConnection, const Message& aRequest) {
        if (isFaulty) {
          AnswerEarly(aReplica, aConnection, aRequest, crashesLeft, aRecord);
          return;
        }
        Message request = aRequest;
        if (aConnection.ReadBody(request, false)) {
          const std::string id = request.Field("Request-Id");
          aConnection.Send(FormatResponse(
            200, { { "Request-Id", id }, { "Server-Stamp", aReplica.Stamp(id) } }, WholeBody(aReplica, id)));
        }
      });
  }
  std::vector<std::unique_ptr<Instance>> instances;
  instances.push_back(
    std::make_unique<Instance>(InstanceSettings{ "front-lhr-a-1", "lhr-a", LoopbackIp(10), store.At() }, aFolder));
  instances.front()->Start();
  if (!WaitUntilReady(instances, 20)) {
    aRecord.Line("the instance was not ready in time");
    return kCouldNotRun;
  }
  const std::string requestBody(kRequestBody, 'q');
  std::atomic<int> successes = 0;
  std::atomic<int> wrong = 0;
  auto send = [&](int aNumber) {
    const std::string id = "9c41d07be2a3" + std::to_string(1000 + aNumber);
    aRecord.Line("client sends POST /timi402/2f id " + id);
    const auto answer =
      Call(instances.front()->Front(), FormatRequest("POST", "/timi402/2f", id, kDeadlineMs, requestBody), 6);
    if (!answer) {
      aRecord.Line("client gets no answer to " + id);
      return;
    }
    const std::string stamp = answer->Field("Server-Stamp");
    const bool isWhole = std::any_of(replicas.begin(), replicas.end(), [&](const auto& aReplica) {
      return stamp == aReplica->Stamp(id) && answer->body_ == WholeBody(*aReplica, id);
    });
    const bool isSuccess = answer->Status() / 100 == 2;
    successes += isSuccess ? 1 : 0;
    wrong += isSuccess && !isWhole ? 1 : 0;
    aRecord.Line("client gets " + std::to_string(answer->Status()) + " to " + id + ", Server-Stamp " + stamp +
                 ", Content-Length " + answer->Field("Content-Length") + ", body of " +
                 std::to_string(answer->body_.size()) + " bytes" + (isSuccess && !isWhole ? ": NOT WHOLE" : ""));
  };
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; i++) {
    clients.emplace_back([&, i] {
      for (int j = 0; j < kRequestsOfClient; j++) {
        send(i * kRequestsOfClient + j);
        SleepFor(0.1);
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  instances.clear();
  aRecord.Line(std::to_string(successes) + " successes, " + std::to_string(wrong) +
               " of them without the whole body of the replica");
  if (wrong > 0) {
    Exit(kBroken);
  }
  Exit(successes > kClients * kRequestsOfClient / 2 ? kHeld : kCouldNotRun);
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
