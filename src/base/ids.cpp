#include "base/ids.h"

namespace ibisrock {

std::string
ToString(const RequestId& aId)
{
  return aId.origin_.Value() + "/" + std::to_string(aId.incarnation_.Value()) + "/" + std::to_string(aId.sequence_);
}

std::string
ToString(const AttemptId& aId)
{
  return ToString(aId.request_) + "/" + std::to_string(aId.number_);
}

} // namespace ibisrock
