#include "heatherlatch/traffic/caller_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "heatherlatch/traffic/client_connection.h"
#include "heatherlatch/traffic/http_status.h"
#include "platform/caller_fields.h"

namespace heatherlatch {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 8 * 1024;
// Requests of one connection that run at a time; more wait unread.
constexpr std::size_t kMaxDue = 8;
// Bytes kept of requests that wait unread.
constexpr std::size_t kMaxUnread = 64 * 1024;
// How long a caller may take to close its side after its last answer.
constexpr Duration kLingerLimit = std::chrono::seconds(1);

std::string_view AsView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

bool AsksToContinue(const http::request<http::string_body>& message) {
  return boost::beast::iequals(message[http::field::expect], "100-continue");
}

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   TrafficContext* context, LoadAsker* asker)
    : socket_(std::move(socket)),
      context_(context),
      asker_(asker),
      last_activity_(SteadyClock::now()) {}

void CallerConnection::Start() {
  SetLivenessOptions(&socket_);
  NewParser();
  ReadSome();
}

CallerLimits CallerConnection::Limits() const {
  return context_->routes ? context_->routes->limits : CallerLimits{};
}

void CallerConnection::NewParser() {
  const CallerLimits limits = Limits();
  parser_ = std::make_unique<Parser>();
  parser_->eager(true);
  parser_->header_limit(limits.max_header_bytes);
  parser_->body_limit(limits.max_body_bytes);
  header_seen_ = false;
}

void CallerConnection::ReadSome() {
  if (reading_ || !open_) return;
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        self->reading_ = false;
        self->OnRead(error, size);
      });
}

void CallerConnection::OnRead(const error_code& error, std::size_t size) {
  if (!open_) return;
  if (error) {
    OnCallerGone();
    return;
  }
  last_activity_ = SteadyClock::now();
  buffer_.commit(size);
  if (!accepts_requests_) buffer_.consume(buffer_.size());
  ParseRequests();
  if (open_ && buffer_.size() < kMaxUnread) ReadSome();
}

void CallerConnection::ParseRequests() {
  while (open_ && accepts_requests_ && due_.size() < kMaxDue &&
         buffer_.size() > 0) {
    error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more) {
      OnParseError(error);
      return;
    }
    if (parser_->is_header_done() && !header_seen_) OnHeader();
    if (parser_->is_done()) {
      OnRequest();
      continue;
    }
    if (error == http::error::need_more || used == 0) return;
  }
}

void CallerConnection::OnHeader() {
  header_seen_ = true;
  if (!AsksToContinue(parser_->get()) || parser_->is_done() || !due_.empty() ||
      writing_) {
    return;
  }
  outgoing_ += "HTTP/1.1 100 Continue\r\n\r\n";
  WriteAnswers();
}

void CallerConnection::OnParseError(const error_code& error) {
  if (error == http::error::header_limit) {
    RejectRequest(kHeaderTooLarge, error.message());
  } else if (error == http::error::body_limit) {
    RejectRequest(kPayloadTooLarge, error.message());
  } else {
    RejectRequest(kBadRequest, error.message());
  }
}

void CallerConnection::RejectRequest(unsigned status,
                                     const std::string& problem) {
  accepts_requests_ = false;
  const auto fields = wire::ReadCallerFields(parser_->get());
  context_->metrics.Count("requests", "rejected");
  context_->log.Write("request-rejected",
                      {{"request", fields.request_id},
                       {"status", static_cast<double>(status)},
                       {"problem", problem}});
  auto due = std::make_shared<Due>();
  due->close_after = true;
  due->answer = CallerAnswer{
      status, wire::OwnAnswerFields(fields.request_id, std::nullopt),
      problem + "\n", std::nullopt};
  due_.push_back(std::move(due));
  WriteAnswers();
}

CallerRequest CallerConnection::TakeRequest() {
  http::request<http::string_body> message = parser_->release();
  const auto fields = wire::ReadCallerFields(message);
  CallerRequest request;
  request.method = std::string(AsView(message.method_string()));
  request.target = std::string(AsView(message.target()));
  request.authority = std::string(AsView(message[http::field::host]));
  request.request_id = fields.request_id;
  request.wait = fields.wait;
  request.read_at = SteadyClock::now();
  request.has_body =
      message.find(http::field::content_length) != message.end() ||
      message.chunked();
  for (const auto& field : message) {
    const std::string_view name = AsView(field.name_string());
    if (!wire::IsForwarded(name)) continue;
    request.forwarded_fields.append(name).append(": ");
    request.forwarded_fields.append(AsView(field.value())).append("\r\n");
  }
  request.body = std::move(message.body());
  return request;
}

