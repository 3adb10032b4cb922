#ifndef IBISROCK_BASE_LAST_REASON_H
#define IBISROCK_BASE_LAST_REASON_H

#include <string>
#include <utility>

namespace ibisrock {

/// Text that explains why the latest call with this out parameter returned no value. Functions that return
/// std::optional take it as their last parameter and set it only when they return std::nullopt.
class LastReason
{
public:
  void Set(std::string aText) { text_ = std::move(aText); }
  const std::string& Text() const { return text_; }

private:
  std::string text_;
};

} // namespace ibisrock

#endif
