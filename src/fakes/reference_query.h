#ifndef IBISROCK_FAKES_REFERENCE_QUERY_H
#define IBISROCK_FAKES_REFERENCE_QUERY_H

#include "fakes/fake_targets.h"
#include "request/query.h"
#include "version/shard_map.h"

#include <functional>
#include <string>

namespace ibisrock::fakes {

/// Tells whether a target is able to serve an index version during the whole of a query.
using CanServe = std::function<bool(const TargetName&, IndexVersion)>;

/// The answer that a query has without any of the tier's machinery: one loop over the shards, the first replica that
/// is able to serve, no limits, hedges, retries or shares. Differential tests compare the tier with it.
Answer
AnswerNaively(const ShardMap& aMap, const std::string& aBody, const ShardSearch& aSearch, const CanServe& aCanServe);

} // namespace ibisrock::fakes

#endif
