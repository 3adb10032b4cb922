#include "version/sheet.h"

#include "base/object_store.h"
#include "version/csv_rows.h"
#include "version/sheet_checks.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ibisrock {

namespace {

using Row = CsvRow;

/// Builds a Sheet row by row and collects all validation errors.
class SheetReader
{
public:
  explicit SheetReader(std::vector<SheetFault>& aFaults)
    : faults_(aFaults)
  {
  }

  void ReadRow(size_t aLine, const Row& aRow);
  void CheckSheet();
  Sheet TakeSheet() { return std::move(sheet_); }

private:
  struct RowKind
  {
    const char* name_;
    size_t columns_;
    void (SheetReader::*read_)(const Row&);
  };
  struct Range
  {
    uint64_t minimum_;
    uint64_t maximum_;
  };
  struct TargetDefinition
  {
    size_t line_;
    TargetConfig target_;
  };
  static const std::vector<RowKind> kRowKinds;

  void ReadSheet(const Row& aRow);
  void ReadService(const Row& aRow);
  void ReadCaller(const Row& aRow);
  void ReadShard(const Row& aRow);
  void ReadTarget(const Row& aRow);
  TargetConfig MakeTarget(const Row& aRow);
  void CheckConnectTime(const TargetConfig& aTarget, const ServiceConfig& aService);
  void CheckAcrossServices(const TargetConfig& aTarget);
  void CheckService(const ServiceConfig& aService);

  void AddFault(size_t aColumn, const std::string& aText) { faults_.push_back({ line_, aColumn, aText }); }
  uint64_t ReadNumber(const Row& aRow, size_t aIndex, const char* aName, Range aRange);
  const std::string& ReadName(const Row& aRow, size_t aIndex, const char* aKind);
  ServiceConfig* FindService(const Row& aRow);

