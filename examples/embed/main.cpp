// Runs two instances of the query tier in this process, without sockets or threads, and answers one query. The clock
// is manual, so that the whole run takes a fraction of a second and gives the same output each time.

#include "memory_platform.h"
#include "process/instance.h"
#include "version/apply.h"

#include <iostream>

namespace {

using namespace ibisrock;

constexpr uint64_t kSeed = 1;
constexpr Micros kStep = Millis(10);
constexpr Micros kLimit = Seconds(30);
constexpr const char* kSheet = "service,jetty,coverage,500,400,100,10,1\n"
                               "shard,jetty,s0\n"
                               "shard,jetty,s1\n"
                               "shard,jetty,s2\n"
                               "target,jetty,s0,t0,127.0.0.1:9000,north,2,8,1\n"
                               "target,jetty,s1,t1,127.0.0.1:9001,south,2,8,1\n"
                               "target,jetty,s2,t2,127.0.0.1:9002,north,2,8,1\n";

/// What both instances share.
struct Platform
{
  ManualTimerService timers_;
  Random random_{ kSeed };
  embed::MemoryTransport transport_{ timers_ };
  embed::MemoryTargets targets_{ timers_ };
  embed::MemoryStore store_{ timers_ };
  embed::MemoryInstanceList instances_;
};

using Instances = std::vector<std::unique_ptr<Instance>>;

/// Moves the clock until the condition holds. Returns false when it does not hold within the limit.
bool
RunUntil(ManualTimerService& aTimers, const std::function<bool()>& aCondition)
{
  for (Micros passed{}; passed < kLimit && !aCondition(); passed += kStep) {
    aTimers.Advance(kStep);
  }
  return aCondition();
}

bool
Apply(Platform& aPlatform)
{
  std::vector<SheetFault> faults;
  const auto sheet = ParseSheet(kSheet, faults);
  for (const SheetFault& fault : faults) {
    std::cerr << "line " << fault.line_ << ", column " << fault.column_ << ": " << fault.text_ << "\n";
  }
  std::optional<ApplyResult> result;
  if (sheet) {
    ApplySheet(aPlatform.store_, aPlatform.timers_, *sheet, { "embed-1", {} }, [&result](ApplyResult aResult) {
      result = std::move(aResult);
    });
  }
  return RunUntil(aPlatform.timers_, [&result] { return result.has_value(); }) &&
         result->outcome_ == ApplyOutcome::Accepted;
}

/// Starts an instance in each data centre and connects it to the transport.
bool
Launch(Platform& aPlatform, Instances& aInstances)
{
  for (const std::string name : { "north", "south" }) {
    const PeerAddress address(name + ":7000");
    aPlatform.instances_.Add({ InstanceId(name), address, DataCentre(name), false });
    LastReason reason;
    auto instance = Instance::Create({ InstanceId(name), address, DataCentre(name), Incarnation(1) },
                                     { aPlatform.timers_,
                                       aPlatform.random_,
                                       aPlatform.transport_,
                                       aPlatform.targets_,
                                       aPlatform.store_,
                                       aPlatform.instances_ },
                                     reason);
    if (!instance) {
      std::cerr << reason.Text() << "\n";
      return false;
    }
    Instance& made = *aInstances.emplace_back(std::move(*instance));
    aPlatform.transport_.Attach(address, [&made](std::string_view aBytes) { made.Receive(aBytes); });
  }
  for (auto& instance : aInstances) {
    instance->Start();
  }
  return RunUntil(aPlatform.timers_, [&aInstances] {
    LastReason reason;
    return aInstances[0]->IsReady(reason) && aInstances[1]->IsReady(reason);
  });
}

/// Submits one query and prints its answer. Returns false unless the answer covers every shard.
bool
Ask(Platform& aPlatform, Instance& aInstance)
{
  Query query;
  query.service_ = ServiceName("jetty");
  query.caller_ = CallerName("embed");
  query.body_ = "waiver 7";
  std::optional<Answer> answer;
  aInstance.Submit(query, [&answer](Answer aAnswer) { answer = std::move(aAnswer); });
  if (!RunUntil(aPlatform.timers_, [&answer] { return answer.has_value(); })) {
    return false;
  }
  std::cout << "verdict " << ToString(answer->verdict_) << ", index version " << answer->version_ << ", covered "
            << answer->covered_.size() << ", missing " << answer->missing_.size() << "\n";
  for (const Match& match : answer->matches_) {
    std::cout << match.id_ << ": " << match.text_ << "\n";
  }
  return answer->verdict_ == Verdict::Ran && answer->missing_.empty() && answer->covered_.size() == 3;
}

} // namespace

int
main()
{
  Platform platform;
  Instances instances;
  if (!Apply(platform) || !Launch(platform, instances)) {
    std::cerr << "the instances did not get ready\n";
    return 1;
  }
  return Ask(platform, *instances[0]) ? 0 : 1;
}
