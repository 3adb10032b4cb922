#include "base/random.h"
#include "scripted_target.h"

#include <gtest/gtest.h>
#include <regex>

namespace ibisrock::adapters {
namespace {

using namespace std::string_view_literals;

constexpr uint64_t kSeed = 39;
const std::string kHead = "HTTP/1.1 200 OK\r\nIbisrock-Request-Id: r1\r\nIbisrock-Stamp: s\r\nX-More: a b\r\n";
const std::string kWithLength = kHead + "Content-Length: 8\r\n\r\nfirst\r\n ";
const std::string kInChunks = kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n3\r\n\r\n \r\n0\r\n\r\n";

/// Bytes that mean something in a head, and some that never may.
constexpr std::string_view kBytes = "\0\x01\t\n\r !\"(),/:;={}\x7f\x80\xff"
                                    "019aX"sv;

/// Changes a byte, adds one, leaves one out, or doubles or leaves out a line.
std::string
Mutate(std::string aText, Random& aRandom)
{
  const size_t at = aRandom.Below(aText.size());
  const char byte = kBytes[aRandom.Below(kBytes.size())];
  const size_t lineEnd = aText.find('\n', at);
  switch (aRandom.Below(5)) {
    case 0:
      aText[at] = byte;
      break;
    case 1:
      aText.insert(at, 1, byte);
      break;
    case 2:
      aText.erase(at, 1);
      break;
    case 3:
      aText.insert(at, aText.substr(at, lineEnd - at));
      break;
    default:
      aText.erase(at, lineEnd - at);
  }
  return aText;
}

/// The grammar of RFC 9112 for the lines of a head.
bool
IsSoundHead(const std::string& aHead)
{
  static const std::regex kStatus(R"(HTTP/1\.[01] [1-5][0-9][0-9]( [\t\x20-\x7e\x80-\xff]*)?)");
  static const std::regex kField(R"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*)");
  bool isFirst = true;
  for (size_t at = 0; at < aHead.size();) {
    const size_t end = aHead.find("\r\n", at);
    if (!std::regex_match(aHead.substr(at, end - at), isFirst ? kStatus : kField)) {
      return false;
    }
    isFirst = false;
    at = end + 2;
  }
  return true;
}

/// Values of the fields in a head whose names match a pattern.
std::vector<std::string>
ValuesOf(const std::string& aHead, const std::string& aPattern)
{
  const std::regex line("\r\n(?:" + aPattern + "):[ \t]*([^\r]*?)[ \t]*(?=\r\n)", std::regex::icase);
  std::vector<std::string> values;
  for (std::sregex_iterator at(aHead.begin(), aHead.end(), line), end; at != end; ++at) {
    values.push_back((*at)[1]);
  }
  return values;
}

/// Joins the chunks of a body that is sound.
std::string
JoinChunks(const std::string& aBody)
{
  std::string joined;
  size_t at = 0;
  while (size_t size = std::stoul(aBody.substr(at), nullptr, 16)) {
    at = aBody.find("\r\n", at) + 2;
    joined += aBody.substr(at, size);
    at += size + 2;
  }
  return joined;
}

/// The body that the fields which frame a reply tell.
std::string
BodyOf(const std::string& aBytes, const std::vector<std::string>& aFraming)
{
  if (aFraming.empty()) {
    return aBytes;
  }
  const bool hasLength = aFraming[0].find_first_not_of("0123456789") == std::string::npos;
  return hasLength ? aBytes.substr(0, std::stoul(aFraming[0])) : JoinChunks(aBytes);
}

/// Guards against a broken answer of a kind that nobody has thought of: of answers that are changed at random, only
/// those are taken whose head is sound and says one thing, with the body that it frames.
TEST(MutatedAnswer, IsTakenOnlyIfItsHeadIsSound)
{
  constexpr int kRounds = 2000;
  Random random(kSeed);
  std::vector<ScriptedTarget::Step> steps;
  for (int round = 0; round < kRounds; round++) {
    std::string text = round % 2 == 0 ? kWithLength : kInChunks;
    for (size_t changes = 1 + random.Below(2); changes > 0; changes--) {
      text = Mutate(text, random);
    }
    steps.push_back({ text, true });
  }
  LinkFixture fixture;
  ScriptedTarget target(fixture.loop_, steps);
  int taken = 0;
  while (target.heads_.size() < steps.size()) {
    const TargetOutcome outcome = fixture.Call(target.Address());
    ASSERT_NE(outcome.reason_, Reason::ConnectFailed);
    // A call whose connection the target has closed gets no answer.
    const std::string& text = steps.at(target.heads_.size() - 1).bytes_;
    if (outcome.verdict_ != Verdict::Ran) {
      EXPECT_FALSE(outcome.body_);
      continue;
    }
    taken++;
    SCOPED_TRACE(testing::PrintToString(text));
    const size_t end = text.find("\r\n\r\n") + 2;
    const std::string head = text.substr(0, end);
    EXPECT_TRUE(IsSoundHead(head));
    const std::vector<std::string> framing = ValuesOf(head, "transfer-encoding|content-length");
    EXPECT_LE(framing.size(), 1U);
    EXPECT_EQ(*outcome.body_, BodyOf(text.substr(end + 2), framing));
    EXPECT_LE(ValuesOf(head, "ibisrock-request-id").size(), 1U);
    const std::vector<std::string> stamps = ValuesOf(head, "ibisrock-stamp");
    EXPECT_LE(stamps.size(), 1U);
    EXPECT_EQ(stamps.empty() ? "" : stamps[0], outcome.stamp_);
  }
  EXPECT_GT(taken, kRounds / 20);
}

} // namespace
} // namespace ibisrock::adapters
