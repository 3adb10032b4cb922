#include "adapters/caller_server.h"
#include "platform/decode.h"
#include "platform/kind_watcher.h"
#include "platform/object_cache.h"
#include "platform/query_string.h"
#include "platform/stored_object.h"
#include "platform/tolerant_json.h"

#include <gtest/gtest.h>
#include <set>

namespace ibisrock::platform {
namespace {

using nlohmann::json;

std::string
Entry(const std::string& aName, const std::string& aSpec)
{
  return R"({"meta":{"name":")" + aName + R"(","revision":7},"spec":)" + aSpec + R"(,"status":null})";
}

std::string
SoundEntry(const std::string& aName)
{
  return Entry(
    aName,
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":2,"state":"ready","warmupLeftMs":0,"born":1700})");
}

/// An entry whose fields are sound but for one.
std::string
OddField(const std::string& aName, const std::string& aValue)
{
  return Entry("odd",
               R"({"service":"s","zone":"z","address":"10.0.0.1:80","state":"ready",")" + aName + "\":" + aValue + "}");
}

std::string
Nested(const std::string& aOpen, const std::string& aClose)
{
  constexpr size_t kDepth = 200'000;
  std::string text;
  for (size_t i = 0; i < kDepth; i++) {
    text += aOpen;
  }
  text += "1";
  for (size_t i = 0; i < kDepth; i++) {
    text += aClose;
  }
  return text;
}

/// A store whose list and whose first events hold given texts, on a manual clock.
class TextStore
{
public:
  explicit TextStore(const std::string& aOdd)
    : odd_(aOdd)
  {
    LastReason reason;
    server_ = adapters::CallerServer::Create(
      loop_,
      timers_,
      { .address_ = { "127.0.0.1", 0 } },
      [this](const std::shared_ptr<const CallerRequest>& aRequest, const adapters::CallerServer::OnReply& aReply) {
        calls_++;
        const QueryString query = QueryString::Parse(aRequest->target_);
        CallerReply reply;
        reply.status_ = 200;
        if (!query.Has("watch")) {
          reply.body_ = std::make_shared<std::string>(R"({"items":[)" + SoundEntry("before") + "," + odd_ + "," +
                                                      SoundEntry("gone") + R"(],"hasMore":false,"asOf":10})");
        } else if (query.Number("watch") == 10) {
          reply.body_ = std::make_shared<std::string>(
            R"({"events":[{"deleted":false,"object":)" + odd_ + R"(},{"deleted":true,"object":)" + SoundEntry("gone") +
            R"(},{"deleted":false,"object":)" + SoundEntry("after") + R"(}],"asOf":11})");
        } else {
          return adapters::CallerServer::OnLeft();
        }
        aReply(std::move(reply));
        return adapters::CallerServer::OnLeft();
      },
      reason);
    EXPECT_TRUE(server_) << reason.Text();
  }

