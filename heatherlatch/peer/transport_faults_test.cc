#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <random>

#include "heatherlatch/peer/test_host_test.h"
#include "heatherlatch/peer/transport.h"

namespace heatherlatch {
namespace {

using peer_testing::Eventually;
using peer_testing::TestHost;
using std::chrono::milliseconds;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A socket that listens on a free port of loopback.
class Listener {
 public:
  Listener() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(::bind(socket_, generic, size) == 0);
    REQUIRE(::listen(socket_, 16) == 0);
    REQUIRE(::getsockname(socket_, generic, &size) == 0);
    port_ = ntohs(address.sin_port);
  }
  ~Listener() { Close(); }
  void Close() {
    ::shutdown(socket_, SHUT_RDWR);
    if (!closed_.exchange(true)) ::close(socket_);
  }
  int Accept() const { return ::accept(socket_, nullptr, nullptr); }
  Endpoint endpoint() const { return {"127.0.0.1", port_}; }

 private:
  int socket_;
  std::uint16_t port_ = 0;
  std::atomic<bool> closed_{false};
};

int ConnectTo(const Endpoint& endpoint) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(endpoint.port);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  REQUIRE(::connect(socket, generic, sizeof(address)) == 0);
  return socket;
}

void WriteAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto written =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (written <= 0) return;
    sent += static_cast<std::size_t>(written);
  }
}

// Forwards one connection to a host; can stop reading and inject bytes.
class Relay {
 public:
  explicit Relay(const Endpoint& target)
      : thread_([this, target] { Accept(target); }) {}
  ~Relay() {
    paused_ = false;
    listener_.Close();
    for (const int socket : {client_.load(), host_.load()}) {
      if (socket >= 0) ::shutdown(socket, SHUT_RDWR);
    }
    thread_.join();
  }
  Endpoint endpoint() const { return listener_.endpoint(); }
  void Pause() { paused_ = true; }
  // Sends bytes to the connecting host as if they came from the other host.
  void Inject(const std::string& bytes) { WriteAll(client_, bytes); }

 private:
  void Accept(const Endpoint& target) {
    client_ = listener_.Accept();
    if (client_ < 0) return;
    host_ = ConnectTo(target);
    std::thread reverse([this] { ForwardBytes(host_, client_); });
    ForwardBytes(client_, host_);
    reverse.join();
    ::close(client_);
    ::close(host_);
  }
  void ForwardBytes(int from, int to) {
    char buffer[4096];
    while (true) {
      while (paused_) std::this_thread::sleep_for(milliseconds(1));
      const auto size = ::recv(from, buffer, sizeof(buffer), 0);
      if (size <= 0) break;
      while (paused_) std::this_thread::sleep_for(milliseconds(1));
      WriteAll(to, std::string(buffer, static_cast<std::size_t>(size)));
    }
    ::shutdown(to, SHUT_RDWR);
  }

  Listener listener_;
  std::atomic<bool> paused_{false};
  std::atomic<int> client_{-1};
  std::atomic<int> host_{-1};
  std::thread thread_;
};

// Three hosts: `a` is linked to `b` through a relay and to `c` directly.
struct RelayedHosts {
  explicit RelayedHosts(TransportOptions options = TestHost::DefaultOptions())
      : a("a", 1, std::move(options)) {
    a.Start();
    b.Start();
    c.Start();
    relay = std::make_unique<Relay>(b.endpoint());
    a.transport().SetTargets({relay->endpoint(), c.endpoint()});
    REQUIRE(
        Eventually([&] { return a.transport().LinkedPeers().size() == 2; }));
    REQUIRE(Eventually([&] { return b.IsLinkedTo(a) && c.IsLinkedTo(a); }));
  }
  // @return whether the link between `a` and `c` still delivers messages
  bool OtherLinkWorks() {
    const std::size_t before = c.Messages().size();
    const bool sent = a.transport().Send(c.incarnation(), CancelAcquire{}) ==
                      SendResult::kQueued;
    return sent && Eventually([&] { return c.Messages().size() > before; });
  }

  TestHost a;
  TestHost b{"b"};
  TestHost c{"c"};
  std::unique_ptr<Relay> relay;
};

std::string ServerFrame(const std::string& payload) {
  return std::string("\x82") + static_cast<char>(payload.size()) + payload;
}

