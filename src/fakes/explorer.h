#ifndef IBISROCK_FAKES_EXPLORER_H
#define IBISROCK_FAKES_EXPLORER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace ibisrock::fakes {

/// The choices of one run of a model. A run is decided by its list of choices alone.
class Choices
{
public:
  /// Replays aPrefix and then takes the first alternative of each choice. aVisited may be null.
  Choices(std::vector<size_t> aPrefix, std::unordered_set<uint64_t>* aVisited);

  /// Chooses one of aCount alternatives; aCount is above 0.
  size_t Choose(size_t aCount);
  /// Enters a state, given as a hash of all that the rest of the run depends on. Returns false when another run has
  /// entered it, so that every continuation of this run is explored there.
  bool Enter(uint64_t aState);

  /// The choices made so far.
  const std::vector<size_t>& Taken() const { return taken_; }
  /// The list that follows in depth-first order, or none when every alternative was taken.
  std::optional<std::vector<size_t>> Next() const;

private:
  const std::vector<size_t> prefix_;
  std::unordered_set<uint64_t>* const visited_;
  std::vector<size_t> taken_;
  std::vector<size_t> counts_;
};

/// What an exploration found.
struct Exploration
{
  uint64_t runs_ = 0;
  uint64_t states_ = 0;
  /// Text of the first failure; empty when every run was free of failures.
  std::string failure_;
  /// Choices of the failing run, for Replay().
  std::vector<size_t> choices_;
};

/// One run of a model. Returns the failure that it saw, or an empty text.
using ModelRun = std::function<std::string(Choices&)>;

/// Runs a model with every list of choices, depth-first, and stops at the first failure.
Exploration
Explore(const ModelRun& aRun);

/// Runs a model once with one list of choices.
std::string
Replay(const ModelRun& aRun, const std::vector<size_t>& aChoices);

/// The choices as an initializer list, to be copied into a call of Replay().
std::string
ToText(const std::vector<size_t>& aChoices);

} // namespace ibisrock::fakes

#endif
