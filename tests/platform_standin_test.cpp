#include "adapters/http_object_store.h"
#include "standin/platform_standin.h"

#include <future>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace ibisrock::standin {
namespace {

/// A stand-in on a clock that only Pass moves.
class PlatformStandinTest : public testing::Test
{
protected:
  adapters::HttpReply Call(const std::string& aMethod,
                           const std::string& aPath,
                           const std::string& aBody = "",
                           uint64_t aRevision = 0,
                           const std::string& aQuery = "")
  {
    return platform_.Handle({ aMethod, aPath, aQuery, aBody, [aRevision](const char* aName) {
                               return std::string(aName) == adapters::kIfRevisionHeader ? std::to_string(aRevision)
                                                                                        : std::string();
                             } });
  }
  nlohmann::json Admin(const std::string& aJson) { return nlohmann::json::parse(Call("PUT", "/admin", aJson).body_); }
  nlohmann::json Admin() { return nlohmann::json::parse(Call("GET", "/admin").body_); }
  void Pass(std::chrono::milliseconds aTime) { now_ += aTime; }
  std::future<adapters::HttpReply> WatchFrom(uint64_t aRevision)
  {
    auto watch = std::async(std::launch::async, [this, aRevision] {
      return Call("GET", "/watch/a", "", 0, "after=" + std::to_string(aRevision) + "&timeout_ms=600000");
    });
    while (Admin()["waiting_watches"] == 0) {
      std::this_thread::yield();
    }
    return watch;
  }

