#include "heatherlatch/traffic/caller_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <limits>
#include <utility>
#include <variant>

#include "heatherlatch/routing/request_target.h"
#include "heatherlatch/routing/unrouted_decision.h"
#include "heatherlatch/traffic/client_connection.h"
#include "heatherlatch/traffic/http_status.h"
#include "platform/caller_fields.h"

namespace heatherlatch {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 8 * 1024;
// Requests of one connection in progress at a time; further ones stay unparsed.
constexpr std::size_t kMaxPipelinedRequests = 8;
// Bytes of unparsed requests above which the connection is not read.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
// Bytes of one request that are held while no limits are known.
constexpr std::uint64_t kMaxHeldHeaderBytes = 64 * 1024;
constexpr std::uint64_t kMaxHeldBodyBytes = 1024 * 1024;
// The most that the body of one request may hold of the host's budget, as a
// share of what is left of it. A body of 64 MiB, the largest that users publish
// as their limit, fits a host with 160 MB if no other is held.
constexpr double kRequestBodyShare = 6;
// Bodies from this size on are written without being copied.
constexpr std::size_t kMinUncopiedBodyBytes = 16 * 1024;
constexpr std::string_view kLineEnd = "\r\n";
// Empty lines before one request line that are skipped; RFC 9112, section 2.2,
// asks for at least one.
constexpr std::size_t kMaxEmptyLineBytes = 1024;
// How long a caller may take to close its side after the last response.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

std::string_view AsView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::string_view AsView(const boost::beast::flat_buffer& buffer) {
  const auto bytes = buffer.cdata();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

bool ExpectsContinue(const http::request<http::string_body>& message) {
  return message.version() >= 11 &&
         boost::beast::iequals(message[http::field::expect], "100-continue");
}

// @return whether the end of the request is unknown: its last transfer coding
//     is not "chunked" (RFC 9112, section 6.3)
bool HidesLength(const http::request_parser<http::string_body>& parser) {
  const auto& message = parser.get();
  return message.find(http::field::transfer_encoding) != message.end() &&
         !parser.chunked();
}

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   TrafficContext* context, LoadProber* prober)
    : socket_(std::move(socket)),
      context_(context),
      prober_(prober),
      last_activity_(SteadyClock::now()) {}

void CallerConnection::Start() {
  SetLivenessOptions(&socket_);
  error_code error;
  socket_.non_blocking(true, error);
  if (error) {
    Close();
    return;
  }
  BeginRequest();
  ReadSome();
}

CallerLimits CallerConnection::Limits() const {
  return context_->routes ? context_->routes->limits : CallerLimits{};
}

void CallerConnection::BeginRequest() {
  request_.header_limit.reset();
  request_.body_limit.reset();
  request_.held = ByteReservation(context_->held_bytes);
  request_.empty_line_bytes = 0;
  request_.parsed_bytes = 0;
  request_.request_line_bytes = 0;
  header_seen_ = false;
  continue_due_ = false;
  parser_ = std::make_unique<Parser>();
  // The sizes are judged by `RejectIfTooLarge`.
  parser_->header_limit(std::numeric_limits<std::uint32_t>::max());
  parser_->body_limit(boost::none);
}

void CallerConnection::ApplyLimitsInForce() {
  if (!context_->routes || !context_->routes->states_limits) return;
  const CallerLimits& limits = context_->routes->limits;
  const std::uint64_t version = context_->routes->version;
  request_.header_limit = LargerLimit(
      request_.header_limit, SizeLimit{limits.max_header_bytes, version});
  request_.body_limit = LargerLimit(request_.body_limit,
                                    SizeLimit{limits.max_body_bytes, version});
}

void CallerConnection::ReadSome() {
  if (waits_for_bytes_ || !open_) return;
  waits_for_bytes_ = true;
  // A pending read would hold a position in the buffer, from which
  // `ParseRequests` takes requests meanwhile.
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& error) {
                       self->waits_for_bytes_ = false;
                       self->OnReadable(error);
                     });
}

void CallerConnection::OnReadable(error_code error) {
  if (!open_) return;
  std::size_t size = 0;
  if (!error) size = socket_.read_some(buffer_.prepare(kReadBytes), error);
  if (error == asio::error::would_block || error == asio::error::interrupted) {
    ReadSome();
    return;
  }
  if (error) {
    OnCallerDisconnected();
    return;
  }
  last_activity_ = SteadyClock::now();
  arrived_at_ = context_->EarliestArrival(last_activity_);
  buffer_.commit(size);
  if (!accepts_requests_) buffer_.consume(buffer_.size());
  ParseRequests();
  if (open_ && MayRead()) ReadSome();
}

