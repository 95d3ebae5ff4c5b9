#include "review/lab/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kReadBytes = 64 * 1024;
// Below the ports that Linux gives to outgoing connections.
constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kLastPort = 32000;

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SetOption(int fd, int level, int name, int value) {
  (void)::setsockopt(fd, level, name, &value, sizeof(value));
}

// @return a bound socket, with the port it was bound to
std::pair<int, std::uint16_t> Bind(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  sockaddr_in address = LoopbackAddress(port);
  socklen_t size = sizeof(address);
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::_Exit(2);
  }
  return {fd, ntohs(address.sin_port)};
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

Message ParseHead(const std::string& head) {
  Message message;
  std::istringstream lines(head);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (message.first_line.empty()) {
      message.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    message.fields[ToLower(line.substr(0, colon))] =
        begin == std::string::npos ? "" : line.substr(begin);
  }
  return message;
}

}  // namespace

double SecondsSince(Clock::time_point from) {
  return std::chrono::duration<double>(Clock::now() - from).count();
}

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(ToLower(name));
  return found == fields.end() ? "" : found->second;
}

std::string Message::Word(int index) const {
  std::istringstream words(first_line);
  std::string word;
  for (int i = 0; i <= index; ++i) words >> word;
  return word;
}

int Message::Status() const {
  return first_line.rfind("HTTP/1.", 0) == 0 ? std::atoi(Word(1).c_str()) : 0;
}

Connection::~Connection() { ::close(fd_); }

std::shared_ptr<Connection> Connection::Open(std::uint16_t port,
                                             int receive_bytes) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_shared<Connection>(fd);
  if (receive_bytes > 0) SetOption(fd, SOL_SOCKET, SO_RCVBUF, receive_bytes);
  sockaddr_in address = LoopbackAddress(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    return nullptr;
  }
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  return connection;
}

void Connection::SetReadTimeout(milliseconds timeout) const {
  timeval value{};
  value.tv_sec = timeout.count() / 1000;
  value.tv_usec = timeout.count() % 1000 * 1000;
  (void)::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

bool Connection::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::Fill() {
  std::string chunk(kReadBytes, '\0');
  const ssize_t count = ::recv(fd_, chunk.data(), chunk.size(), 0);
  if (count <= 0) return false;
  buffer_.append(chunk, 0, static_cast<std::size_t>(count));
  return true;
}

std::optional<Message> Connection::Read(bool is_head_response) {
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) return std::nullopt;
  }
  Message message = ParseHead(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  if (is_head_response) return message;
  const std::size_t length =
      std::strtoul(message.Field("Content-Length").c_str(), nullptr, 10);
  message.body = ReadBytes(length);
  if (message.body.size() < length) return std::nullopt;
  return message;
}

std::string Connection::ReadBytes(std::size_t count) {
  while (buffer_.size() < count && Fill()) {
  }
  const std::string bytes = buffer_.substr(0, count);
  buffer_.erase(0, bytes.size());
  return bytes;
}

void Connection::Reset() {
  const linger immediately{1, 0};
  (void)::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediately,
                     sizeof(immediately));
  (void)::shutdown(fd_, SHUT_RDWR);
}

Listener::Listener(Handler handler) : handler_(std::move(handler)) { Listen(); }

void Listener::Listen() {
  const auto [fd, port] = Bind(port_);
  fd_ = fd;
  port_ = port;
  if (::listen(fd_, kBacklog) != 0) std::_Exit(2);
  std::thread([this, listening = fd_] {
    while (true) {
      const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) return;
      SetOption(accepted, IPPROTO_TCP, TCP_NODELAY, 1);
      std::thread(handler_, std::make_shared<Connection>(accepted)).detach();
    }
  }).detach();
}

void Listener::Pause() {
  (void)::shutdown(fd_, SHUT_RDWR);
  ::close(fd_);
}

void Listener::Resume() { Listen(); }

std::uint16_t FreePort() {
  static std::mt19937 generator(std::random_device{}());
  static std::set<std::uint16_t> given;
  while (true) {
    const auto port = std::uniform_int_distribution<std::uint16_t>(
        kFirstPort, kLastPort)(generator);
    if (!given.insert(port).second) continue;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = LoopbackAddress(port);
    const bool is_free =
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(fd);
    if (is_free) return port;
  }
}

std::string LoopbackEndpoint(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string mark = "@" + name + "@";
    for (std::size_t at = 0; (at = text.find(mark, at)) != std::string::npos;) {
      text.replace(at, mark.size(), value);
      at += value.size();
    }
  }
  return text;
}

}  // namespace review