  boost::asio::io_context loop_{ 1 };
  ManualTimerService timers_;
  const std::string odd_;
  std::unique_ptr<adapters::CallerServer> server_;
  size_t calls_ = 0;
};

struct OddEntryCase
{
  const char* name_;
  std::string text_;
};

class OddEntry : public testing::TestWithParam<OddEntryCase>
{};

/// Guards against one entry of another program that stops discovery, or ends the processes that read or pass it on: the
/// entries beside it hold, in a list and in events, and it names no target.
TEST_P(OddEntry, NamesNoTargetAndTheOthersHold)
{
  TextStore store(GetParam().text_);
  std::set<std::string> usable;
  ObjectCache cache(store.timers_);
  bool failed = false;
  const auto take = [&](const json& aObject) {
    LastReason reason;
    if (DecodeTarget(aObject, reason)) {
      usable.insert(NameOf(aObject));
    }
  };
  StoreEras eras;
  KindWatcher watcher(store.loop_,
                      store.timers_,
                      eras,
                      "servers",
                      { .address_ = { "127.0.0.1", store.server_->Port() }, .pause_ = Millis(20) },
                      { [&](const std::vector<json>& aItems, const KindWatcher::ListNote&) {
                         std::for_each(aItems.begin(), aItems.end(), take);
                         cache.Replace(aItems, false);
                       },
                        [&](const json& aObject, bool aIsDeleted) {
                          cache.Add(aObject, aIsDeleted);
                          if (aIsDeleted) {
                            usable.erase(NameOf(aObject));
                          } else {
                            take(aObject);
                          }
                        },
                        [&](const StorePosition& aPosition) { cache.AdvanceTo(aPosition); },
                        [&](bool aAnswered) { failed = failed || !aAnswered; },
                        [](const StorePosition&, const StorePosition&) {} });
  watcher.Restart();
  for (int step = 0; step < 50; step++) {
    store.timers_.Advance(Millis(20));
    store.loop_.run_for(std::chrono::microseconds(500));
    while (store.loop_.poll() > 0) {
    }
  }
  EXPECT_EQ(usable, (std::set<std::string>{ "after", "before" }));
  EXPECT_EQ(watcher.Position().revision_, StoreRevision(11));
  EXPECT_FALSE(failed);
  // A list, a watch with events, and one that waits.
  EXPECT_EQ(store.calls_, 3U);
}

INSTANTIATE_TEST_SUITE_P(
  Discovery,
  OddEntry,
  testing::Values(OddEntryCase{ "HalfSurrogatePair", OddField("state", R"("\ud83d")") },
                  OddEntryCase{ "InvalidUtf8", OddField("state", "\"\xff\xfe\"") },
                  OddEntryCase{ "BrokenEscape", OddField("state", R"("\x")") },
                  OddEntryCase{ "ControlCharacter", OddField("state", "\"a\nb\"") },
                  OddEntryCase{ "InvalidUtf8InItsName", Entry("o\xffo", R"({"service":"s"})") },
                  OddEntryCase{ "DeepArrays", OddField("more", Nested("[", "]")) },
                  OddEntryCase{ "DeepObjects", OddField("more", Nested(R"({"a":)", "}")) },
                  OddEntryCase{ "DeepSpec", Entry("odd", Nested("[", "]")) },
                  OddEntryCase{ "DeepMeta", R"({"meta":)" + Nested("[", "]") + R"(,"spec":{}})" },
                  OddEntryCase{ "DeepEntry", Nested("[", "]") },
                  OddEntryCase{ "NumberTooLarge", OddField("slots", "1e999") },
                  OddEntryCase{ "SlotsOutOfRange", OddField("slots", "99999999999999999999999") },
                  OddEntryCase{ "SlotsNegative", OddField("slots", "-2") },
                  OddEntryCase{ "SlotsIsFraction", OddField("slots", "1.5") },
                  OddEntryCase{ "WarmUpOutOfRange", OddField("warmupLeftMs", "9000000000000000000") },
                  OddEntryCase{ "BornIsFraction", OddField("born", "1.5") },
                  OddEntryCase{ "PortOutOfRange", OddField("address", R"("10.0.0.1:70000")") },
                  OddEntryCase{ "PortTooLarge", OddField("address", R"("10.0.0.1:99999999999999999999")") },
                  OddEntryCase{ "PortNegative", OddField("address", R"("10.0.0.1:-1")") },
                  OddEntryCase{ "StateTwice", OddField("state", R"("resting")") },
                  OddEntryCase{ "HugeText", OddField("state", '"' + std::string(1 << 20, 'x') + '"') },
                  OddEntryCase{ "Number", "5" },
                  OddEntryCase{ "NotJson", "paddle" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a body that is cut off and read as a whole one.
TEST(TolerantJson, UnbalancedTextIsNothing)
{
  const std::string whole = R"({"items":[{"meta":{"name":"a"}},{"spec":"\ud83d"}],"asOf":5})";
  EXPECT_EQ(ParseTolerant(whole)["asOf"], 5);
  EXPECT_EQ(ParseTolerant(whole)["items"].size(), 2U);
  for (size_t length = 0; length < whole.size(); length++) {
    EXPECT_TRUE(ParseTolerant(whole.substr(0, length)).is_null()) << length;
  }
  EXPECT_TRUE(ParseTolerant(whole + "}").is_null());
}

/// Guards against an instance that runs out of memory by a body of a store in trouble, or of an instance that relays
/// it, which holds more values than its length lets expect, and against a long list of targets that is not read for it.
TEST(TolerantJson, BodyOfTooManyValuesIsNothing)
{
  const auto list = [](size_t aCount, const std::string& aItem) {
    std::string text = R"({"items":[)";
    for (size_t i = 0; i < aCount; i++) {
      text += aItem;
    }
    return text + R"(0],"asOf":5})";
  };
  EXPECT_TRUE(ParseTolerant(list(5'000'000, "{},")).is_null());
  const std::string target = R"({"meta":{"name":"i","revision":1,"createRevision":1,"finalizers":[],"deleting":false},)"
                             R"("spec":{"service":"s","address":"10.0.0.1:80","zone":"z","slots":2,"state":"[ready,]",)"
                             R"("warmupLeftMs":0,"seqNo":1,"version":"v","born":1700000000000},"status":{}},)";
  EXPECT_EQ(ParseTolerant(list(16'000, target))["asOf"], 5);
}

/// Guards against a name of another program that changes the meaning of the call for the next page.
TEST(QueryString, ValuesKeepTheirBytes)
{
  const std::string value = "a&b=c d%41#?\xff/x";
  EXPECT_EQ(QueryString::Parse("/p?after=" + EncodeQueryValue(value) + "&n=1").Text("after"), value);
  EXPECT_EQ(EncodeQueryValue("i-7f3a91c2"), "i-7f3a91c2");
}

} // namespace
} // namespace ibisrock::platform
