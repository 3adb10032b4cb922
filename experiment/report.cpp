#include "experiment/report.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace ibisrock::experiment {

namespace {

constexpr size_t kRowBytes = 256;

uint64_t
RefusalCount(const TrialResult& aResult)
{
  uint64_t count = 0;
  for (const auto& [reason, refusals] : aResult.refusals_) {
    count += refusals;
  }
  return count;
}

std::map<std::string, uint64_t>
CountByPromise(const TrialResult& aResult)
{
  std::map<std::string, uint64_t> counts;
  for (const history::Violation& violation : aResult.violations_) {
    counts[violation.promise_]++;
  }
  return counts;
}

} // namespace

std::string
TableHeader()
{
  std::array<char, kRowBytes> row{};
  std::snprintf(row.data(),
                row.size(),
                "%-24s %-18s %-8s %8s %8s %8s %8s %8s %8s %9s %8s %7s %7s %s",
                "shape",
                "scenario",
                "variant",
                "offered",
                "whole",
                "partial",
                "refused",
                "p50 ms",
                "p99 ms",
                "coverage",
                "extra",
                "shed",
                "crashes",
                "violations");
  return row.data();
}

std::string
TableRow(const ReportRow& aRow)
{
  const TrialResult& result = aRow.result_;
  std::array<char, kRowBytes> row{};
  std::snprintf(row.data(),
                row.size(),
                "%-24s %-18s %-8s %8lu %8lu %8lu %8lu %8.2f %8.2f %8.3f%% %7.2f%% %7lu %7lu %lu",
                aRow.shape_.c_str(),
                aRow.scenario_.c_str(),
                aRow.variant_.c_str(),
                result.offered_,
                result.whole_,
                result.partial_,
                RefusalCount(result),
                result.p50Ms_,
                result.p99Ms_,
                100.0 * result.coverage_,
                100.0 * result.extraRuns_,
                result.shed_,
                result.crashes_,
                result.violations_.size());
  return row.data();
}

std::string
EncodeReport(const std::vector<ReportRow>& aRows)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const ReportRow& row : aRows) {
    const TrialResult& result = row.result_;
    rows.push_back({ { "shape", row.shape_ },
                     { "scenario", row.scenario_ },
                     { "variant", row.variant_ },
                     { "offered", result.offered_ },
                     { "whole", result.whole_ },
                     { "partial", result.partial_ },
                     { "refusals", result.refusals_ },
                     { "p50_ms", result.p50Ms_ },
                     { "p99_ms", result.p99Ms_ },
                     { "p999_ms", result.p999Ms_ },
                     { "coverage", result.coverage_ },
                     { "extra_runs", result.extraRuns_ },
                     { "shed", result.shed_ },
                     { "crashes", result.crashes_ },
                     { "violations", CountByPromise(result) } });
  }
  return rows.dump(2);
}

} // namespace ibisrock::experiment
