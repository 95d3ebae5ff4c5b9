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
                   LoadAsker* asker);

  void Start();

  // Closes the connection where its caller is too slow or idle for too long.
  void CheckTimes(TimePoint now);

  // Takes no further request, and closes after the answers that are due. What
  // the caller has sent beyond them counts as not read.
  void FinishUp();

  bool IsOpen() const { return open_; }
  bool IsBusy() const { return !due_.empty() || writing_; }

 private:
  using Parser = http::request_parser<http::string_body>;

  // A request whose answer is due.
  struct Due {
    std::shared_ptr<Exchange> exchange;
    std::optional<CallerAnswer> answer;
    bool close_after = false;
    bool is_old_protocol = false;  // HTTP/1.0.
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
  void OnAnswer(const std::shared_ptr<Due>& due, CallerAnswer answer);
  void WriteAnswers();
  void AppendAnswer(const Due& due, bool close, std::string* out) const;
  void OnWritten(const boost::system::error_code& error);
  void OnCallerGone();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  TrafficContext* context_;
  LoadAsker* asker_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  bool header_seen_ = false;
  std::deque<std::shared_ptr<Due>> due_;
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
