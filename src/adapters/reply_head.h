#ifndef IBISROCK_ADAPTERS_REPLY_HEAD_H
#define IBISROCK_ADAPTERS_REPLY_HEAD_H

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string_view>

namespace ibisrock::adapters {

using ReplyParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

/// Returns why a reply is no answer although its parser has taken aLines of its head, or an empty text. The lines are
/// whole ones. Nothing in such a reply is to be believed.
std::string_view
FaultOfHead(const ReplyParser& aParser, std::string_view aLines);

/// Most interim replies to a request. A server that sends more is in trouble.
constexpr unsigned kMaxInterimReplies = 16;

/// Whether another reply to the same request follows one with this status.
bool
IsInterim(unsigned aStatus);

} // namespace ibisrock::adapters

#endif
