#include "adapters/http_caller.h"
#include "adapters/http_object_store.h"
#include "base/timer_service.h"
#include "version/apply.h"
#include "version/sheet.h"
#include "version/sheet_checks.h"

#include <docopt/docopt.h>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <random>
#include <sstream>

namespace {

using namespace ibisrock;

constexpr const char* kUsage = R"(ibisrock: tool for operators of the query tier.

Usage:
  ibisrock check SHEET
  ibisrock apply SHEET --platform IP:PORT [--base VERSION]
  ibisrock dump --instance IP:PORT
  ibisrock query SERVICE BODY --instance IP:PORT
  ibisrock --help
  ibisrock --version

Options:
  --platform IP:PORT   Address of the platform's object API.
  --base VERSION       Version in force that the sheet replaces, instead of the one that the sheet names.
  --instance IP:PORT   Address for callers of an instance.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage.
)";

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

using Arguments = std::map<std::string, docopt::value>;

std::optional<Sheet>
ReadSheet(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << "ibisrock: cannot read " << aPath << "\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  std::vector<SheetFault> faults;
  auto sheet = ParseSheet(text.str(), faults);
  for (const SheetFault& fault : faults) {
    std::cerr << aPath << ":" << fault.line_ << ":" << fault.column_ << ": " << fault.text_ << "\n";
  }
  return sheet;
}

int
Check(const Arguments& aArguments)
{
  return ReadSheet(aArguments.at("SHEET").asString()) ? 0 : kExitFailure;
}

std::string
NewApplyId()
{
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device());
}

int
Apply(const Arguments& aArguments)
{
  auto sheet = ReadSheet(aArguments.at("SHEET").asString());
  if (!sheet) {
    return kExitFailure;
  }
  ApplyOptions options{ NewApplyId(), {} };
  if (const docopt::value& base = aArguments.at("--base")) {
    auto version = ParseNumber(base.asString(), 0, kMaxVersion);
    if (!version) {
      std::cerr << "ibisrock: --base " << base.asString() << " is not a version\n";
      return kExitUsage;
    }
    options.base_ = ConfigVersion(*version);
  }
  const auto timers = SteadyTimerService::Create();
  adapters::HttpObjectStore store(aArguments.at("--platform").asString());
  std::promise<ApplyResult> promise;
  ApplySheet(
    store, *timers, *sheet, options, [&promise](ApplyResult aResult) { promise.set_value(std::move(aResult)); });
  const ApplyResult result = promise.get_future().get();
  std::cout << "version " << result.version_ << ": " << result.text_ << "\n";
  const bool done = result.outcome_ == ApplyOutcome::Accepted || result.outcome_ == ApplyOutcome::Unchanged;
  return done ? 0 : kExitFailure;
}

int
CallInstance(const adapters::HttpCall& aCall)
{
  adapters::HttpCaller caller;
  const adapters::HttpOutcome outcome = caller.Call(aCall);
  if (outcome.verdict_ != Verdict::Ran) {
    std::cerr << "ibisrock: " << aCall.address_ << ": " << outcome.error_ << "\n";
    return kExitFailure;
  }
  std::cout << outcome.body_;
  return outcome.status_ == 200 ? 0 : kExitFailure;
}

int
Dump(const Arguments& aArguments)
{
  adapters::HttpCall call;
  call.address_ = aArguments.at("--instance").asString();
  call.url_ = "/debug/state";
  return CallInstance(call);
}

int
SendQuery(const Arguments& aArguments)
{
  adapters::HttpCall call;
  call.address_ = aArguments.at("--instance").asString();
  call.method_ = "POST";
  call.url_ = "/v1/query/" + aArguments.at("SERVICE").asString();
  call.body_ = aArguments.at("BODY").asString();
  return CallInstance(call);
}

struct Command
{
  const char* name_;
  int (*run_)(const Arguments&);
};

constexpr Command kCommands[] = { { "check", &Check },
                                  { "apply", &Apply },
                                  { "dump", &Dump },
                                  { "query", &SendQuery } };

} // namespace

int
main(int aArgc, char** aArgv)
{
  const Arguments arguments = docopt::docopt(kUsage, { aArgv + 1, aArgv + aArgc }, true, "ibisrock 0.1.0");
  for (const Command& command : kCommands) {
    if (arguments.at(command.name_).asBool()) {
      return command.run_(arguments);
    }
  }
  return kExitFailure;
}
