#include "heatherlatch/traffic/client_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <utility>

namespace heatherlatch {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 16 * 1024;

// TCP keep-alive: an idle connection is probed after one second and then every
// second, and closed after two unacknowledged probes. The platform requires
// that a dead path is detected within three to four seconds.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
// Failed requests that a connection remembers, 1 KB of memory.
constexpr std::size_t kMaxFailedRequests = 128;

// How long sent bytes may stay unacknowledged; bounded as the keep-alive.
constexpr unsigned kUnacknowledgedMilliseconds = 2500;

void SetOption(int socket, int level, int name, int value) {
  // If the kernel lacks an option, its own longer limit applies.
  (void)::setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

std::string_view ToString(ResponseBound bound) {
  switch (bound) {
    case ResponseBound::kHead:
      return "head";
    case ResponseBound::kInterim:
      return "interim";
    case ResponseBound::kBody:
      return "body";
    case ResponseBound::kBudget:
      return "budget";
  }
  return "";
}

void SetLivenessOptions(asio::ip::tcp::socket* socket) {
  const int handle = socket->native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(kUnacknowledgedMilliseconds));
}

std::shared_ptr<ClientConnection> ClientConnection::Open(
    asio::io_context* io, const Endpoint& endpoint,
    std::shared_ptr<ByteBudget> budget) {
  std::shared_ptr<ClientConnection> connection(
      new ClientConnection(io, endpoint, std::move(budget)));
  connection->Connect();
  return connection;
}

void ClientConnection::Connect() {
  error_code error;
  const auto address = asio::ip::make_address(endpoint_.address, error);
  if (!error) socket_.open(asio::ip::tcp::v4(), error);
  if (error) {
    asio::post(socket_.get_executor(), [self = shared_from_this(), error] {
      self->OnConnected(error);
    });
    return;
  }
  SetLivenessOptions(&socket_);
  socket_.async_connect(
      {address, endpoint_.port},
      [self = shared_from_this()](const error_code& connect_error) {
        self->OnConnected(connect_error);
      });
}

void ClientConnection::OnConnected(const error_code& error) {
  if (!open_) return;
  if (error) {
    Close();
    Finish(NotSent{"connect: " + error.message(),
                   error == asio::error::connection_refused});
    return;
  }
  connected_ = true;
  if (done_) WriteRequest();
  ReadSome();
}

void ClientConnection::Call(OutgoingRequest request,
                            const ResponseBounds& bounds, CallDone done) {
  request_ = std::move(request);
  done_ = std::move(done);
  request_started_ = false;
  bounds_ = bounds;
  held_ = ByteReservation(budget_);
  transfer_.reset();
  interim_responses_ = 0;
  NewParser();
  if (!open_) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Finish(
          NotSent{"the connection was closed before the request was sent"});
    });
    return;
  }
  if (connected_) WriteRequest();
}

void ClientConnection::NewParser() {
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(kMaxResponseHeadBytes);
  parser_->body_limit(bounds_.max_body_bytes);
  parser_->skip(bounds_.is_head);
}

void ClientConnection::WriteRequest() {
  request_started_ = true;
  writing_ = true;
  std::array<asio::const_buffer, 2> bytes = {asio::buffer(request_.head)};
  if (request_.body) bytes[1] = asio::buffer(*request_.body);
  asio::async_write(socket_, bytes,
                    [self = shared_from_this(), body = request_.body](
                        const error_code& error, std::size_t) {
                      self->writing_ = false;
                      if (error && self->open_) {
                        self->Abort("write: " + error.message());
                      }
                    });
}

void ClientConnection::ReadSome() {
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        self->OnRead(error, size);
      });
}

void ClientConnection::OnRead(const error_code& error, std::size_t size) {
  if (!open_) return;
  if (error) {
    const bool clean_end = error == asio::error::eof;
    if (clean_end && done_ && parser_->got_some() && !parser_->is_done()) {
      error_code parse_error;
      parser_->put_eof(parse_error);
      if (!parse_error && parser_->is_done()) {
        Close();
        FinishResponse();
        return;
      }
    }
    Abort("read: " + error.message());
    return;
  }
  buffer_.commit(size);
  const TimePoint now = SteadyClock::now();
  transfer_ = Transfer{transfer_ ? transfer_->began_at : now, now,
                       (transfer_ ? transfer_->bytes : 0) + size};
  if (!done_ || !request_started_) {
    Abort("received bytes while no request was in progress");
    return;
  }
  ParseResponse();
  if (open_) ReadSome();
}