bool CallerConnection::MayRead() const {
  if (buffer_.size() < kMaxUnparsedBytes) return true;
  // The parser needs the rest of a long header.
  return pending_.size() < kMaxPipelinedRequests && !parser_->is_header_done();
}

void CallerConnection::ParseRequests() {
  while (open_ && accepts_requests_ &&
         pending_.size() < kMaxPipelinedRequests && SkipEmptyLines()) {
    ApplyLimitsInForce();
    NoteRequestLine();
    error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    request_.parsed_bytes += used;
    if (error && error != http::error::need_more) {
      RejectRequest({kBadRequest, error.message()});
      return;
    }
    if (RejectIfTooLarge()) return;
    if (parser_->is_header_done() && !header_seen_ && !AcceptHeader()) return;
    if (parser_->is_done()) {
      OnRequest();
      continue;
    }
    if (error == http::error::need_more || used == 0) return;
  }
}

bool CallerConnection::SkipEmptyLines() {
  if (parser_->got_some()) return buffer_.size() > 0;
  while (AsView(buffer_).substr(0, kLineEnd.size()) == kLineEnd &&
         request_.empty_line_bytes < kMaxEmptyLineBytes) {
    buffer_.consume(kLineEnd.size());
    request_.empty_line_bytes += kLineEnd.size();
  }
  // A line end may be incomplete.
  return buffer_.size() > 0 && AsView(buffer_) != kLineEnd.substr(0, 1);
}

void CallerConnection::NoteRequestLine() {
  if (request_.request_line_bytes > 0) return;
  // The parser consumes nothing before the request line is complete.
  request_.request_line_bytes = AsView(buffer_).find('\n') + 1;
}

std::uint64_t CallerConnection::HeaderBytes() const {
  // Of an incomplete header, the parser may leave a part in the buffer.
  const std::uint64_t received =
      request_.parsed_bytes + (parser_->is_header_done() ? 0 : buffer_.size());
  return std::max(request_.request_line_bytes,
                  received - request_.request_line_bytes);
}

std::uint64_t CallerConnection::BodyBytes() const {
  return std::max<std::uint64_t>(parser_->content_length().value_or(0),
                                 parser_->get().body().size());
}

bool CallerConnection::RejectIfTooLarge() {
  if (!header_seen_ &&
      RejectBySize(
          JudgeSize(HeaderBytes(), request_.header_limit, kMaxHeldHeaderBytes),
          "header", kHeaderTooLarge)) {
    return true;
  }
  return parser_->is_header_done() &&
         (RejectBySize(
              JudgeSize(BodyBytes(), request_.body_limit, kMaxHeldBodyBytes),
              "body", kPayloadTooLarge) ||
          RejectByMemory());
}

bool CallerConnection::RejectByMemory() {
  if (request_.held.TryGrowTo(BodyBytes(), kRequestBodyShare)) return false;
  RejectRequest({kServiceUnavailable, "no memory is left for the body",
                 "memory", SizeLimit{context_->held_bytes->capacity(), 0},
                 kRetryAfter});
  return true;
}

bool CallerConnection::RejectBySize(const SizeVerdict& verdict,
                                    std::string_view limit_name,
                                    unsigned status) {
  const std::string part(limit_name);
  if (const auto* too_large = std::get_if<TooLarge>(&verdict)) {
    // A newer configuration may allow the size.
    if (!IsConfirmed(context_->table_confirmation, SteadyClock::now())) {
      RejectRequest({kServiceUnavailable,
                     "the " + part + " limit is not confirmed", limit_name,
                     too_large->limit, kRetryAfter});
      return true;
    }
    RejectRequest(
        {status, part + " limit exceeded", limit_name, too_large->limit, {}});
    return true;
  }
  if (const auto* undecidable = std::get_if<Undecidable>(&verdict)) {
    RejectRequest({kServiceUnavailable,
                   "the " + part + " limit is not known yet", limit_name,
                   SizeLimit{undecidable->max_held_bytes, 0}, kRetryAfter});
    return true;
  }
  return false;
}

bool CallerConnection::AcceptHeader() {
  header_seen_ = true;
  if (HidesLength(*parser_)) {
    RejectRequest({kBadRequest, "the transfer coding hides the length"});
    return false;
  }
  // Until here, each call parses no more than the header, so that the declared
  // length is judged before memory is reserved for the body.
  parser_->eager(true);
  // A caller that sends the body already does not wait.
  continue_due_ = ExpectsContinue(parser_->get()) && !parser_->is_done() &&
                  buffer_.size() == 0;
  SendContinueIfDue();
  return true;
}

