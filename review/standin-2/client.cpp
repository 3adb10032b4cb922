#include "client.h"

#include <memory>
#include <utility>

namespace standin {

namespace {

/// Beyond its budget, a client waits a little for what is on its way.
constexpr int kSlackMs = 500;

} // namespace

Client::Client(ClientSettings aSettings, Record& aRecord)
  : settings_(std::move(aSettings))
  , record_(aRecord)
  , thread_([this] { Work(); })
{
}

Client::~Client()
{
  Stop();
}

void
Client::Stop()
{
  isOver_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
Client::Work()
{
  std::unique_ptr<Stream> stream;
  for (int number = 0; !isOver_; number++) {
    if (!stream || !stream->IsOpen() || stream->HasUnreadBytes()) {
      stream = std::make_unique<Stream>(Stream::Connect(settings_.port_));
    }
    const std::string id = settings_.name_ + "-" + std::to_string(number);
    Message request{ settings_.method_ + " " + settings_.path_ + " HTTP/1.1",
                     { { "Host", "shop.example" },
                       { "Request-Id", id },
                       { "Deadline-Ms", std::to_string(settings_.budgetMs_) },
                       { "Content-Length", std::to_string(settings_.body_.size()) } },
                     settings_.body_ };
    record_.Sent(id, settings_.method_);
    std::optional<Message> answer;
    if (stream->Send(request.Text())) {
      answer = stream->Read(settings_.budgetMs_ + kSlackMs);
    }
    record_.Answered(id, answer);
    if (!answer || answer->Get("Connection") == "close") {
      stream.reset();
    }
    SleepMs(settings_.pauseMs_);
  }
}

} // namespace standin