void ClientConnection::ParseResponse() {
  while (buffer_.size() > 0 && !parser_->is_done()) {
    if (!ParseSome()) return;
  }
  if (parser_->is_done()) FinishResponse();
}

bool ClientConnection::ParseSome() {
  const bool in_head = !parser_->is_header_done();
  if (!in_head && !HoldBody()) return false;
  error_code error;
  const std::size_t used = parser_->put(buffer_.data(), error);
  buffer_.consume(used);
  if (error == http::error::need_more) {
    // An incomplete head, or an incomplete line of the framing.
    if (buffer_.size() >= kMaxResponseHeadBytes) Cut(ResponseBound::kHead);
    return false;
  }
  if (error) {
    OnParseError(error);
    return false;
  }
  if (in_head && parser_->is_header_done()) return OnHead();
  return used > 0;
}

bool ClientConnection::OnHead() {
  const unsigned status = parser_->get().result_int();
  if (status >= 100 && status < 200) {
    if (++interim_responses_ > kMaxInterimResponses) {
      Cut(ResponseBound::kInterim);
      return false;
    }
    NewParser();
    return true;
  }
  parser_->eager(true);
  const auto length = parser_->content_length();
  return parser_->is_done() || !length || Hold(*length, kBodyShareWithLength);
}

bool ClientConnection::HoldBody() {
  if (parser_->content_length()) return true;  // Held since the head.
  return Hold(parser_->get().body().size() + buffer_.size(),
              kBodyShareWithoutLength);
}

bool ClientConnection::Hold(std::uint64_t bytes, double share) {
  if (bounds_.is_essential) {
    held_.GrowTo(bytes);
    return true;
  }
  if (held_.TryGrowTo(bytes, share)) return true;
  Cut(ResponseBound::kBudget);
  return false;
}

void ClientConnection::OnParseError(const error_code& error) {
  if (error == http::error::header_limit) {
    Cut(ResponseBound::kHead);
  } else if (error == http::error::body_limit) {
    Cut(ResponseBound::kBody);
  } else {
    Abort("invalid response: " + error.message());
  }
}

void ClientConnection::Cut(ResponseBound bound) {
  Abort("the response exceeds the bound of its " +
            std::string(ToString(bound)) + " with " +
            std::to_string(held_.size() + buffer_.size()) + " bytes held",
        bound);
}

void ClientConnection::FinishResponse() {
  // After an early response, the rest of the request is still being written, so
  // the connection cannot carry another one.
  const bool keep = parser_->keep_alive() && buffer_.size() == 0 && !writing_;
  if (!keep) Close();
  Finish(ServerResponse{parser_->release(), std::move(held_)});
}

void ClientConnection::Abort(const std::string& problem,
                             std::optional<ResponseBound> exceeded) {
  const bool sent = request_started_;
  Close();
  if (sent) {
    Finish(NoResponse{problem, exceeded});
  } else {
    Finish(NotSent{problem});
  }
}

void ClientConnection::Finish(CallResult result) {
  idle_since_ = SteadyClock::now();
  request_started_ = false;
  request_.body = nullptr;
  CallDone done = std::move(done_);
  done_ = nullptr;
  if (done) done(std::move(result));
}

void ClientConnection::RecordFailedRequest(std::string_view request_id) {
  if (!open_) return;
  failed_requests_.push_back(std::hash<std::string_view>()(request_id));
  if (failed_requests_.size() > kMaxFailedRequests && !done_) Close();
}

bool ClientConnection::MayRepeatResponseTo(std::string_view request_id) const {
  if (failed_requests_.empty()) return false;
  const std::size_t hash = std::hash<std::string_view>()(request_id);
  return std::find(failed_requests_.begin(), failed_requests_.end(), hash) !=
         failed_requests_.end();
}

void ClientConnection::Cancel() {
  done_ = nullptr;
  Close();
}

void ClientConnection::Close() {
  if (!open_) return;
  open_ = false;
  error_code ignored;  // The connection is discarded in any case.
  socket_.close(ignored);
}

}  // namespace heatherlatch
