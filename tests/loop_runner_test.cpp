#include "adapters/loop_timer_service.h"
#include "entry/loop_runner.h"
#include "line_sink.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>
#include <stdexcept>

namespace ibisrock::entry {
namespace {

/// Where the exception comes from.
enum class Source : uint8_t
{
  Handler,
  Timer,
};

struct FailureCase
{
  const char* name_;
  Source source_;
  int failures_;
  bool isThrownAgain_;
};

class FailingHandlers : public testing::TestWithParam<FailureCase>
{};

/// Guards against a process that ends without a word, or whose timers stand still, because one handler has thrown, and
/// against one that goes on although hardly any handler works.
TEST_P(FailingHandlers, AreLoggedAndTheOthersRun)
{
  boost::asio::io_context loop{ 1 };
  adapters::LoopTimerService timers(loop);
  LineSink log;
  for (int i = 0; i < GetParam().failures_; i++) {
    auto fail = [] { throw std::runtime_error("no such shard"); };
    if (GetParam().source_ == Source::Timer) {
      timers.After(Millis(1 + i), fail);
    } else {
      boost::asio::post(loop, fail);
    }
  }
  bool hasRun = false;
  timers.After(Millis(100), [&] { hasRun = true; });
  if (GetParam().isThrownAgain_) {
    EXPECT_THROW(RunLoop(loop, timers, log), std::runtime_error);
  } else {
    RunLoop(loop, timers, log);
    EXPECT_TRUE(hasRun);
    EXPECT_EQ(log.Count("event=handler_failed reason=\"no such shard\""), GetParam().failures_);
  }
}

INSTANTIATE_TEST_SUITE_P(LoopRunner,
                         FailingHandlers,
                         testing::Values(FailureCase{ "OneHandler", Source::Handler, 1, false },
                                         FailureCase{ "SomeTimers", Source::Timer, 5, false },
                                         FailureCase{ "NearlyAll", Source::Handler, 30, true }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::entry
