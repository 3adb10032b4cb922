#include "adapters/http_server.h"

#include "adapters/api_error.h"
#include "adapters/caller_server.h"
#include "adapters/loop_timer_service.h"
#include "adapters/worker_pool.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cctype>
#include <exception>
#include <string_view>
#include <thread>
#include <utility>

namespace ibisrock::adapters {

namespace {

/// Largest header that is read. Only a sender that is not a caller of ours sends more.
constexpr size_t kLargestHeader = 8 << 10;

std::string_view
FieldOf(const CallerRequest& aRequest, std::string_view aName)
{
  for (const HeaderField& field : aRequest.fields_) {
    if (IsSameName(field.name_, aName)) {
      return field.value_;
    }
  }
  return {};
}

HttpReply
BodyTooLarge(size_t aLimit)
{
  return NotRunReply(413, "too-large", "the body has more than " + std::to_string(aLimit) + " bytes");
}

/// The refusal of a request that is over a limit, or no value.
std::optional<HttpReply>
CheckLimits(const CallerRequest& aRequest, const HttpServerSettings& aSettings)
{
  size_t size = aRequest.host_.size();
  for (const HeaderField& field : aRequest.fields_) {
    size += field.name_.size() + field.value_.size();
  }
  if (size > aSettings.maxHeader_) {
    return NotRunReply(413, "too-large", "the header has more than " + std::to_string(aSettings.maxHeader_) + " bytes");
  }
  if (aRequest.isChunked_) {
    return NotRunReply(411, "length-required", "a body needs the header Content-Length, not Transfer-Encoding");
  }
  return std::nullopt;
}

HttpRequest
MakeRequest(const CallerRequest& aRequest)
{
  const size_t question = aRequest.target_.find('?');
  return { aRequest.method_,
           aRequest.target_.substr(0, question),
           question == std::string::npos ? "" : aRequest.target_.substr(question + 1),
           *aRequest.body_,
           [&aRequest](const char* aName) { return std::string(FieldOf(aRequest, aName)); },
           aRequest.peer_ };
}

CallerReply
ToCallerReply(HttpReply aReply)
{
  CallerReply reply;
  reply.status_ = aReply.status_;
  reply.fields_.push_back({ "Content-Type", aReply.contentType_ });
  for (auto& [name, value] : aReply.headers_) {
    reply.closes_ = reply.closes_ || (IsSameName(name, "Connection") && value == "close");
    if (!IsSameName(name, "Connection")) {
      reply.fields_.push_back({ name, value });
    }
  }
  reply.body_ = std::make_shared<std::string>(std::move(aReply.body_));
  return reply;
}

/// Runs the handler on a request within the limits, and turns an exception into a 500.
HttpReply
Answer(const CallerRequest& aRequest, const HttpServerSettings& aSettings, const HttpHandler& aHandler)
{
  if (auto refusal = CheckLimits(aRequest, aSettings)) {
    return *refusal;
  }
  try {
    return aHandler(MakeRequest(aRequest));
  } catch (const std::exception& error) {
    return { 500, "text/plain", {}, std::string("internal error: ") + error.what() + "\n" };
  }
}

/// The reply to a request that could not be read.
CallerReply
MakeFaultReply(RequestFault aFault, size_t aMaxBody)
{
  switch (aFault) {
    case RequestFault::BodyTooLarge:
      return ToCallerReply(BodyTooLarge(aMaxBody));
    case RequestFault::TooSlow:
      return ToCallerReply(NotRunReply(408, "too-slow", "the request did not arrive in time"));
    default:
      return ToCallerReply(NotRunReply(400, "malformed", "the request could not be read"));
  }
}

} // namespace

class HttpServer::Impl
{
public:
  Impl(HttpServerSettings aSettings, HttpHandler aHandler)
    : settings_(std::move(aSettings))
    , handler_(std::move(aHandler))
    , workers_(std::make_unique<WorkerPool>(settings_.minThreads_, settings_.maxThreads_))
  {
  }

  ~Impl()
  {
    workers_.reset();
    work_.reset();
    loop_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  bool Listen(const SocketAddress& aAddress, LastReason& aReason)
  {
    CallerServer::Settings settings;
    settings.address_ = aAddress;
    // Nothing is taken out of the header, because the handler looks for its own fields.
    settings.names_ = { "", "", "", "", "", "", "" };
    settings.backlog_ = static_cast<int>(settings_.backlog_);
    settings.makeFaultReply_ = [this](RequestFault aFault) { return MakeFaultReply(aFault, settings_.maxBody_); };
    server_ = CallerServer::Create(
      loop_,
      timers_,
      std::move(settings),
      [this](std::shared_ptr<const CallerRequest> aRequest, CallerServer::OnReply aOnReply) {
        Dispatch(std::move(aRequest), std::move(aOnReply));
        return CallerServer::OnLeft();
      },
      aReason);
    if (!server_) {
      return false;
    }
    server_->SetLimits({ .maxHeader_ = kLargestHeader,
                         .maxBody_ = settings_.maxBody_,
                         .headerTimeout_ = settings_.readTimeout_,
                         .bodyTimeout_ = settings_.readTimeout_,
                         .idleTimeout_ = settings_.keepAlive_ });
    thread_ = std::thread([this] { loop_.run(); });
    return true;
  }

private:
  void Dispatch(std::shared_ptr<const CallerRequest> aRequest, CallerServer::OnReply aOnReply)
  {
    workers_->Add([this, request = std::move(aRequest), onReply = std::move(aOnReply)] {
      auto reply = std::make_shared<CallerReply>(ToCallerReply(Answer(*request, settings_, handler_)));
      boost::asio::post(loop_, [onReply, reply] { onReply(std::move(*reply)); });
    });
  }

  const HttpServerSettings settings_;
  const HttpHandler handler_;
  boost::asio::io_context loop_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{ loop_.get_executor() };
  LoopTimerService timers_{ loop_ };
  std::unique_ptr<CallerServer> server_;
  std::unique_ptr<WorkerPool> workers_;
  std::thread thread_;
};

HttpServer::HttpServer(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

HttpServer::~HttpServer() = default;

std::optional<std::unique_ptr<HttpServer>>
HttpServer::Create(const HttpServerSettings& aSettings, HttpHandler aHandler, LastReason& aReason)
{
  auto address = ParseSocketAddress(aSettings.address_, aReason);
  if (!address) {
    return std::nullopt;
  }
  auto impl = std::make_unique<Impl>(aSettings, std::move(aHandler));
  if (!impl->Listen(*address, aReason)) {
    return std::nullopt;
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

} // namespace ibisrock::adapters
