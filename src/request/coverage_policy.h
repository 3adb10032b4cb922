#ifndef IBISROCK_REQUEST_COVERAGE_POLICY_H
#define IBISROCK_REQUEST_COVERAGE_POLICY_H

#include "request/query.h"
#include "version/configuration.h"

#include <cstddef>

namespace ibisrock {

/// Decides when a run ends whose shards are not all settled. Stateless.
class CoveragePolicy
{
public:
  virtual ~CoveragePolicy() = default;

  /// True when a run that has passed its soft deadline ends with aCovered covered shards.
  virtual bool EndsAfterSoftDeadline(size_t aCovered) const = 0;
};

/// The policy of a query: its own choice if it makes one, otherwise the service's priority.
const CoveragePolicy&
SelectCoveragePolicy(const ServiceConfig& aService, const Query& aQuery);

} // namespace ibisrock

#endif