TEST_CASE("a malformed frame closes its link and no other", "[promise-05]") {
  const std::string not_cbor = "\xff\xff";
  const std::string no_kind = "\xa0";
  for (const std::string& payload : {not_cbor, no_kind}) {
    RelayedHosts hosts;
    hosts.relay->Inject(ServerFrame(payload));
    REQUIRE(Eventually([&] { return !hosts.a.LinkDowns().empty(); }));
    CHECK(hosts.a.LinkDowns().front().first == hosts.b.incarnation());
    CHECK(hosts.a.LinkDowns().front().second == LinkLossReason::kBadFrame);
    REQUIRE(hosts.a.Refused().size() == 1);
    REQUIRE(hosts.a.Refused().front().error.has_value());
    const FrameError error = *hosts.a.Refused().front().error;
    CHECK(error.problem == (payload == not_cbor ? FrameProblem::kNotCbor
                                                : FrameProblem::kMissingField));
    CHECK(hosts.a.LinkDowns().size() == 1);
    CHECK(hosts.OtherLinkWorks());
  }
}

TEST_CASE("an oversize frame closes its link and no other") {
  RelayedHosts hosts;
  // The header of a binary frame with a payload of 16 MiB.
  hosts.relay->Inject(
      std::string("\x82\x7f\x00\x00\x00\x00\x01\x00\x00\x00", 10));
  REQUIRE(Eventually([&] { return !hosts.a.LinkDowns().empty(); }));
  CHECK(hosts.a.LinkDowns().front().second == LinkLossReason::kBadFrame);
  CHECK(hosts.OtherLinkWorks());
}

TEST_CASE("a peer that stops reading fills only its own queue") {
  TransportOptions options = TestHost::DefaultOptions();
  options.max_unsent_bytes = std::size_t{1024} * 1024;
  RelayedHosts hosts(options);
  hosts.relay->Pause();
  ConfigurationOffer offer;
  offer.document.yaml = std::string(std::size_t{100} * 1024, 'x');
  // The socket buffers on the path take fewer offers than this.
  constexpr int kMaxOffers = 1000;
  SendResult sent = SendResult::kQueued;
  for (int i = 0; i < kMaxOffers && sent == SendResult::kQueued; ++i) {
    sent = hosts.a.transport().Send(hosts.b.incarnation(), offer);
    // Gives the sockets time to take queued bytes before the queue counts as
    // full.
    if (sent == SendResult::kLinkFull) {
      std::this_thread::sleep_for(milliseconds(100));
      sent = hosts.a.transport().Send(hosts.b.incarnation(), offer);
    }
  }
  CHECK(sent == SendResult::kLinkFull);
  CHECK(hosts.OtherLinkWorks());
  CHECK(hosts.a.LinkDowns().empty());
}

TEST_CASE("a silent link is closed") {
  TransportOptions options = TestHost::DefaultOptions();
  options.max_silence = std::chrono::seconds(2);
  RelayedHosts hosts(options);
  hosts.relay->Pause();
  REQUIRE(Eventually([&] { return !hosts.a.LinkDowns().empty(); }));
  CHECK(hosts.a.LinkDowns().front().first == hosts.b.incarnation());
}

TEST_CASE(
    "a peer that accepts a connection and sends nothing is never linked") {
  TestHost a("a");
  TestHost b("b");
  a.Start();
  b.Start();
  Listener silent;
  a.transport().SetTargets({silent.endpoint(), b.endpoint()});
  REQUIRE(Eventually([&] { return a.IsLinkedTo(b); }));
  CHECK(a.transport().Counters().connections == 2);
  a.transport().Stop();
}

TEST_CASE("random bytes from other clients affect no admitted link") {
  TestHost a("a");
  TestHost b("b");
  a.Start();
  b.Start();
  a.ConnectTo(b);
  REQUIRE(Eventually([&] { return a.IsLinkedTo(b) && b.IsLinkedTo(a); }));
  const std::string upgrade =
      "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
  std::mt19937 random(20261204);
  for (int round = 0; round < 60; ++round) {
    const int socket = ConnectTo(b.endpoint());
    if (round % 2 == 0) WriteAll(socket, upgrade);
    std::string garbage(random() % 9000, '\0');
    for (char& byte : garbage) byte = static_cast<char>(random());
    WriteAll(socket, garbage);
    ::close(socket);
  }
  REQUIRE(
      Eventually([&] { return b.transport().Counters().connections == 1; }));
  CHECK(a.LinkDowns().empty());
  CHECK(b.LinkDowns().empty());
  CHECK(b.LinkUps().size() == 1);
}

}  // namespace
}  // namespace heatherlatch