  ValueHistory::Clock::time_point now_;
  PlatformStandin platform_{ [this] { return now_; } };
};

struct OutageCase
{
  const char* name_;
  const char* method_;
  const char* path_;
};

class Outage
  : public PlatformStandinTest
  , public testing::WithParamInterface<OutageCase>
{};

// Guards against a call that an outage does not refuse, or that changes something during it.
TEST_P(Outage, RefusesAndChangesNothing)
{
  Call("PUT", "/objects/a", "one");
  Admin(R"({"outage":true})");
  EXPECT_EQ(Call(GetParam().method_, GetParam().path_, "two", 1).status_, 503U);
  Admin(R"({"outage":false})");
  EXPECT_EQ(Call("GET", "/objects/a").body_, "one");
}

INSTANTIATE_TEST_SUITE_P(Calls,
                         Outage,
                         testing::Values(OutageCase{ "Read", "GET", "/objects/a" },
                                         OutageCase{ "Write", "PUT", "/objects/a" },
                                         OutageCase{ "Watch", "GET", "/watch/a" },
                                         OutageCase{ "List", "GET", "/instances" }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a watch that outlives an outage, even one that ends before the watch wakes up.
TEST_F(PlatformStandinTest, OutageEndsWaitingWatches)
{
  auto watch = WatchFrom(0);
  Admin(R"({"outage":true})");
  Admin(R"({"outage":false})");
  EXPECT_EQ(watch.get().status_, 503U);
  EXPECT_EQ(Admin()["waiting_watches"], 0);
}

// Guards against a watch that misses a change.
TEST_F(PlatformStandinTest, ChangeAnswersWaitingWatch)
{
  Call("PUT", "/objects/a", "one");
  auto watch = WatchFrom(1);
  Call("PUT", "/objects/a", "two", 1);
  EXPECT_EQ(watch.get().body_, "two");
}

// Guards against a slow call that is carried out although an outage began while it waited.
TEST_F(PlatformStandinTest, OutageEndsSlowCalls)
{
  Admin(R"({"delay_ms":600000})");
  auto write = std::async(std::launch::async, [this] { return Call("PUT", "/objects/a", "one"); });
  while (Admin()["writes"] == 0) {
    std::this_thread::yield();
  }
  Admin(R"({"outage":true,"delay_ms":0})");
  Admin(R"({"outage":false})");
  EXPECT_EQ(write.get().status_, 503U);
  EXPECT_EQ(Call("GET", "/objects/a").status_, 404U);
}

// Guards against a slow call that loses its effect.
TEST_F(PlatformStandinTest, SlowCallTakesEffect)
{
  Admin(R"({"delay_ms":1})");
  EXPECT_EQ(Call("PUT", "/objects/a", "one").status_, 200U);
  EXPECT_EQ(Call("GET", "/objects/a").body_, "one");
}

// Guards against a lost answer that says whether the change took effect, or that is counted for a conflict.
TEST_F(PlatformStandinTest, LostAnswerFollowsTheChange)
{
  Admin(R"({"lost_answers":1})");
  EXPECT_EQ(Call("PUT", "/objects/a", "zero", 9).status_, 409U);
  EXPECT_EQ(Call("PUT", "/objects/a", "one").status_, 500U);
  EXPECT_EQ(Call("GET", "/objects/a").body_, "one");
  EXPECT_EQ(Call("PUT", "/objects/a", "two", 1).status_, 200U);
}

// Guards against stale reads that reach updates or last longer than set.
TEST_F(PlatformStandinTest, StaleReadsShowThePast)
{
  Admin(R"({"stale_ms":100})");
  Call("PUT", "/objects/a", "one");
  EXPECT_EQ(Call("GET", "/objects/a").status_, 404U);
  Pass(std::chrono::milliseconds(100));
  Call("PUT", "/objects/a", "two", 1);
  EXPECT_EQ(Call("GET", "/objects/a").body_, "one");
  EXPECT_EQ(Call("PUT", "/objects/a", "three", 1).status_, 409U);
  Pass(std::chrono::milliseconds(100));
  EXPECT_EQ(Call("GET", "/objects/a").body_, "two");
}

// Guards against an instance list that shows live and leaving entries before its lag has passed.
TEST_F(PlatformStandinTest, InstanceListLags)
{
  const std::string live = R"([{"id":"a","leaving":false}])";
  const std::string leaving = R"([{"id":"a","leaving":true}])";
  Call("PUT", "/instances", live);
  Admin(R"({"list_lag_ms":5000})");
  Pass(std::chrono::milliseconds(5000));
  EXPECT_EQ(Call("PUT", "/instances", leaving).status_, 200U);
  EXPECT_EQ(Call("GET", "/instances").body_, live);
  Pass(std::chrono::milliseconds(5000));
  EXPECT_EQ(Call("GET", "/instances").body_, leaving);
  EXPECT_EQ(Call("PUT", "/instances", "{}").status_, 400U);
}

// Guards against calls that are not counted, such as those that an outage refuses.
TEST_F(PlatformStandinTest, CountsCalls)
{
  Call("PUT", "/objects/a", "one");
  Call("PUT", "/objects/a", "two", 9);
  Call("GET", "/watch/a");
  Admin(R"({"outage":true})");
  Call("GET", "/objects/a");
  Call("GET", "/instances");
  const auto state = Admin();
  EXPECT_EQ(state["writes"], 2);
  EXPECT_EQ(state["reads"], 1);
  EXPECT_EQ(state["watches"], 1);
  EXPECT_EQ(state["lists"], 1);
  EXPECT_EQ(state["outage"], true);
}

struct AdminCase
{
  const char* name_;
  const char* json_;
  const char* text_;
};

class AdminFaults
  : public PlatformStandinTest
  , public testing::WithParamInterface<AdminCase>
{};

// Guards against a misspelt fault that a trial takes for set, and against one that is set in part.
TEST_P(AdminFaults, ChangeNothing)
{
  const auto before = Admin();
  const adapters::HttpReply reply = Call("PUT", "/admin", GetParam().json_);
  EXPECT_EQ(reply.status_, 400U);
  EXPECT_NE(reply.body_.find(GetParam().text_), std::string::npos) << reply.body_;
  EXPECT_EQ(Admin(), before);
}

INSTANTIATE_TEST_SUITE_P(Settings,
                         AdminFaults,
                         testing::Values(AdminCase{ "NotJson", "outage", "not a JSON object" },
                                         AdminCase{ "Array", "[]", "not a JSON object" },
                                         AdminCase{ "Unknown", R"({"delay_ms":5,"slow":1})", "no such setting: slow" },
                                         AdminCase{ "Flag", R"({"outage":1})", "true or false" },
                                         AdminCase{ "Negative", R"({"stale_ms":-1})", "a whole number" },
                                         AdminCase{ "TooLong", R"({"list_lag_ms":86400001})", "a whole number" }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::standin
