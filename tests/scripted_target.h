#ifndef IBISROCK_TESTS_SCRIPTED_TARGET_H
#define IBISROCK_TESTS_SCRIPTED_TARGET_H

#include "adapters/http_target_link.h"
#include "adapters/loop_timer_service.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace ibisrock::adapters {

namespace asio = boost::asio;

/// A target that answers the requests of each connection with given bytes, in order, and may close afterwards.
class ScriptedTarget
{
public:
  struct Step
  {
    std::string bytes_;
    bool closes_ = false;
  };

  ScriptedTarget(asio::io_context& aLoop, std::vector<Step> aSteps)
    : acceptor_(aLoop, { asio::ip::make_address("127.0.0.1"), 0 })
    , steps_(std::move(aSteps))
  {
    Accept();
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  size_t connections_ = 0;
  std::vector<std::string> heads_;

private:
  struct Connection
  {
    explicit Connection(asio::ip::tcp::socket aSocket)
      : socket_(std::move(aSocket))
    {
    }
    asio::ip::tcp::socket socket_;
    asio::streambuf input_;
  };

  void Accept()
  {
    acceptor_.async_accept([this](const boost::system::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (!aError) {
        connections_++;
        Serve(std::make_shared<Connection>(std::move(aSocket)));
        Accept();
      }
    });
  }

  void Serve(const std::shared_ptr<Connection>& aConnection)
  {
    asio::async_read_until(aConnection->socket_,
                           aConnection->input_,
                           "\r\n\r\n",
                           [this, aConnection](const boost::system::error_code& aError, size_t aSize) {
                             if (aError) {
                               return;
                             }
                             const auto data = aConnection->input_.data();
                             heads_.emplace_back(static_cast<const char*>(data.data()), aSize);
                             aConnection->input_.consume(aSize);
                             Answer(aConnection);
                           });
  }

  void Answer(const std::shared_ptr<Connection>& aConnection)
  {
    const Step step = next_ < steps_.size() ? steps_[next_] : Step{ "", true };
    next_++;
    boost::system::error_code ignored;
    asio::write(aConnection->socket_, asio::buffer(step.bytes_), ignored);
    if (step.closes_) {
      aConnection->socket_.close(ignored);
    } else {
      Serve(aConnection);
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  const std::vector<Step> steps_;
  size_t next_ = 0;
};

/// A link on a loop, which runs until a call has ended.
class LinkFixture
{
public:
  TargetOutcome Call(const std::string& aAddress, const std::string& aId = "r1", const std::string& aMethod = "GET")
  {
    auto request = std::make_shared<CallerRequest>();
    request->method_ = aMethod;
    request->target_ = "/a?b=1";
    request->host_ = "h";
    request->id_ = aId;
    request->fields_ = { { "X-Own", "kept" } };
    TargetOutcome outcome;
    bool ended = false;
    link_.Send({ TargetName("t"), TargetAddress(aAddress), request, Seconds(2) }, [&](TargetOutcome aOutcome) {
      outcome = std::move(aOutcome);
      ended = true;
    });
    while (!ended) {
      loop_.run_one();
    }
    return outcome;
  }

  /// Runs what is ready, so that closes by the target are seen.
  void Settle()
  {
    loop_.restart();
    loop_.run_for(std::chrono::milliseconds(20));
  }

  asio::io_context loop_;
  LoopTimerService timers_{ loop_ };
  HttpTargetLink link_{ loop_, timers_, HeaderNames() };
};

/// A target that answers a request with a prefix and then with the same bytes again and again, until the other end
/// closes.
class EndlessTarget
{
public:
  EndlessTarget(asio::io_context& aLoop, std::string aPrefix, const std::string& aRepeated)
    : acceptor_(aLoop, { asio::ip::make_address("127.0.0.1"), 0 })
    , socket_(aLoop)
    , prefix_(std::move(aPrefix))
  {
    constexpr size_t kBlock = 16 << 10;
    while (block_.size() < kBlock) {
      block_ += aRepeated;
    }
    acceptor_.async_accept(socket_, [this](const boost::system::error_code& aError) {
      if (!aError) {
        asio::async_write(socket_, asio::buffer(prefix_), [this](const auto& aFailure, size_t) { SendOn(aFailure); });
      }
    });
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  size_t sent_ = 0;
  bool isClosed_ = false;

private:
  void SendOn(const boost::system::error_code& aError)
  {
    isClosed_ = static_cast<bool>(aError);
    if (isClosed_) {
      return;
    }
    asio::async_write(socket_, asio::buffer(block_), [this](const auto& aFailure, size_t aCount) {
      sent_ += aCount;
      SendOn(aFailure);
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  const std::string prefix_;
  std::string block_;
};

} // namespace ibisrock::adapters

#endif
