// TCP server for tests whose script sends arbitrary bytes, such as incomplete
// or malformed HTTP responses.
//
// Thread safety: the script runs in one thread per connection, so it must be
// safe to call from several threads at once.
#ifndef HEATHERLATCH_BACKEND_TESTING_RAW_SERVER_H_
#define HEATHERLATCH_BACKEND_TESTING_RAW_SERVER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "heatherlatch/base/endpoint.h"

namespace heatherlatch {

// One accepted connection, as a script uses it.
class RawConnection {
 public:
  RawConnection(int socket, int number) : socket_(socket), number_(number) {}

  // @return the head of the next request; empty if the connection ended first
  std::string ReadRequest() {
    std::string head;
    char byte = 0;
    while (head.find("\r\n\r\n") == std::string::npos &&
           recv(socket_, &byte, 1, 0) == 1) {
      head += byte;
    }
    return head.find("\r\n\r\n") == std::string::npos ? "" : head;
  }

  // @return the next `count` bytes; fewer if the connection ended first
  std::string ReadBytes(std::size_t count) {
    if (count == 0) return "";  // recv() may wait for data even then.
    std::string bytes(count, '\0');
    const ssize_t size = recv(socket_, bytes.data(), count, MSG_WAITALL);
    bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return bytes;
  }

  // @return whether the connection accepted all bytes
  bool Send(const std::string& bytes) const {
    const ssize_t sent =
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return sent == static_cast<ssize_t>(bytes.size());
  }

  // Limits the bytes that the kernel accepts before the peer reads them.
  void LimitSendBuffer(int bytes) const {
    setsockopt(socket_, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
  }

  // Closes the sending side of the connection.
  void ShutdownSend() const { shutdown(socket_, SHUT_WR); }

  // Makes the later close of the connection send a TCP reset.
  void Reset() const {
    const linger no_linger = {1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
  }

  // Sends a TCP reset at once. The connection is of no further use.
  void SendReset() const {
    sockaddr unspecified = {};
    unspecified.sa_family = AF_UNSPEC;
    static_cast<void>(connect(socket_, &unspecified, sizeof(unspecified)));
  }

  // @return the number of the connection, from 1, in the order of acceptance
  int number() const { return number_; }

 private:
  int socket_;
  int number_;
};

class RawServer {
 public:
  using Script = std::function<void(RawConnection&)>;

  // @param script  serves one connection, which is closed when it returns
  explicit RawServer(Script script) : script_(std::move(script)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Loopback();
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0) {
      std::abort();
    }
    listen(listener_, SOMAXCONN);
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
    acceptor_ = std::thread([this] { Accept(); });
  }

  ~RawServer() {
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const int socket : sockets_) shutdown(socket, SHUT_RDWR);
    }
    for (std::thread& thread : threads_) thread.join();
  }

  // Simulates a crash of the server process: closes all connections and stops
  // listening. May be called by a script.
  void Crash() {
    shutdown(listener_, SHUT_RDWR);
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int socket : sockets_) shutdown(socket, SHUT_RDWR);
  }

  const Endpoint& endpoint() const { return endpoint_; }
  // @return the number of connections accepted so far
  int connections() const { return connections_; }

 private:
  static sockaddr_in Loopback() {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  void Accept() {
    while (true) {
      const int socket = accept(listener_, nullptr, nullptr);
      if (socket < 0) return;
      const int number = ++connections_;
      const std::lock_guard<std::mutex> lock(mutex_);
      sockets_.push_back(socket);
      threads_.emplace_back([this, socket, number] { Serve(socket, number); });
    }
  }

  void Serve(int socket, int number) {
    RawConnection connection(socket, number);
    script_(connection);
    const std::lock_guard<std::mutex> lock(mutex_);
    for (int& open : sockets_) {
      if (open == socket) open = -1;
    }
    close(socket);
  }

  const Script script_;
  int listener_;
  Endpoint endpoint_;
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BACKEND_TESTING_RAW_SERVER_H_
