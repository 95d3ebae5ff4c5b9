// One caller's HTTP/1.1 connection.
//
// Reads requests ahead of their answers, answers in the order of the requests,
// and keeps reading while requests run, so that a caller that leaves is seen at
// once. Bodies are decoded and sent on with a length.
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_CALLER_CONNECTION_H_
#define HEATHERLATCH_TRAFFIC_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "heatherlatch/traffic/exchange.h"

namespace heatherlatch {

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket, TrafficContext* context,
                   LoadProber* prober);

  void Start();

  // Closes the connection where its caller is too slow or idle for too long.
  void CheckTimeouts(TimePoint now);

  // Takes no further request, and closes after the answers that are due. What
  // the caller has sent beyond them counts as not read.
  void Drain();

  bool IsOpen() const { return open_; }
  bool IsBusy() const { return !pending_.empty() || writing_; }

 private:
  using Parser = http::request_parser<http::string_body>;

  // A request whose answer is due.
  struct PendingResponse {
    std::shared_ptr<Exchange> exchange;
    std::optional<CallerResponse> response;
    bool close_after = false;
    bool is_http_1_0 = false;  // HTTP/1.0.
  };

  CallerLimits Limits() const;
  void NewParser();
  void ReadSome();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void ParseRequests();
  void OnHeader();
  void OnParseError(const boost::system::error_code& error);
  void OnRequest();
  CallerRequest TakeRequest();
  void RejectRequest(unsigned status, const std::string& problem);
  void OnResponse(const std::shared_ptr<PendingResponse>& pending,
                  CallerResponse response);
  void WriteResponses();
  void AppendResponse(const PendingResponse& pending, bool close,
                      std::string* out) const;
  void OnWritten(const boost::system::error_code& error);
  void OnCallerDisconnected();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  TrafficContext* context_;
  LoadProber* prober_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  bool header_seen_ = false;
  std::deque<std::shared_ptr<PendingResponse>> pending_;
  std::string outgoing_;
  bool open_ = true;
  bool reading_ = false;
  bool writing_ = false;
  bool accepts_requests_ = true;  // False after a request that closes.
  bool close_after_write_ = false;
  bool send_closed_ = false;
  TimePoint last_activity_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_CALLER_CONNECTION_H_