void CallerConnection::SendContinueIfDue() {
  if (!continue_due_ || !pending_.empty() || writing_) return;
  continue_due_ = false;
  outgoing_ += "HTTP/1.1 100 Continue\r\n\r\n";
  WriteResponses();
}

void CallerConnection::RejectRequest(const Rejection& rejection) {
  accepts_requests_ = false;
  auto pending = std::make_shared<PendingResponse>();
  pending->close_after = true;
  pending->is_head = parser_->get().method() == http::verb::head;
  // What was read of the request is discarded.
  const auto fields = wire::ReadCallerFields(parser_->release());
  request_.held.Release();
  context_->metrics.Count("requests", "rejected");
  LogRejection(fields.request_id, rejection);
  pending->response = CallerResponse{
      rejection.status,
      wire::HostResponseFields(fields.request_id, rejection.retry_after),
      rejection.problem + "\n", std::nullopt};
  pending_.push_back(std::move(pending));
  context_->metrics.CountResponse(ResponseOrigin::kHost, rejection.status);
  WriteResponses();
}

void CallerConnection::LogRejection(const std::string& request_id,
                                    const Rejection& rejection) {
  const auto read = request_.parsed_bytes + buffer_.size();
  context_->log.Write(
      "request-rejected",
      {{"request", request_id},
       {"status", static_cast<double>(rejection.status)},
       {"problem", rejection.problem},
       {"limit", rejection.limit_name},
       {"limit_bytes", static_cast<double>(rejection.limit.bytes)},
       {"limit_version", static_cast<double>(rejection.limit.version)},
       {"read_bytes", static_cast<double>(read)},
       {"first_on_connection", request_.first_on_connection ? "yes" : "no"}});
}

CallerRequest CallerConnection::TakeRequest() {
  http::request<http::string_body> message = parser_->release();
  const auto fields = wire::ReadCallerFields(message);
  CallerRequest request;
  request.method = std::string(AsView(message.method_string()));
  request.target = std::string(AsView(message.target()));
  if (auto absolute = ParseAbsoluteTarget(request.target)) {
    message.set(http::field::host, absolute->authority);
    request.target = std::move(absolute->origin_form);
  }
  request.authority = std::string(AsView(message[http::field::host]));
  request.request_id = fields.request_id;
  request.time_budget = fields.time_budget;
  request.key = fields.key;
  request.read_at = arrived_at_;
  request.has_body =
      message.find(http::field::content_length) != message.end() ||
      message.chunked();
  for (const auto& field : message) {
    const std::string_view name = AsView(field.name_string());
    if (!wire::IsForwardedToServer(name)) continue;
    const std::string line =
        std::string(name) + ": " + std::string(AsView(field.value())) + "\r\n";
    request.forwarded_fields += line;
    if (!wire::IsIdentityField(name)) request.anonymous_fields += line;
  }
  if (!message.body().empty()) {
    request.body =
        std::make_shared<const std::string>(std::move(message.body()));
  }
  request.held = std::move(request_.held);
  return request;
}

void CallerConnection::OnRequest() {
  auto pending = std::make_shared<PendingResponse>();
  pending->close_after = !parser_->keep_alive();
  pending->is_http_1_0 = parser_->get().version() < 11;
  pending->is_head = parser_->get().method() == http::verb::head;
  accepts_requests_ = !pending->close_after;
  CallerRequest request = TakeRequest();
  request_.first_on_connection = false;
  BeginRequest();
  pending_.push_back(pending);
  StartExchange(pending, std::move(request));
}

void CallerConnection::StartExchange(
    const std::shared_ptr<PendingResponse>& pending, CallerRequest request) {
  pending->exchange = std::make_shared<Exchange>(
      context_, prober_, std::move(request),
      [self = shared_from_this(), pending](CallerResponse response) {
        self->OnResponse(pending, std::move(response));
      });
  // The exchange may respond within Start, which resets `pending->exchange`.
  const std::shared_ptr<Exchange> exchange = pending->exchange;
  exchange->Start();
}

void CallerConnection::OnResponse(
    const std::shared_ptr<PendingResponse>& pending, CallerResponse response) {
  pending->response = std::move(response);
  pending->exchange = nullptr;
  if (open_ && !writing_) WriteResponses();
}

