// Drives the decision logic with fixed seeds and prints a signature of all its decisions, equal on every machine. A
// change that should not alter behaviour keeps the signature. The cost for each decision is printed to standard error.

#include "base/hashing.h"
#include "experiment/shapes.h"
#include "experiment/trial.h"

#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <string>

namespace {

using namespace ibisrock;
using namespace ibisrock::experiment;

constexpr uint64_t kSeed = 42;
constexpr Micros kDuration = Seconds(10);
constexpr const char* kShapeNames[] = { "pk-north/dockdesk", "kempen/bestelbalie" };

/// Adds up what the library decided in one trial.
class Signature
{
public:
  void Add(const std::string& aText) { value_ = HashBytes(aText, value_); }
  uint64_t Value() const { return value_; }

  void Add(const history::Submission& aSubmission)
  {
    for (const history::ReceivedAnswer& answer : aSubmission.answers_) {
      std::string text = ToString(answer.request_) + std::string(ToString(answer.verdict_)) +
                         std::string(ToString(answer.reason_)) + std::to_string(answer.version_.Value()) + "at" +
                         std::to_string(answer.at_.time_since_epoch().count());
      for (const ShardName& shard : answer.covered_) {
        text += "+" + shard.Value();
      }
      for (const ShardName& shard : answer.missing_) {
        text += "-" + shard.Value();
      }
      Add(text);
    }
  }

private:
  uint64_t value_ = 0;
};

struct Cost
{
  uint64_t decisions_ = 0;
  double seconds_ = 0;
};

uint64_t
RunTrial(const NamedShape& aShape, const Scenario& aScenario, Cost& aCost)
{
  TrialSettings settings;
  settings.shape_ = aShape.shape_;
  settings.scenario_ = &aScenario;
  settings.load_ = aScenario.load_;
  settings.duration_ = kDuration;
  settings.seed_ = kSeed;
  settings.evenArrivals_ = true;
  const auto start = std::chrono::steady_clock::now();
  Trial trial(settings);
  trial.Run();
  aCost.seconds_ += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  const history::History history = trial.Recorder().Take();
  Signature signature;
  for (const history::Submission& submission : history.submissions_) {
    signature.Add(submission);
  }
  for (const history::ExecutedAttempt& execution : history.executions_) {
    signature.Add(ToString(execution.attempt_) + execution.target_.Value());
  }
  aCost.decisions_ += history.executions_.size();
  return signature.Value();
}

} // namespace

int
main()
{
  Signature total;
  Cost cost;
  for (const char* name : kShapeNames) {
    for (const Scenario& scenario : AllScenarios()) {
      const uint64_t value = RunTrial(*FindShape(name), scenario, cost);
      std::printf("%-24s %-20s %016" PRIx64 "\n", name, scenario.name_, value);
      total.Add(std::to_string(value));
    }
  }
  std::printf("signature %016" PRIx64 "\n", total.Value());
  std::fprintf(stderr,
               "%" PRIu64 " attempts, %.2f us of processor time each, fakes included\n",
               cost.decisions_,
               1e6 * cost.seconds_ / static_cast<double>(cost.decisions_));
  return 0;
}
