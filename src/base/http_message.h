#ifndef IBISROCK_BASE_HTTP_MESSAGE_H
#define IBISROCK_BASE_HTTP_MESSAGE_H

#include "base/units.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock {

struct HeaderField
{
  std::string name_;
  std::string value_;

  bool operator==(const HeaderField&) const = default;
};

/// A request as a caller sent it. Fields that the query tier interprets or that concern one connection are taken out of
/// fields_, the others are forwarded.
struct CallerRequest
{
  std::string method_;
  /// Path and query, unchanged.
  std::string target_;
  std::string host_;
  std::string id_;
  /// How long the caller still waits, counted from receivedAt_; no value when it did not say.
  std::optional<Micros> timeLeft_;
  std::vector<HeaderField> fields_;
  std::shared_ptr<const std::string> body_;
  TimePoint receivedAt_;
  /// The request came first on its connection, so the caller has also waited for the connection.
  bool isFirstOnConnection_ = false;
  /// The body came in chunks.
  bool isChunked_ = false;
  /// "ip:port" of the other end of the connection.
  std::string peer_;
};

/// What a caller gets. stamps_ and missingShards_ are set for gathered answers only.
struct CallerReply
{
  unsigned status_ = 0;
  std::vector<HeaderField> fields_;
  std::shared_ptr<const std::string> body_;
  std::optional<Micros> retryAfter_;
  std::vector<std::string> stamps_;
  size_t missingShards_ = 0;
  /// The connection is closed after the reply.
  bool closes_ = false;
};

} // namespace ibisrock

#endif