void CallerConnection::OnRequest() {
  auto due = std::make_shared<Due>();
  due->close_after = !parser_->keep_alive();
  due->is_old_protocol = parser_->get().version() < 11;
  accepts_requests_ = !due->close_after;
  CallerRequest request = TakeRequest();
  NewParser();
  due_.push_back(due);
  due->exchange = std::make_shared<Exchange>(
      context_, asker_, std::move(request),
      [self = shared_from_this(), due](CallerAnswer answer) {
        self->OnAnswer(due, std::move(answer));
      });
  // The answer may come at once and end the exchange.
  const std::shared_ptr<Exchange> exchange = due->exchange;
  exchange->Start();
}

void CallerConnection::OnAnswer(const std::shared_ptr<Due>& due,
                                CallerAnswer answer) {
  due->answer = std::move(answer);
  due->exchange = nullptr;
  if (open_ && !writing_) WriteAnswers();
}

void CallerConnection::WriteAnswers() {
  if (writing_ || !open_) return;
  while (!due_.empty() && due_.front()->answer && !close_after_write_) {
    const std::shared_ptr<Due> due = std::move(due_.front());
    due_.pop_front();
    // The last answer of a stopping host tells the caller to go elsewhere.
    const bool last =
        due_.empty() && (context_->stopping || !accepts_requests_);
    const bool close = due->close_after || last;
    if (close) accepts_requests_ = false;
    close_after_write_ = close;
    AppendAnswer(*due, close, &outgoing_);
  }
  if (outgoing_.empty()) return;
  writing_ = true;
  asio::async_write(
      socket_, asio::buffer(outgoing_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnWritten(error);
      });
}

void CallerConnection::AppendAnswer(const Due& due, bool close,
                                    std::string* out) const {
  const CallerAnswer& answer = *due.answer;
  *out += "HTTP/1.1 " + std::to_string(answer.status) + " ";
  *out +=
      AsView(http::obsolete_reason(static_cast<http::status>(answer.status)));
  *out += "\r\n" + answer.fields;
  if (close) {
    *out += "Connection: close\r\n";
  } else if (due.is_old_protocol) {
    *out += "Connection: keep-alive\r\n";
  }
  if (answer.unsent_length) {
    if (!answer.unsent_length->empty()) {
      *out += "Content-Length: " + *answer.unsent_length + "\r\n";
    }
    *out += "\r\n";
    return;
  }
  *out += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
  *out += answer.body;
}

void CallerConnection::OnWritten(const error_code& error) {
  writing_ = false;
  outgoing_.clear();
  if (!open_) return;
  if (error) {
    OnCallerGone();
    return;
  }
  last_activity_ = SteadyClock::now();
  if (close_after_write_) {
    error_code ignored;  // The caller may have closed the connection already.
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    send_closed_ = true;
    buffer_.consume(buffer_.size());
    ReadSome();
    return;
  }
  WriteAnswers();
  ParseRequests();
  if (buffer_.size() < kMaxUnread) ReadSome();
}

void CallerConnection::CheckTimes(TimePoint now) {
  if (!open_) return;
  const Duration quiet = now - last_activity_;
  const CallerLimits limits = Limits();
  if (send_closed_) {
    if (quiet > kLingerLimit) Close();
    return;
  }
  if (IsBusy()) return;
  const bool in_request = parser_->got_some() || buffer_.size() > 0;
  if (in_request && quiet > limits.header_timeout) {
    RejectRequest(kRequestTimeout, "the request was not whole in time");
  } else if (!in_request && quiet > limits.idle_timeout) {
    Close();
  }
}

void CallerConnection::FinishUp() {
  if (!open_) return;
  accepts_requests_ = false;
  if (!IsBusy() && !send_closed_) Close();
}

void CallerConnection::OnCallerGone() {
  for (const std::shared_ptr<Due>& due : due_) {
    if (due->exchange) due->exchange->Abandon();
  }
  due_.clear();
  Close();
}

void CallerConnection::Close() {
  if (!open_) return;
  open_ = false;
  error_code ignored;  // The connection is given up in any case.
  socket_.close(ignored);
}

}  // namespace heatherlatch
