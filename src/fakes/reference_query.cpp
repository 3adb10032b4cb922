#include "fakes/reference_query.h"

#include <algorithm>

namespace ibisrock::fakes {

Answer
AnswerNaively(const ShardMap& aMap, const std::string& aBody, const ShardSearch& aSearch, const CanServe& aCanServe)
{
  Answer answer;
  answer.version_ = aMap.version_;
  for (const auto& [shard, targets] : aMap.shards_) {
    const bool served = std::any_of(
      targets.begin(), targets.end(), [&](const TargetName& aTarget) { return aCanServe(aTarget, aMap.version_); });
    if (!served) {
      answer.missing_[shard] = Reason::NoReplica;
      continue;
    }
    answer.covered_.insert(shard);
    for (const Match& match : aSearch(aMap.version_, shard, aBody)) {
      answer.matches_.push_back(match);
    }
  }
  std::sort(answer.matches_.begin(), answer.matches_.end());
  answer.verdict_ = answer.covered_.empty() ? Verdict::NotRun : Verdict::Ran;
  return answer;
}

} // namespace ibisrock::fakes
