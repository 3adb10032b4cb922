#ifndef IBISROCK_ADAPTERS_HEADER_NAMES_H
#define IBISROCK_ADAPTERS_HEADER_NAMES_H

#include "base/http_message.h"

#include <string>
#include <string_view>

namespace ibisrock::adapters {

/// Names of the fields by which callers, targets and the query tier tell each other more than HTTP does.
struct HeaderNames
{
  /// Identifies one request of a caller; targets echo it.
  std::string requestId_ = "Ibisrock-Request-Id";
  /// Milliseconds that the sender still waits.
  std::string timeLeft_ = "Ibisrock-Time-Left-Ms";
  /// Target that a request is meant for; any other one refuses it.
  std::string expectedTarget_ = "Ibisrock-Target";
  /// A target's statement that it has not run the request.
  std::string notRun_ = "Ibisrock-Not-Run";
  /// A target's statement that it leaves.
  std::string leaving_ = "Ibisrock-Leaving";
  /// A target's proof that a reply is its own.
  std::string stamp_ = "Ibisrock-Stamp";
  /// Stamps of the parts of a gathered answer.
  std::string partStamps_ = "Ibisrock-Stamps";
  /// Number of shards that a gathered answer leaves out.
  std::string missingShards_ = "Ibisrock-Missing-Shards";
};

/// Compares names of fields, without case.
bool
IsSameName(std::string_view aFirst, std::string_view aSecond);

/// Whether a field concerns one connection and is not passed on. aConnection is the value of the Connection field.
bool
IsHopByHop(std::string_view aName, std::string_view aConnection);

/// Appends a field to the text of a message.
void
AppendField(std::string& aText, std::string_view aName, std::string_view aValue);

} // namespace ibisrock::adapters

#endif
