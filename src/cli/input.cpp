#include "cli/input.h"

#include "version/sheet_checks.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace ibisrock::cli {

namespace {

bool
CheckAddress(const CommandCall& aCall, const char* aOption, const std::string& aAddress)
{
  if (IsIpAndPort(aAddress)) {
    return true;
  }
  aCall.err_ << "ibisrock: " << aOption << ": \"" << aAddress
             << "\" is not an IPv4 address with a port from 1 to 65535, such as 127.0.0.1:8080\n";
  return false;
}

} // namespace

std::optional<SheetFile>
ReadSheetFile(const CommandCall& aCall)
{
  const std::string path = aCall.arguments_.at("SHEET").asString();
  std::ifstream file(path);
  std::error_code ignored;
  // A directory can be opened as a stream, but reading from it gives an empty text.
  if (!file || std::filesystem::is_directory(path, ignored)) {
    aCall.err_ << "ibisrock: cannot read " << path << "\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  SheetFile sheet;
  sheet.sheet_ = ParseSheet(text.str(), sheet.faults_);
  return sheet;
}

void
WriteFaults(const CommandCall& aCall, const std::vector<SheetFault>& aFaults)
{
  for (const SheetFault& fault : aFaults) {
    aCall.err_ << aCall.arguments_.at("SHEET").asString() << ":" << fault.line_ << ":" << fault.column_ << ": "
               << fault.text_ << "\n";
  }
}

std::string
OptionText(const CommandCall& aCall, const char* aOption)
{
  const docopt::value& value = aCall.arguments_.at(aOption);
  return value ? value.asString() : std::string();
}

std::optional<std::string>
ReadAddress(const CommandCall& aCall, const char* aOption)
{
  std::string address = OptionText(aCall, aOption);
  if (!CheckAddress(aCall, aOption, address)) {
    return std::nullopt;
  }
  return address;
}

std::optional<std::vector<std::string>>
ReadAddresses(const CommandCall& aCall, const char* aOption)
{
  std::vector<std::string> addresses;
  std::istringstream list(OptionText(aCall, aOption) + ",");
  for (std::string address; std::getline(list, address, ',');) {
    if (!CheckAddress(aCall, aOption, address)) {
      return std::nullopt;
    }
    addresses.push_back(address);
  }
  return addresses;
}

} // namespace ibisrock::cli