  std::vector<SheetFault>& faults_;
  Sheet sheet_;
  bool hasSheetRow_ = false;
  size_t line_ = 0;
  std::map<ServiceName, size_t> serviceLines_;
  std::map<std::pair<ServiceName, ShardName>, size_t> shardLines_;
  std::map<TargetName, TargetDefinition> targets_;
  std::map<TargetAddress, TargetDefinition> addresses_;
};

const std::vector<SheetReader::RowKind> SheetReader::kRowKinds = {
  { "sheet", 3, &SheetReader::ReadSheet },   { "service", 8, &SheetReader::ReadService },
  { "caller", 4, &SheetReader::ReadCaller }, { "shard", 3, &SheetReader::ReadShard },
  { "target", 9, &SheetReader::ReadTarget },
};

void
SheetReader::ReadRow(size_t aLine, const Row& aRow)
{
  line_ = aLine;
  for (const RowKind& kind : kRowKinds) {
    if (aRow.front() != kind.name_) {
      continue;
    }
    if (aRow.size() != kind.columns_) {
      AddFault(0,
               std::string(kind.name_) + " row has " + std::to_string(aRow.size()) + " columns, expected " +
                 std::to_string(kind.columns_));
      return;
    }
    (this->*kind.read_)(aRow);
    return;
  }
  AddFault(1, "unknown row kind \"" + aRow.front() + "\"");
}

/// Parses a number. An invalid one is reported and replaced by the minimum, so that the other columns are still
/// checked.
uint64_t
SheetReader::ReadNumber(const Row& aRow, size_t aIndex, const char* aName, Range aRange)
{
  if (auto value = ParseNumber(aRow[aIndex], aRange.minimum_, aRange.maximum_)) {
    return *value;
  }
  AddFault(aIndex + 1,
           std::string(aName) + " \"" + aRow[aIndex] + "\" is not a whole number from " +
             std::to_string(aRange.minimum_) + " to " + std::to_string(aRange.maximum_));
  return aRange.minimum_;
}

const std::string&
SheetReader::ReadName(const Row& aRow, size_t aIndex, const char* aKind)
{
  if (auto fault = FindNameFault(aRow[aIndex])) {
    AddFault(aIndex + 1, std::string(aKind) + " name \"" + aRow[aIndex] + "\" " + *fault);
  }
  return aRow[aIndex];
}

ServiceConfig*
SheetReader::FindService(const Row& aRow)
{
  auto found = sheet_.services_.find(ServiceName(aRow[1]));
  if (found == sheet_.services_.end()) {
    AddFault(2, "service \"" + aRow[1] + "\" has no service row above this line");
    return nullptr;
  }
  return &found->second;
}

void
SheetReader::ReadSheet(const Row& aRow)
{
  if (std::exchange(hasSheetRow_, true)) {
    AddFault(1, "the sheet row is a duplicate");
  }
  sheet_.name_ = aRow[1];
  sheet_.base_ = ConfigVersion(ReadNumber(aRow, 2, "base version", { 0, kMaxVersion }));
}

void
SheetReader::ReadService(const Row& aRow)
{
  ServiceConfig service;
  service.name_ = ServiceName(ReadName(aRow, 1, "service"));
  if (aRow[2] != "latency" && aRow[2] != "coverage") {
    AddFault(3, "priority \"" + aRow[2] + "\" is neither latency nor coverage");
  }
  service.priority_ = aRow[2] == "coverage" ? Priority::Coverage : Priority::Latency;
  const size_t faultsBefore = faults_.size();
  service.deadline_ = Millis(ReadNumber(aRow, 3, "deadline in ms", { 1, kMaxMillis }));
  service.softDeadline_ = Millis(ReadNumber(aRow, 4, "soft deadline in ms", { 1, kMaxMillis }));
  if (faults_.size() == faultsBefore && service.softDeadline_ > service.deadline_) {
    AddFault(5, "soft deadline is above the deadline");
  }
  service.maxQueries_ = PerSecond{ static_cast<double>(ReadNumber(aRow, 5, "queries per second", { 1, kMaxRate })) };
  service.maxConcurrent_ = static_cast<uint32_t>(ReadNumber(aRow, 6, "concurrent queries", { 1, kMaxConcurrent }));
  service.shardMap_.version_ = IndexVersion(ReadNumber(aRow, 7, "index version", { 1, kMaxVersion }));
  if (!sheet_.services_.emplace(service.name_, service).second) {
    AddFault(2, "service \"" + aRow[1] + "\" is a duplicate");
    return;
  }
  serviceLines_[service.name_] = line_;
}

void
SheetReader::ReadCaller(const Row& aRow)
{
  const CallerName caller(ReadName(aRow, 2, "caller"));
  const PerSecond limit{ static_cast<double>(ReadNumber(aRow, 3, "queries per second", { 1, kMaxRate })) };
  ServiceConfig* service = FindService(aRow);
  if (service == nullptr) {
    return;
  }
  if (limit > service->maxQueries_) {
    AddFault(4, "limit of caller \"" + aRow[2] + "\" is above the limit of its service");
  }
  if (!service->callerLimits_.emplace(caller, limit).second) {
    AddFault(3, "caller \"" + aRow[2] + "\" is a duplicate");
  }
}

void
SheetReader::ReadShard(const Row& aRow)
{
  const ShardName shard(ReadName(aRow, 2, "shard"));
  ServiceConfig* service = FindService(aRow);
  if (service == nullptr) {
    return;
  }
  if (!service->shardMap_.shards_.try_emplace(shard).second) {
    AddFault(3, "shard \"" + aRow[2] + "\" is a duplicate");
    return;
  }
  shardLines_[{ service->name_, shard }] = line_;
}

TargetConfig
SheetReader::MakeTarget(const Row& aRow)
{
  TargetConfig target;
  target.shard_ = ShardName(aRow[2]);
  target.name_ = TargetName(ReadName(aRow, 3, "target"));
  target.address_ = TargetAddress(aRow[4]);
  if (!IsIpAndPort(aRow[4])) {
    AddFault(5, "address \"" + aRow[4] + "\" is not of the form ip:port");
  }
  target.dataCentre_ = DataCentre(ReadName(aRow, 5, "data centre"));
  const size_t faultsBefore = faults_.size();
  target.slots_ = static_cast<uint32_t>(ReadNumber(aRow, 6, "slots", { 1, kMaxTargetLimit }));
  target.connections_ = static_cast<uint32_t>(ReadNumber(aRow, 7, "connections", { 1, kMaxTargetLimit }));
  if (faults_.size() == faultsBefore && target.connections_ < 2 * target.slots_) {
    AddFault(8, "connections are fewer than twice the slots");
  }
  target.connectTime_ = Millis(ReadNumber(aRow, 8, "connection set-up time in ms", { 0, kMaxMillis }));
  return target;
}

void
SheetReader::CheckConnectTime(const TargetConfig& aTarget, const ServiceConfig& aService)
{
  if (aTarget.connectTime_ >= aService.deadline_) {
    AddFault(9, "connection set-up time is not below the deadline of the service");
  }
}

/// Checks that a target has the same address and limits in all services, and that no two targets share an address.
void
SheetReader::CheckAcrossServices(const TargetConfig& aTarget)
{
  const auto [byName, isNewName] = targets_.try_emplace(aTarget.name_, TargetDefinition{ line_, aTarget });
  if (!isNewName && !EqualsExceptShard(byName->second.target_, aTarget)) {
    AddFault(4,
             "target \"" + aTarget.name_.Value() + "\" has different settings on line " +
               std::to_string(byName->second.line_));
  }
  const auto [byAddress, isNewAddress] = addresses_.try_emplace(aTarget.address_, TargetDefinition{ line_, aTarget });
  if (!isNewAddress && byAddress->second.target_.name_ != aTarget.name_) {
    AddFault(5,
             "address \"" + aTarget.address_.Value() + "\" is already used by target \"" +
               byAddress->second.target_.name_.Value() + "\" on line " + std::to_string(byAddress->second.line_));
  }
}

void
SheetReader::ReadTarget(const Row& aRow)
{
  const TargetConfig target = MakeTarget(aRow);
  CheckAcrossServices(target);
  ServiceConfig* service = FindService(aRow);
  if (service == nullptr) {
    return;
  }
  CheckConnectTime(target, *service);
  auto shard = service->shardMap_.shards_.find(target.shard_);
  if (shard == service->shardMap_.shards_.end()) {
    AddFault(3, "shard \"" + aRow[2] + "\" has no shard row above this line");
    return;
  }
  if (!service->targets_.emplace(target.name_, target).second) {
    AddFault(4, "target \"" + aRow[3] + "\" is a duplicate");
    return;
  }
  shard->second.push_back(target.name_);
}

void
SheetReader::CheckService(const ServiceConfig& aService)
{
  line_ = serviceLines_[aService.name_];
  if (aService.shardMap_.shards_.empty()) {
    AddFault(0, "service \"" + aService.name_.Value() + "\" has no shard");
  }
  const size_t bytes = EncodeService(aService).size();
  if (bytes > kMaxStoredValueBytes) {
    AddFault(0,
             "service \"" + aService.name_.Value() + "\" needs " + std::to_string(bytes) +
               " bytes in the store, which holds " + std::to_string(kMaxStoredValueBytes));
  }
  for (const auto& [shard, targets] : aService.shardMap_.shards_) {
    if (targets.empty()) {
      line_ = shardLines_[{ aService.name_, shard }];
      AddFault(0, "shard \"" + shard.Value() + "\" of service \"" + aService.name_.Value() + "\" has no target");
    }
  }
}

void
SheetReader::CheckSheet()
{
  for (const auto& [name, service] : sheet_.services_) {
    CheckService(service);
  }
  line_ = 0;
  if (sheet_.services_.empty()) {
    AddFault(0, "the sheet has no service");
  }
  if (sheet_.services_.size() > kMaxServices) {
    AddFault(0, "the sheet has more than " + std::to_string(kMaxServices) + " services");
  }
}

} // namespace

std::optional<Sheet>
ParseSheet(const std::string& aText, std::vector<SheetFault>& aFaults)
{
  aFaults.clear();
  SheetReader reader(aFaults);
  for (const CsvRecord& record : SplitCsvRecords(aText)) {
    if (!record.error_.empty()) {
      aFaults.push_back({ record.line_, 0, record.error_ });
    } else if (record.row_.size() > 1 || (record.row_.size() == 1 && !record.row_.front().empty())) {
      reader.ReadRow(record.line_, record.row_);
    }
  }
  reader.CheckSheet();
  std::stable_sort(aFaults.begin(), aFaults.end(), [](const SheetFault& aLeft, const SheetFault& aRight) {
    return std::tie(aLeft.line_, aLeft.column_) < std::tie(aRight.line_, aRight.column_);
  });
  if (!aFaults.empty()) {
    return std::nullopt;
  }
  return reader.TakeSheet();
}

} // namespace ibisrock