void CallerConnection::WriteResponses() {
  if (writing_ || !open_) return;
  while (!pending_.empty() && pending_.front()->response &&
         !close_after_write_ && outgoing_body_.empty()) {
    const std::shared_ptr<PendingResponse> pending =
        std::move(pending_.front());
    pending_.pop_front();
    // While the host stops, the last response closes the connection, so that
    // the caller connects to another host.
    const bool last =
        pending_.empty() && (context_->stopping || !accepts_requests_);
    const bool close = pending->close_after || last;
    if (close) accepts_requests_ = false;
    close_after_write_ = close;
    AppendResponse(*pending, close);
    outgoing_held_.Absorb(std::move(pending->response->held));
  }
  if (outgoing_.empty()) return;
  writing_ = true;
  const std::array<asio::const_buffer, 2> bytes = {
      asio::buffer(outgoing_), asio::buffer(outgoing_body_)};
  asio::async_write(
      socket_, bytes,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnWritten(error);
      });
}

void CallerConnection::AppendResponse(PendingResponse& pending, bool close) {
  CallerResponse& response = *pending.response;
  outgoing_ += "HTTP/1.1 " + std::to_string(response.status) + " ";
  outgoing_ +=
      AsView(http::obsolete_reason(static_cast<http::status>(response.status)));
  outgoing_ += "\r\n" + response.fields;
  if (close) {
    outgoing_ += "Connection: close\r\n";
  } else if (pending.is_http_1_0) {
    outgoing_ += "Connection: keep-alive\r\n";
  }
  if (response.head_content_length) {
    if (!response.head_content_length->empty()) {
      outgoing_ += "Content-Length: " + *response.head_content_length + "\r\n";
    }
    outgoing_ += "\r\n";
    return;
  }
  outgoing_ +=
      "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
  if (pending.is_head) return;
  if (response.body.size() < kMinUncopiedBodyBytes) {
    outgoing_ += response.body;
  } else {
    outgoing_body_ = std::move(response.body);
  }
}

void CallerConnection::OnWritten(const error_code& error) {
  writing_ = false;
  outgoing_.clear();
  // Assignment of an empty string would keep the memory.
  std::string().swap(outgoing_body_);
  outgoing_held_.Release();
  if (!open_) return;
  if (error) {
    OnCallerDisconnected();
    return;
  }
  last_activity_ = SteadyClock::now();
  arrived_at_ = last_activity_;
  if (close_after_write_) {
    error_code ignored;  // The caller may have closed the connection already.
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    send_closed_ = true;
    buffer_.consume(buffer_.size());
    ReadSome();
    return;
  }
  WriteResponses();
  ParseRequests();
  SendContinueIfDue();
  if (MayRead()) ReadSome();
}

void CallerConnection::CheckTimeouts(TimePoint now) {
  if (!open_) return;
  const Duration idle_time = now - last_activity_;
  const CallerLimits limits = Limits();
  // Notes limits that are in force only until the next read.
  if (parser_->got_some()) ApplyLimitsInForce();
  if (send_closed_) {
    if (idle_time > kLingerTimeout) Close();
    return;
  }
  if (IsBusy()) return;
  const bool in_request = parser_->got_some() || buffer_.size() > 0;
  if (in_request && idle_time > limits.header_timeout) {
    RejectRequest({kRequestTimeout, "the request was not whole in time"});
  } else if (!in_request && idle_time > limits.idle_timeout) {
    Close();
  }
}

void CallerConnection::Drain() {
  if (!open_) return;
  accepts_requests_ = false;
  if (!IsBusy() && !send_closed_) Close();
}

void CallerConnection::OnHostStopping() {
  const auto in_progress = pending_;  // A request may end meanwhile.
  for (const std::shared_ptr<PendingResponse>& pending : in_progress) {
    if (pending->exchange) pending->exchange->OnHostStopping();
  }
}

void CallerConnection::EndRequests() {
  const auto in_progress = pending_;
  for (const std::shared_ptr<PendingResponse>& pending : in_progress) {
    const std::shared_ptr<Exchange> exchange = pending->exchange;
    if (exchange) exchange->EndWithHost();
  }
}

void CallerConnection::OnCallerDisconnected() {
  for (const std::shared_ptr<PendingResponse>& pending : pending_) {
    if (pending->exchange) pending->exchange->Abandon();
  }
  pending_.clear();
  Close();
}

void CallerConnection::Close() {
  if (!open_) return;
  open_ = false;
  error_code ignored;  // The connection is discarded in any case.
  socket_.close(ignored);
}

}  // namespace heatherlatch
