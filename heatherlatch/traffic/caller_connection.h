// One caller's HTTP/1.1 connection.
//
// Reads pipelined requests before earlier ones have been responded to, and
// writes the responses in the order of the requests. Keeps reading while
// requests are in progress, so that a disconnect of the caller is detected at
// once. Decodes chunked bodies; they are forwarded with a Content-Length.
//
// A request is rejected with 413 or 431 only for a published limit: the largest
// in force since its first byte. Without a configuration, a request of which
// more would have to be held than a host does gets 503. Empty lines before a
// request are skipped, and an absolute-form target is forwarded in origin form.
// The host answers no request with a success of its own.
//
// Example:
//   auto connection = std::make_shared<CallerConnection>(std::move(socket),
//                                                        &context, &prober);
//   connection->Start();
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_CALLER_CONNECTION_H_
#define HEATHERLATCH_TRAFFIC_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "heatherlatch/admission/byte_budget.h"
#include "heatherlatch/admission/request_limits.h"
#include "heatherlatch/traffic/exchange.h"

namespace heatherlatch {

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket, TrafficContext* context,
                   LoadProber* prober);

  void Start();

  // Closes the connection if it has been idle for too long, or if the caller
  // does not close its side after the last response. Rejects a request that is
  // not received within the header timeout. To be called periodically.
  void CheckTimeouts(TimePoint now);

  // Accepts no further requests, and closes the connection once the pending
  // responses are written. Bytes received after the accepted requests are
  // discarded.
  void Drain();

  // Notes that the host began to stop.
  void OnHostStopping();
  // Ends the requests in progress, because the host ends, and writes their
  // responses.
  void EndRequests();

  bool IsOpen() const { return open_; }
  bool IsBusy() const { return !pending_.empty() || writing_; }

 private:
  using Parser = http::request_parser<http::string_body>;

  // An accepted request whose response has not been written.
  struct PendingResponse {
    std::shared_ptr<Exchange> exchange;
    std::optional<CallerResponse> response;
    bool close_after = false;
    bool is_http_1_0 = false;
    bool is_head = false;  // The method is HEAD: no body follows the response.
  };

  // What is known of the request being read.
  struct RequestInProgress {
    std::optional<SizeLimit> header_limit;  // Absent while none is known.
    std::optional<SizeLimit> body_limit;
    ByteReservation held;                  // For the body.
    std::size_t empty_line_bytes = 0;      // Skipped before the request line.
    std::uint64_t parsed_bytes = 0;        // Of head and body.
    std::uint64_t request_line_bytes = 0;  // 0 until it is complete.
    bool first_on_connection = true;
  };

  // Why a request is rejected, and what the caller is told.
  struct Rejection {
    unsigned status = 0;
    std::string problem;
    std::string_view limit_name = "none";  // Or "header", "body", "memory".
    SizeLimit limit = {};                  // Version 0: not published.
    std::optional<Duration> retry_after = std::nullopt;
  };

  CallerLimits Limits() const;
  void BeginRequest();
  void ApplyLimitsInForce();
  // Waits for bytes, and then reads them.
  void ReadSome();
  // @param error  of the wait
  void OnReadable(boost::system::error_code error);
  bool MayRead() const;
  void ParseRequests();
  // Skips empty lines before a request line.
  // @return whether the buffer begins with a part of a request
  bool SkipEmptyLines();
  void NoteRequestLine();
  // @return bytes of the fields or of the request line, whichever are more, as
  //     far as they were received
  std::uint64_t HeaderBytes() const;
  // @return bytes of the body, received or declared
  std::uint64_t BodyBytes() const;
  // @return whether the request was rejected for its size
  bool RejectIfTooLarge();
  bool RejectBySize(const SizeVerdict& verdict, std::string_view limit_name,
                    unsigned status);
  // Takes the bytes of the body from the host's budget.
  // @return whether the request was rejected because the budget is used up
  bool RejectByMemory();
  // @return false if the request was rejected
  bool AcceptHeader();
  // Asks for the body that the caller holds back, once the responses to earlier
  // requests are written.
  void SendContinueIfDue();
  void OnRequest();
  CallerRequest TakeRequest();
  void StartExchange(const std::shared_ptr<PendingResponse>& pending,
                     CallerRequest request);
  void RejectRequest(const Rejection& rejection);
  void LogRejection(const std::string& request_id, const Rejection& rejection);
  void OnResponse(const std::shared_ptr<PendingResponse>& pending,
                  CallerResponse response);
  void WriteResponses();
  // Appends a response to what is written next, and takes its body.
  void AppendResponse(PendingResponse& pending, bool close);
  void OnWritten(const boost::system::error_code& error);
  void OnCallerDisconnected();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  TrafficContext* context_;
  LoadProber* prober_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  RequestInProgress request_;
  bool header_seen_ = false;
  bool continue_due_ = false;  // The caller waits for 100 Continue.
  std::deque<std::shared_ptr<PendingResponse>> pending_;
  std::string outgoing_;
  std::string outgoing_body_;      // Follows `outgoing_`.
  ByteReservation outgoing_held_;  // For the bodies being written.
  bool open_ = true;
  bool waits_for_bytes_ = false;
  bool writing_ = false;
  // False after a request that ends the connection, or once draining.
  bool accepts_requests_ = true;
  bool close_after_write_ = false;
  bool send_closed_ = false;
  TimePoint last_activity_;
  TimePoint arrived_at_;  // The bytes read last, at the earliest.
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_CALLER_CONNECTION_H_
