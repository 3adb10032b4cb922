#include "cli/command.h"
#include "cli/input.h"

#include <nlohmann/json.hpp>

namespace ibisrock::cli {

namespace {

void
WriteJson(const CommandCall& aCall, const SheetFile& aFile)
{
  nlohmann::json faults = nlohmann::json::array();
  for (const SheetFault& fault : aFile.faults_) {
    faults.push_back({ { "line", fault.line_ }, { "column", fault.column_ }, { "text", fault.text_ } });
  }
  const size_t services = aFile.sheet_ ? aFile.sheet_->services_.size() : 0;
  const nlohmann::json json{ { "valid", aFile.sheet_.has_value() }, { "services", services }, { "faults", faults } };
  aCall.out_ << json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

} // namespace

ExitCode
RunCheck(const CommandCall& aCall)
{
  auto file = ReadSheetFile(aCall);
  if (!file) {
    return ExitCode::BadInput;
  }
  if (aCall.arguments_.at("--json").asBool()) {
    WriteJson(aCall, *file);
  } else if (file->sheet_) {
    aCall.out_ << "the sheet is valid; services: " << file->sheet_->services_.size() << "\n";
  } else {
    WriteFaults(aCall, file->faults_);
  }
  return file->sheet_ ? ExitCode::Done : ExitCode::BadInput;
}

} // namespace ibisrock::cli
