#include "request/coverage_policy.h"

namespace ibisrock {

namespace {

/// Ends with the shards covered so far, but waits for at least one.
class LatencyPolicy final : public CoveragePolicy
{
public:
  bool EndsAfterSoftDeadline(size_t aCovered) const override { return aCovered > 0; }
};

/// Waits for every shard until the deadline.
class FullCoveragePolicy final : public CoveragePolicy
{
public:
  bool EndsAfterSoftDeadline(size_t /*aCovered*/) const override { return false; }
};

} // namespace

const CoveragePolicy&
SelectCoveragePolicy(const ServiceConfig& aService, const Query& aQuery)
{
  static const LatencyPolicy kLatency;
  static const FullCoveragePolicy kFull;
  if (aQuery.fullCoverage_.value_or(aService.priority_ == Priority::Coverage)) {
    return kFull;
  }
  return kLatency;
}

} // namespace ibisrock
