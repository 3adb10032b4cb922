// Measures the time from connect to reply when many callers connect at once to a responder that takes 20 ms.

#include "adapters/http_caller.h"
#include "adapters/http_server.h"

#include <algorithm>
#include <barrier>
#include <chrono>
#include <docopt/docopt.h>
#include <iostream>
#include <thread>

namespace {

using namespace ibisrock;

constexpr const char* kUsage = R"(connect_burst: callers that connect at once.

Usage:
  connect_burst [options]

Options:
  --listen IP:PORT  Address to use [default: 127.0.0.1:17900].
  --callers N       Callers that connect at once [default: 300].
  --rounds N        Bursts [default: 10].
  --min-threads N   Threads kept by the server [default: 5].
  --max-threads N   Most threads of the server [default: 200].
  --backlog N       Connections that may wait to be accepted [default: 1024].
)";

constexpr auto kWorkTime = std::chrono::milliseconds(20);

using Clock = std::chrono::steady_clock;

struct Sample
{
  double milliseconds_ = 0;
  bool answered_ = false;
};

Sample
CallOnce(const std::string& aAddress)
{
  adapters::HttpCaller caller;
  adapters::HttpCall call;
  call.address_ = aAddress;
  call.url_ = "/work";
  call.timeout_ = Seconds(20);
  call.freshConnection_ = true;
  const auto start = Clock::now();
  const adapters::HttpOutcome outcome = caller.Call(call);
  const std::chrono::duration<double, std::milli> taken = Clock::now() - start;
  return { taken.count(), outcome.verdict_ == Verdict::Ran && outcome.status_ == 200 };
}

/// Runs the bursts; all callers of a burst start together.
std::vector<Sample>
RunBursts(const std::string& aAddress, unsigned aCallers, unsigned aRounds)
{
  std::vector<Sample> samples(static_cast<size_t>(aCallers) * aRounds);
  std::barrier together(aCallers);
  std::vector<std::jthread> threads;
  for (unsigned caller = 0; caller < aCallers; caller++) {
    threads.emplace_back([&, caller] {
      for (unsigned round = 0; round < aRounds; round++) {
        together.arrive_and_wait();
        samples[static_cast<size_t>(round) * aCallers + caller] = CallOnce(aAddress);
      }
    });
  }
  threads.clear();
  return samples;
}

void
Print(std::vector<Sample> aSamples)
{
  const auto failed =
    std::count_if(aSamples.begin(), aSamples.end(), [](const Sample& aSample) { return !aSample.answered_; });
  std::sort(aSamples.begin(), aSamples.end(), [](const Sample& aFirst, const Sample& aSecond) {
    return aFirst.milliseconds_ < aSecond.milliseconds_;
  });
  const auto quantile = [&](double aShare) {
    return aSamples[static_cast<size_t>(aShare * static_cast<double>(aSamples.size() - 1))].milliseconds_;
  };
  std::cout << "calls " << aSamples.size() << ", failed " << failed << ", p50 " << quantile(0.5) << " ms, p99 "
            << quantile(0.99) << " ms, max " << quantile(1) << " ms\n";
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  auto arguments = docopt::docopt(kUsage, { aArgv + 1, aArgv + aArgc }, true);
  const auto number = [&](const char* aFlag) { return static_cast<unsigned>(arguments.at(aFlag).asLong()); };
  adapters::HttpServerSettings settings;
  settings.address_ = arguments.at("--listen").asString();
  settings.minThreads_ = number("--min-threads");
  settings.maxThreads_ = number("--max-threads");
  settings.backlog_ = number("--backlog");
  LastReason reason;
  auto server = adapters::HttpServer::Create(
    settings,
    [](const adapters::HttpRequest&) {
      std::this_thread::sleep_for(kWorkTime);
      return adapters::HttpReply{ 200, "text/plain", {}, "done\n" };
    },
    reason);
  if (!server) {
    std::cerr << "connect_burst: " << reason.Text() << "\n";
    return 1;
  }
  Print(RunBursts(settings.address_, number("--callers"), number("--rounds")));
  return 0;
}
