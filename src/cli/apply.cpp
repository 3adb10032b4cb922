#include "version/apply.h"
#include "adapters/http_object_store.h"
#include "base/timer_service.h"
#include "cli/command.h"
#include "cli/input.h"
#include "cli/sheet_difference.h"
#include "cli/store_head.h"
#include "version/sheet_checks.h"

#include <future>
#include <nlohmann/json.hpp>
#include <random>

namespace ibisrock::cli {

namespace {

struct OutcomeText
{
  const char* name_;
  ExitCode code_;
};

/// In the order of ApplyOutcome.
constexpr OutcomeText kOutcomes[] = { { "accepted", ExitCode::Done },
                                      { "unchanged", ExitCode::Done },
                                      { "conflict", ExitCode::Conflict },
                                      { "failed", ExitCode::Failed },
                                      { "unknown", ExitCode::Unknown } };

std::string
NewApplyId()
{
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device());
}

/// Reads --base into aBase, which stays without value when the option is absent.
bool
ReadBase(const CommandCall& aCall, std::optional<ConfigVersion>& aBase)
{
  const docopt::value& text = aCall.arguments_.at("--base");
  if (!text) {
    return true;
  }
  auto version = ParseNumber(text.asString(), 0, kMaxVersion);
  if (!version) {
    aCall.err_ << "ibisrock: --base: \"" << text.asString() << "\" is not a version\n";
    return false;
  }
  aBase = ConfigVersion(*version);
  return true;
}

bool
WantsJson(const CommandCall& aCall)
{
  return aCall.arguments_.at("--json").asBool();
}

ExitCode
Apply(const CommandCall& aCall, const Sheet& aSheet, const std::string& aPlatform, std::optional<ConfigVersion> aBase)
{
  std::promise<ApplyResult> promise;
  const auto timers = SteadyTimerService::Create();
  adapters::HttpObjectStore store(aPlatform);
  ApplySheet(store, *timers, aSheet, { NewApplyId(), aBase }, [&promise](ApplyResult aResult) {
    promise.set_value(std::move(aResult));
  });
  const ApplyResult result = promise.get_future().get();
  const OutcomeText& outcome = kOutcomes[static_cast<size_t>(result.outcome_)];
  if (WantsJson(aCall)) {
    std::vector<std::string> differing;
    for (const ServiceName& service : result.differing_) {
      differing.push_back(service.Value());
    }
    aCall.out_ << nlohmann::json{
      { "outcome", outcome.name_ },
      { "version", result.version_.Value() },
      { "differing", differing },
      { "text", result.text_ }
    }.dump(2) << "\n";
  } else {
    std::ostream& stream = outcome.code_ == ExitCode::Done ? aCall.out_ : aCall.err_;
    const std::string explanation = result.text_ == outcome.name_ ? "" : ": " + result.text_;
    stream << "version " << result.version_.Value() << ": " << outcome.name_ << explanation << "\n";
  }
  return outcome.code_;
}

void
WriteNames(std::ostream& aOut, const char* aTitle, const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    aOut << aTitle << " " << name << "\n";
  }
}

void
WriteDifference(const CommandCall& aCall, const char* aOutcome, uint64_t aVersion, const SheetDifference& aDifference)
{
  if (WantsJson(aCall)) {
    aCall.out_ << nlohmann::json{
      { "outcome", aOutcome },
      { "version", aVersion },
      { "added", aDifference.added_ },
      { "changed", aDifference.changed_ },
      { "removed", aDifference.removed_ }
    }.dump(2) << "\n";
    return;
  }
  aCall.out_ << "dry run, outcome of apply: " << aOutcome << "; version " << aVersion << " is in force\n";
  WriteNames(aCall.out_, "added", aDifference.added_);
  WriteNames(aCall.out_, "changed", aDifference.changed_);
  WriteNames(aCall.out_, "removed", aDifference.removed_);
}

/// Tells what apply would do, by the same order of checks: an equal sheet first, then the base version.
ExitCode
DryRun(const CommandCall& aCall, const Sheet& aSheet, const std::string& aPlatform, std::optional<ConfigVersion> aBase)
{
  LastReason reason;
  auto head = ReadHead(aPlatform, reason);
  if (!head) {
    aCall.err_ << "ibisrock: " << reason.Text() << "\n";
    return ExitCode::Failed;
  }
  if (!aBase && !aSheet.base_.IsNone()) {
    aBase = aSheet.base_;
  }
  const SheetDifference difference = CompareSheet(*head, aSheet);
  const uint64_t version = head->version_.Value();
  if (difference.IsEmpty()) {
    WriteDifference(aCall, "unchanged", version, difference);
    return ExitCode::Done;
  }
  if (aBase && head->version_ < *aBase) {
    WriteDifference(aCall, "failed", version, difference);
    aCall.err_ << "ibisrock: the base version " << aBase->Value() << " was not found in the store\n";
    return ExitCode::Failed;
  }
  const bool conflicts = aBase && *aBase < head->version_;
  WriteDifference(aCall, conflicts ? "conflict" : "accepted", version, difference);
  return conflicts ? ExitCode::Conflict : ExitCode::Done;
}

} // namespace

ExitCode
RunApply(const CommandCall& aCall)
{
  auto platform = ReadAddress(aCall, "--platform");
  std::optional<ConfigVersion> base;
  if (!platform || !ReadBase(aCall, base)) {
    return ExitCode::BadInput;
  }
  auto file = ReadSheetFile(aCall);
  if (!file || !file->sheet_) {
    WriteFaults(aCall, file ? file->faults_ : std::vector<SheetFault>());
    return ExitCode::BadInput;
  }
  const bool dryRun = aCall.arguments_.at("--dry-run").asBool();
  return (dryRun ? &DryRun : &Apply)(aCall, *file->sheet_, *platform, base);
}

} // namespace ibisrock::cli
