// Blocking TCP on loopback, and the parts of HTTP/1.1 that the stand-ins need.
#ifndef REVIEW_LAB_NET_H_
#define REVIEW_LAB_NET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// @return seconds from `from` until now
double SecondsSince(Clock::time_point from);

// One message: its first line, its fields with names in lower case, its body.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
  // @return the word of the first line at `index`, counted from 0
  std::string Word(int index) const;
  // @return the status of a response; 0 if the first line states none
  int Status() const;
};

class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // @param receive_bytes  size of the receive buffer; 0: the usual one
  // @return nothing if the endpoint refuses or does not answer
  static std::shared_ptr<Connection> Open(std::uint16_t port,
                                          int receive_bytes = 0);

  void SetReadTimeout(milliseconds timeout) const;
  // @return whether everything was handed to the kernel
  bool Send(const std::string& bytes) const;
  // @param is_head_response  whether no body follows, whatever the fields say
  // @return nothing at the end of the stream, after an error or a time-out
  std::optional<Message> Read(bool is_head_response = false);
  // @return the next bytes, `count` of them at most; empty as for `Read`
  std::string ReadBytes(std::size_t count);
  // Resets the connection.
  void Reset();

 private:
  bool Fill();

  int fd_;
  std::string buffer_;
};

// Accepts connections on a free port of 127.0.0.1, a thread for each.
class Listener {
 public:
  using Handler = std::function<void(const std::shared_ptr<Connection>&)>;

  explicit Listener(Handler handler);

  std::uint16_t port() const { return port_; }
  // Refuses connections until `Resume`.
  void Pause();
  void Resume();

 private:
  void Listen();

  Handler handler_;
  std::uint16_t port_ = 0;
  int fd_ = -1;
};

// @return a port of 127.0.0.1 that is free now
std::uint16_t FreePort();

std::string LoopbackEndpoint(std::uint16_t port);

// @return the text with "@name@" replaced for each pair
std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values);

}  // namespace review

#endif  // REVIEW_LAB_NET_H_
