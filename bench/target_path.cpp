#include "adapters/http_caller.h"
#include "adapters/http_server.h"
#include "connection/replica_dispatcher.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

namespace {

using namespace ibisrock;

constexpr const char* kAddress = "127.0.0.1:18971";
constexpr unsigned kWarmUp = 200;
constexpr unsigned kCalls = 3000;
constexpr uint32_t kAttempts = 500000;

/// Answers every attempt at once, so that only the cost of the dispatcher is measured.
class InstantTargets final : public TargetClient
{
public:
  void Start(const TargetAttempt& /*aAttempt*/, Callback aCallback) override
  {
    waiting_.push_back(std::move(aCallback));
  }
  void Cancel(const AttemptId& /*aId*/) override {}
  void Probe(const TargetName& /*aTarget*/, const TargetAddress& /*aAddress*/, Callback /*aCallback*/) override {}

  void EndOne()
  {
    TargetReply reply;
    reply.verdict_ = Verdict::Ran;
    reply.state_ = TargetState::Ready;
    Callback callback = std::move(waiting_.back());
    waiting_.pop_back();
    callback(std::move(reply));
  }

  std::vector<Callback> waiting_;
};

double
MicrosSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - aStart).count();
}

/// Prints the latency of calls to a server on loopback that does no work.
void
MeasureCalls(const char* aName, bool aFresh)
{
  adapters::HttpCaller caller;
  adapters::HttpCall call;
  call.address_ = kAddress;
  call.method_ = "POST";
  call.url_ = "/search/dockdesk/0";
  call.body_ = "paddler 7";
  call.freshConnection_ = aFresh;
  std::vector<double> latencies;
  unsigned failed = 0;
  for (unsigned index = 0; index < kWarmUp + kCalls; index++) {
    const auto start = std::chrono::steady_clock::now();
    failed += caller.Call(call).verdict_ == Verdict::Ran ? 0 : 1;
    if (index >= kWarmUp) {
      latencies.push_back(MicrosSince(start));
    }
  }
  std::sort(latencies.begin(), latencies.end());
  std::printf("%s connection: p50 %.0f us, p99 %.0f us, %u of %u failed\n",
              aName,
              latencies[kCalls / 2],
              latencies[kCalls * 99 / 100],
              failed,
              kWarmUp + kCalls);
}

/// Prints the cost of one attempt with aQueued others in the queue.
void
MeasureDispatch(uint32_t aQueued)
{
  ManualTimerService timers;
  InstantTargets targets;
  TargetConfig target;
  target.slots_ = 2;
  target.connections_ = 25;
  auto dispatcher = ReplicaDispatcher::Create(target, timers, targets, nullptr);
  wire::SubRequest request;
  request.body_ = "paddler 7";
  request.budget_ = Seconds(1);
  uint64_t ran = 0;
  const auto submit = [&] {
    request.id_.number_++;
    request.caller_ = request.id_.number_ % 2 == 0 ? CallerName("even") : CallerName("odd");
    dispatcher->Submit(request,
                       [&ran](const wire::SubReply& aReply) { ran += aReply.reply_.verdict_ == Verdict::Ran ? 1 : 0; });
  };
  for (uint32_t index = 0; index < aQueued; index++) {
    submit();
  }
  const auto start = std::chrono::steady_clock::now();
  for (uint32_t index = 0; index < kAttempts; index++) {
    submit();
    targets.EndOne();
  }
  const double micros = MicrosSince(start);
  std::printf("dispatch with %u others: %.0f ns an attempt, %.0f attempts/s on one thread, %lu ran\n",
              aQueued,
              micros * 1000 / kAttempts,
              kAttempts / micros * 1e6,
              static_cast<unsigned long>(ran));
}

} // namespace

/// Measures the part of an attempt between the owner of a replica and the target.
int
main()
{
  LastReason reason;
  auto server = adapters::HttpServer::Create(
    { kAddress }, [](const adapters::HttpRequest&) { return adapters::HttpReply(); }, reason);
  if (!server) {
    std::fprintf(stderr, "%s\n", reason.Text().c_str());
    return 1;
  }
  for (unsigned round = 0; round < 3; round++) {
    MeasureCalls("kept", false);
    MeasureCalls("fresh", true);
  }
  for (uint32_t queued : { 0U, 2U, 32U }) {
    MeasureDispatch(queued);
  }
  return 0;
}
