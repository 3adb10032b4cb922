#ifndef IBISROCK_HISTORY_CHECKER_H
#define IBISROCK_HISTORY_CHECKER_H

#include "history/history.h"

#include <string>
#include <vector>

namespace ibisrock::history {

/// A breach of one promise of docs/design.md, section 1.
struct Violation
{
  /// "P1" to "P8".
  std::string promise_;
  std::string text_;
};

/// Limits that the promises leave open.
struct CheckLimits
{
  /// Time after which a leaving target may not begin new work.
  Micros leavingGrace_ = Seconds(3);
  /// Time after which an accepted configuration must be in force on every instance.
  Micros configGrace_ = Seconds(4);
  /// Time in which each submission must be answered.
  Micros answerLimit_ = Seconds(5);
};

/// Decides every promise over the whole history and returns all breaches.
std::vector<Violation>
CheckHistory(const History& aHistory, const CheckLimits& aLimits);

} // namespace ibisrock::history

#endif
