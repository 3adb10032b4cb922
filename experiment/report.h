#ifndef IBISROCK_EXPERIMENT_REPORT_H
#define IBISROCK_EXPERIMENT_REPORT_H

#include "experiment/trial.h"

#include <string>

namespace ibisrock::experiment {

/// One line of the report.
struct ReportRow
{
  std::string shape_;
  std::string scenario_;
  /// "naive" or "current".
  std::string variant_;
  TrialResult result_;
};

std::string
TableHeader();

std::string
TableRow(const ReportRow& aRow);

/// JSON text of all rows.
std::string
EncodeReport(const std::vector<ReportRow>& aRows);

} // namespace ibisrock::experiment

#endif
