#include "version/sheet.h"

#include "version/csv_rows.h"

#include <charconv>
#include <utility>

namespace ibisrock {

namespace {

using Row = CsvRow;

/// Fills a Sheet row by row and collects every fault.
class SheetReader
{
public:
  explicit SheetReader(std::vector<SheetFault>& aFaults)
    : faults_(aFaults)
  {
  }

  void ReadRow(size_t aLine, const Row& aRow);
  void CheckWhole();
  Sheet Take() { return std::move(sheet_); }

private:
  struct RowKind
  {
    const char* name_;
    size_t columns_;
    void (SheetReader::*read_)(const Row&);
  };
  static const std::vector<RowKind> kRowKinds;

  void ReadSheet(const Row& aRow);
  void ReadService(const Row& aRow);
  void ReadCaller(const Row& aRow);
  void ReadShard(const Row& aRow);
  void ReadTarget(const Row& aRow);

  void AddFault(size_t aColumn, const std::string& aText) { faults_.push_back({ line_, aColumn, aText }); }
  uint64_t Number(const Row& aRow, size_t aIndex, const char* aName, uint64_t aMinimum);
  ServiceConfig* FindService(const Row& aRow);

  std::vector<SheetFault>& faults_;
  Sheet sheet_;
  size_t line_ = 0;
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

uint64_t
SheetReader::Number(const Row& aRow, size_t aIndex, const char* aName, uint64_t aMinimum)
{
  const std::string& text = aRow[aIndex];
  uint64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < aMinimum) {
    AddFault(aIndex + 1,
             std::string(aName) + " \"" + text + "\" is not a whole number of at least " + std::to_string(aMinimum));
    return aMinimum;
  }
  return value;
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
  sheet_.name_ = aRow[1];
  sheet_.base_ = ConfigVersion(Number(aRow, 2, "base version", 0));
}

void
SheetReader::ReadService(const Row& aRow)
{
  ServiceConfig service;
  service.name_ = ServiceName(aRow[1]);
  if (aRow[2] != "latency" && aRow[2] != "coverage") {
    AddFault(3, "priority \"" + aRow[2] + "\" is neither latency nor coverage");
  }
  service.priority_ = aRow[2] == "coverage" ? Priority::Coverage : Priority::Latency;
  service.deadline_ = Millis(Number(aRow, 3, "deadline in ms", 1));
  service.softDeadline_ = Millis(Number(aRow, 4, "soft deadline in ms", 1));
  service.maxQueries_ = PerSecond{ static_cast<double>(Number(aRow, 5, "queries per second", 1)) };
  service.maxConcurrent_ = static_cast<uint32_t>(Number(aRow, 6, "concurrent queries", 1));
  service.shardMap_.version_ = IndexVersion(Number(aRow, 7, "index version", 1));
  if (service.softDeadline_ > service.deadline_) {
    AddFault(5, "soft deadline is above the deadline");
  }
  if (!sheet_.services_.emplace(service.name_, service).second) {
    AddFault(2, "service \"" + aRow[1] + "\" is a duplicate");
  }
}

void
SheetReader::ReadCaller(const Row& aRow)
{
  ServiceConfig* service = FindService(aRow);
  const PerSecond limit{ static_cast<double>(Number(aRow, 3, "queries per second", 1)) };
  if (service != nullptr && !service->callerLimits_.emplace(CallerName(aRow[2]), limit).second) {
    AddFault(3, "caller \"" + aRow[2] + "\" is a duplicate");
  }
}

void
SheetReader::ReadShard(const Row& aRow)
{
  ServiceConfig* service = FindService(aRow);
  if (service != nullptr && !service->shardMap_.shards_.try_emplace(ShardName(aRow[2])).second) {
    AddFault(3, "shard \"" + aRow[2] + "\" is a duplicate");
  }
}

void
SheetReader::ReadTarget(const Row& aRow)
{
  TargetConfig target;
  target.shard_ = ShardName(aRow[2]);
  target.name_ = TargetName(aRow[3]);
  target.address_ = TargetAddress(aRow[4]);
  target.dataCentre_ = DataCentre(aRow[5]);
  target.slots_ = static_cast<uint32_t>(Number(aRow, 6, "slots", 1));
  target.connections_ = static_cast<uint32_t>(Number(aRow, 7, "connections", 2));
  target.connectTime_ = Millis(Number(aRow, 8, "connection set-up time in ms", 0));
  ServiceConfig* service = FindService(aRow);
  if (service == nullptr) {
    return;
  }
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
SheetReader::CheckWhole()
{
  line_ = 0;
  for (const auto& [name, service] : sheet_.services_) {
    if (service.shardMap_.shards_.empty()) {
      AddFault(0, "service \"" + name.Value() + "\" has no shard");
    }
    for (const auto& [shard, targets] : service.shardMap_.shards_) {
      if (targets.empty()) {
        AddFault(0, "shard \"" + shard.Value() + "\" of service \"" + name.Value() + "\" has no target");
      }
    }
  }
  if (sheet_.services_.empty()) {
    AddFault(0, "the sheet has no service");
  }
}

} // namespace

std::optional<Sheet>
ParseSheet(const std::string& aText, std::vector<SheetFault>& aFaults)
{
  std::vector<Row> rows;
  std::string error;
  if (!SplitCsvRows(aText, rows, error)) {
    aFaults.push_back({ 0, 0, "the sheet is not CSV: " + error });
    return std::nullopt;
  }
  SheetReader reader(aFaults);
  for (size_t index = 0; index < rows.size(); index++) {
    if (!rows[index].empty()) {
      reader.ReadRow(index + 1, rows[index]);
    }
  }
  reader.CheckWhole();
  if (!aFaults.empty()) {
    return std::nullopt;
  }
  return reader.Take();
}

} // namespace ibisrock
