#include "fakes/explorer.h"

#include <utility>

namespace ibisrock::fakes {

Choices::Choices(std::vector<size_t> aPrefix, std::unordered_set<uint64_t>* aVisited)
  : prefix_(std::move(aPrefix))
  , visited_(aVisited)
{
}

size_t
Choices::Choose(size_t aCount)
{
  const size_t position = taken_.size();
  const size_t choice = position < prefix_.size() ? prefix_[position] : 0;
  taken_.push_back(choice);
  counts_.push_back(aCount);
  return choice;
}

/// States on the replayed prefix were entered by the run that made it.
bool
Choices::Enter(uint64_t aState)
{
  if (visited_ == nullptr || taken_.size() < prefix_.size()) {
    return true;
  }
  return visited_->insert(aState).second;
}

std::optional<std::vector<size_t>>
Choices::Next() const
{
  std::vector<size_t> next = taken_;
  while (!next.empty() && next.back() + 1 == counts_[next.size() - 1]) {
    next.pop_back();
  }
  if (next.empty()) {
    return std::nullopt;
  }
  next.back()++;
  return next;
}

Exploration
Explore(const ModelRun& aRun)
{
  Exploration result;
  std::unordered_set<uint64_t> visited;
  std::optional<std::vector<size_t>> prefix = std::vector<size_t>();
  while (prefix) {
    Choices choices(std::move(*prefix), &visited);
    result.failure_ = aRun(choices);
    result.runs_++;
    if (!result.failure_.empty()) {
      result.choices_ = choices.Taken();
      break;
    }
    prefix = choices.Next();
  }
  result.states_ = visited.size();
  return result;
}

std::string
Replay(const ModelRun& aRun, const std::vector<size_t>& aChoices)
{
  Choices choices(aChoices, nullptr);
  return aRun(choices);
}

std::string
ToText(const std::vector<size_t>& aChoices)
{
  std::string text;
  for (const size_t choice : aChoices) {
    text += (text.empty() ? "{ " : ", ") + std::to_string(choice);
  }
  return text.empty() ? "{}" : text + " }";
}

} // namespace ibisrock::fakes
