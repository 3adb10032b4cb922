#include "adapters/http_target_link.h"
#include "adapters/loop_timer_service.h"
#include "free_port.h"
#include "router_fixture.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

namespace ibisrock {
namespace {

/// While it lives, this process can open no further files or sockets.
class NoDescriptors
{
public:
  NoDescriptors()
  {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int lowest = open("/dev/null", O_RDONLY | O_CLOEXEC);
    close(lowest);
    const rlimit limit{ static_cast<rlim_t>(lowest), before_.rlim_max };
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }

  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

private:
  rlimit before_{};
};

enum class Obstacle : uint8_t
{
  None,
  NoListener,
  NoDescriptors,
};

struct ReachabilityCase
{
  const char* name_;
  Obstacle obstacle_;
  Reachability expected_;
};

class CheckOfATarget : public testing::TestWithParam<ReachabilityCase>
{};

/// Guards against a lack of descriptors in this process that is taken for the crash of a target.
TEST_P(CheckOfATarget, TellsWhoseFaultItIs)
{
  boost::asio::io_context loop{ 1 };
  adapters::LoopTimerService timers(loop);
  boost::asio::ip::tcp::acceptor listener(loop, { boost::asio::ip::address_v4::loopback(), 0 });
  const ReservedPort reserved;
  const uint16_t port =
    GetParam().obstacle_ == Obstacle::NoListener ? reserved.Port() : listener.local_endpoint().port();
  adapters::HttpTargetLink link(loop, timers, {});
  std::optional<Reachability> result;
  {
    std::optional<NoDescriptors> none;
    if (GetParam().obstacle_ == Obstacle::NoDescriptors) {
      none.emplace();
    }
    link.CheckReachable(TargetName("t"),
                        TargetAddress("127.0.0.1:" + std::to_string(port)),
                        [&result](Reachability aResult) { result = aResult; });
    for (int i = 0; i < 10'000 && !result; i++) {
      loop.restart();
      loop.run_for(Millis(1));
    }
  }
  ASSERT_TRUE(result);
  EXPECT_EQ(*result, GetParam().expected_);
}

INSTANTIATE_TEST_SUITE_P(
  TargetLink,
  CheckOfATarget,
  testing::Values(ReachabilityCase{ "Listening", Obstacle::None, Reachability::Reachable },
                  ReachabilityCase{ "NotListening", Obstacle::NoListener, Reachability::NoListener },
                  ReachabilityCase{ "NoDescriptorsLeft", Obstacle::NoDescriptors, Reachability::Unknown }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against sound requests that are refused as crashing, because an instance without descriptors could not check
/// the targets whose connections it has lost.
TEST(CrashWatch, LossThatCouldNotBeCheckedIsNoCrash)
{
  tests::RouterFixture fixture;
  fixture.SetRoutes({ tests::RouterFixture::RelayRoute(RequestKind::NonIdempotent) });
  fixture.SetTargets({ "pool" }, 1);
  fixture.Submit("/relay/x");
  fixture.link_.unknown_.insert("pool/0");
  fixture.link_.End(0, tests::Failure(Verdict::MayHaveRun, Reason::ConnectionLost));
  fixture.timers_.Advance(Seconds(5));
  EXPECT_EQ(fixture.router_.Crashes().Size(), 0U);
}

} // namespace
} // namespace ibisrock
