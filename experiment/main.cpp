#include "experiment/report.h"
#include "experiment/shapes.h"
#include "experiment/trial.h"

#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <vector>

namespace {

using namespace ibisrock;
using namespace ibisrock::experiment;

constexpr const char* kUsage = R"(ibisrock-experiment: load and fault trials of the library on a manual clock.

Usage:
  ibisrock-experiment [--shape NAME] [--scenario NAME]... [--seconds N] [--seed N] [--load SHARE] [--no-naive]
                      [--hedge-quantile Q]                      [--json] [--show-violations]
  ibisrock-experiment --list
  ibisrock-experiment --help

Options:
  --shape NAME         Service of the users' deployments [default: pk-north/dockdesk].
  --scenario NAME      Faults to bring about; all of them when none is named.
  --seconds N          Length of the load on the manual clock [default: 30].
  --seed N             Seed of all random numbers [default: 1].
  --load SHARE         Share of the shape's capacity that is offered; each scenario has its own default.
  --hedge-quantile Q   Latency quantile after which the current variant hedges.
  --no-naive           Runs the current variant only.
  --json               Prints JSON in place of a table.
  --show-violations    Prints each breach of a promise.
  --list               Lists shapes and scenarios.

Exit codes: 0 no promise was broken by the current variant, 1 one was, 2 wrong usage.
)";

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;

using Arguments = std::map<std::string, docopt::value>;

void
PrintLists()
{
  for (const NamedShape& shape : AllShapes()) {
    std::cout << "shape     " << shape.name_ << "\n";
  }
  for (const Scenario& scenario : AllScenarios()) {
    std::cout << "scenario  " << scenario.name_ << ": " << scenario.text_ << "\n";
  }
}

/// Finds the named scenarios, or all. Returns an empty list when a name is unknown.
std::vector<const Scenario*>
SelectScenarios(const std::vector<std::string>& aNames)
{
  std::vector<const Scenario*> selected;
  for (const std::string& name : aNames) {
    const Scenario* scenario = FindScenario(name);
    if (scenario == nullptr) {
      std::cerr << "ibisrock-experiment: unknown scenario \"" << name << "\"\n";
      return {};
    }
    selected.push_back(scenario);
  }
  if (aNames.empty()) {
    for (const Scenario& scenario : AllScenarios()) {
      selected.push_back(&scenario);
    }
  }
  return selected;
}

TrialSettings
MakeSettings(const Arguments& aArguments, const NamedShape& aShape, const Scenario& aScenario, bool aNaive)
{
  TrialSettings settings;
  settings.shape_ = aShape.shape_;
  settings.shape_.tuning_.hedges_ = !aNaive;
  settings.shape_.tuning_.randomReplica_ = aNaive;
  if (aArguments.at("--hedge-quantile")) {
    settings.shape_.tuning_.hedgeQuantile_ = std::stod(aArguments.at("--hedge-quantile").asString());
  }
  settings.scenario_ = &aScenario;
  settings.load_ = aArguments.at("--load") ? std::stod(aArguments.at("--load").asString()) : aScenario.load_;
  settings.duration_ = Seconds(aArguments.at("--seconds").asLong());
  settings.seed_ = static_cast<uint64_t>(aArguments.at("--seed").asLong());
  return settings;
}

int
Run(const Arguments& aArguments)
{
  const NamedShape* shape = FindShape(aArguments.at("--shape").asString());
  if (shape == nullptr) {
    std::cerr << "ibisrock-experiment: unknown shape \"" << aArguments.at("--shape").asString() << "\"\n";
    return kExitUsage;
  }
  const std::vector<const Scenario*> scenarios = SelectScenarios(aArguments.at("--scenario").asStringList());
  if (scenarios.empty()) {
    return kExitUsage;
  }
  const bool json = aArguments.at("--json").asBool();
  std::vector<ReportRow> rows;
  bool broken = false;
  if (!json) {
    std::cout << TableHeader() << std::endl;
  }
  for (const Scenario* scenario : scenarios) {
    for (const bool naive : { true, false }) {
      if (naive && aArguments.at("--no-naive").asBool()) {
        continue;
      }
      Trial trial(MakeSettings(aArguments, *shape, *scenario, naive));
      rows.push_back({ shape->name_, scenario->name_, naive ? "naive" : "current", trial.Run() });
      const ReportRow& row = rows.back();
      broken = broken || (!naive && !row.result_.violations_.empty());
      if (!json) {
        std::cout << TableRow(row) << std::endl;
      }
      if (aArguments.at("--show-violations").asBool()) {
        for (const history::Violation& violation : row.result_.violations_) {
          std::cerr << violation.promise_ << ": " << violation.text_ << "\n";
        }
      }
    }
  }
  if (json) {
    std::cout << EncodeReport(rows) << "\n";
  }
  return broken ? kExitViolation : 0;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  const Arguments arguments = docopt::docopt(kUsage, { aArgv + 1, aArgv + aArgc }, true);
  if (arguments.at("--list").asBool()) {
    PrintLists();
    return 0;
  }
  return Run(arguments);
}
