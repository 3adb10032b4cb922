#ifndef IBISROCK_REQUEST_COVERAGE_POLICY_H
#define IBISROCK_REQUEST_COVERAGE_POLICY_H

#include "request/query.h"
#include "version/configuration.h"

#include <cstddef>

namespace ibisrock {

/// Decides whether a run ends while some of its shards are still pending. Stateless.
class CoveragePolicy
{
public:
  virtual ~CoveragePolicy() = default;

  /// True if a run that is past its soft deadline ends with aCovered covered shards.
  virtual bool EndsAfterSoftDeadline(size_t aCovered) const = 0;
};

/// Returns the policy of a query: the query's own setting if present, otherwise the service's priority.
const CoveragePolicy&
SelectCoveragePolicy(const ServiceConfig& aService, const Query& aQuery);

} // namespace ibisrock

#endif
