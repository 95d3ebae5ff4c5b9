#include "heatherlatch/peer/transport.h"

#include <algorithm>
#include <atomic>
#include <map>

#include "heatherlatch/peer/peer_key.h"
#include "heatherlatch/peer/test_host_test.h"

namespace heatherlatch {
namespace {

using peer_testing::Eventually;
using peer_testing::TestHost;

bool AreLinked(const TestHost& a, const TestHost& b) {
  return a.IsLinkedTo(b) && b.IsLinkedTo(a);
}

// @return whether a message is delivered in both directions
bool ExchangeWorks(TestHost& a, TestHost& b) {
  const std::size_t before_a = a.Messages().size();
  const std::size_t before_b = b.Messages().size();
  a.transport().Send(b.incarnation(), CancelAcquire{1});
  b.transport().Send(a.incarnation(), CancelAcquire{2});
  return Eventually([&] {
    return a.Messages().size() > before_a && b.Messages().size() > before_b;
  });
}

TransportOptions WithKeys(std::vector<std::string> keys) {
  TransportOptions options = TestHost::DefaultOptions();
  options.keys = std::move(keys);
  return options;
}

TEST_CASE("two linked hosts exchange messages") {
  TestHost a("a");
  TestHost b("b");
  a.Start();
  b.Start();
  a.ConnectTo(b);
  REQUIRE(Eventually([&] { return AreLinked(a, b); }));
  CHECK(ExchangeWorks(a, b));
  CHECK(a.transport().Send({HostName("c"), 1}, CancelAcquire{}) ==
        SendResult::kNoLink);
  ConfigurationOffer offer;
  offer.document.yaml = std::string(kMaxFrameBytes, 'x');
  CHECK(a.transport().Send(b.incarnation(), offer) == SendResult::kTooLarge);
  offer.document.yaml = std::string(kMaxFrameBytes - 100, 'x');
  CHECK(a.transport().Send(b.incarnation(), offer) == SendResult::kQueued);
  CHECK(Eventually([&] { return b.Messages().size() == 2; }));
}

TEST_CASE("a heartbeat arrives with its sender and its groups") {
  TestHost a("a");
  TestHost b("b");
  a.Start();
  b.Start();
  a.ConnectTo(b);
  REQUIRE(Eventually([&] { return AreLinked(a, b); }));
  Heartbeat heartbeat;
  heartbeat.from.incarnation = a.incarnation();
  heartbeat.from.zone = ZoneName("r1-a");
  heartbeat.groups = {{{ServiceName("s"), ZoneName("z")}, {60, 4, 3, {}}}};
  a.transport().Send(b.incarnation(), heartbeat);
  REQUIRE(Eventually([&] { return b.Messages().size() == 1; }));
  const auto received = std::get<Heartbeat>(b.Messages().front());
  CHECK(received.from.incarnation == a.incarnation());
  CHECK(received.from.zone == ZoneName("r1-a"));
  CHECK(received.groups.at(0).group == heartbeat.groups.at(0).group);
  CHECK(received.groups.at(0).load.waiting == 3);
}

TEST_CASE("two hosts that connect to one another at once keep one link") {
  for (int round = 0; round < 10; ++round) {
    TestHost a("a");
    TestHost b("b");
    a.Start();
    b.Start();
    a.ConnectTo(b);
    b.ConnectTo(a);
    REQUIRE(Eventually([&] {
      return AreLinked(a, b) && a.transport().Counters().connections == 1 &&
             b.transport().Counters().connections == 1;
    }));
    CHECK(ExchangeWorks(a, b));
    CHECK(a.LinkUps().size() == a.LinkDowns().size() + 1);
    CHECK(b.LinkUps().size() == b.LinkDowns().size() + 1);
  }
}

TEST_CASE("two endpoints that lead to one host result in one stable link") {
  TransportOptions any_address = TestHost::DefaultOptions();
  any_address.listen.address = "0.0.0.0";
  TestHost a("a");
  TestHost b("b", 1, any_address);
  a.Start();
  b.Start();
  const Endpoint alias{"127.0.0.2", b.endpoint().port};
  a.transport().SetTargets({{"127.0.0.1", alias.port}, alias});
  REQUIRE(Eventually([&] {
    return AreLinked(a, b) && a.transport().Counters().connections == 1;
  }));
  // Longer than the longest delay before a reconnect.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK(a.LinkUps().size() <= 2);
  CHECK(ExchangeWorks(a, b));
}

TEST_CASE("a host without the key is refused") {
  TestHost a("a", 1, WithKeys({"one key"}));
  TestHost b("b", 1, WithKeys({"another key"}));
  a.Start();
  b.Start();
  a.ConnectTo(b);
  REQUIRE(Eventually([&] { return !a.Refused().empty(); }));
  REQUIRE(Eventually([&] { return !b.Refused().empty(); }));
  CHECK(a.Refused().front().reason == LinkLossReason::kKeyNotProven);
  CHECK(b.Refused().front().reason == LinkLossReason::kKeyNotProven);
  CHECK(a.LinkUps().empty());
  CHECK(b.LinkUps().empty());
}

TEST_CASE("a key is rotated host by host") {
  const std::vector<std::vector<std::string>> steps = {
      {"old"}, {"new", "old"}, {"new"}};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    for (std::size_t j = 0; j < steps.size(); ++j) {
      TestHost a("a", 1, WithKeys(steps[i]));
      TestHost b("b", 1, WithKeys(steps[j]));
      a.Start();
      b.Start();
      a.ConnectTo(b);
      const bool neighbours = i + 1 >= j && j + 1 >= i;
      if (neighbours) {
        CHECK(Eventually([&] { return AreLinked(a, b); }));
      } else {
        CHECK(Eventually([&] { return !a.Refused().empty(); }));
        CHECK(a.LinkUps().empty());
      }
    }
  }
}

TEST_CASE("a proof is not valid on another link") {
  const std::vector<std::string> keys = {"key"};
  const std::string nonce_a = MakePeerNonce();
  const std::string nonce_b = MakePeerNonce();
  KeyProofInput input{LinkRole::kConnecting, nonce_a, nonce_b, {}};
  const std::string proof = MakeKeyProof(keys, input);
  CHECK(CheckKeyProof(keys, input, proof));
  CHECK_FALSE(CheckKeyProof(keys, input, ""));
  CHECK_FALSE(CheckKeyProof(keys, input, proof.substr(1)));
  KeyProofInput other = input;
  other.role = LinkRole::kAccepting;
  CHECK_FALSE(CheckKeyProof(keys, other, proof));
  other = input;
  std::swap(other.own_nonce, other.peer_nonce);
  CHECK_FALSE(CheckKeyProof(keys, other, proof));
  other = input;
  other.description.region = RegionName("elsewhere");
  CHECK_FALSE(CheckKeyProof(keys, other, proof));
}

TEST_CASE("a peer that restarts is linked to as another incarnation",
          "[promise-07]") {
  TestHost a("a");
  a.Start();
  auto first = std::make_unique<TestHost>("b", 1);
  first->Start();
  a.ConnectTo(*first);
  REQUIRE(Eventually([&] { return AreLinked(a, *first); }));
  TransportOptions same_endpoint = TestHost::DefaultOptions();
  same_endpoint.listen = first->endpoint();
  first.reset();
  TestHost second("b", 2, same_endpoint);
  second.Start();
  REQUIRE(Eventually([&] { return AreLinked(a, second); }));
  REQUIRE(a.LinkDowns().size() == 1);
  CHECK(a.LinkDowns().front().first.nonce == 1);
  CHECK(ExchangeWorks(a, second));
}

TEST_CASE("a stop sends the queued messages before it closes the links",
          "[promise-09]") {
  TestHost a("a");
  TestHost b("b");
  a.Start();
  b.Start();
  a.ConnectTo(b);
  REQUIRE(Eventually([&] { return AreLinked(a, b); }));
  constexpr int kMessages = 500;
  for (int i = 0; i < kMessages; ++i) {
    a.transport().Send(b.incarnation(), KeyHandover{a.incarnation(), {}, true});
  }
  a.transport().Send(b.incarnation(), Leaving{a.incarnation()});
  a.transport().Stop();
  REQUIRE(Eventually([&] { return !b.LinkDowns().empty(); }));
  CHECK(b.LinkDowns().front().second == LinkLossReason::kStopped);
  REQUIRE(b.Messages().size() == kMessages + 1);
  CHECK(std::holds_alternative<Leaving>(b.Messages().back()));
}

TEST_CASE("messages from many threads arrive once and in order",
          "[promise-05]") {
  constexpr std::size_t kThreads = 6;
  constexpr std::size_t kMessages = 400;
  TestHost a("a");
  TestHost b("b");
  a.Start();
  b.Start();
  a.ConnectTo(b);
  REQUIRE(Eventually([&] { return AreLinked(a, b); }));
  std::vector<std::thread> threads;
  for (std::size_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&a, &b, thread] {
      for (std::uint64_t i = 0; i < kMessages; ++i) {
        a.transport().Send(b.incarnation(),
                           CancelAcquire{thread * 1000000 + i});
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  REQUIRE(
      Eventually([&] { return b.Messages().size() == kThreads * kMessages; }));
  std::map<std::uint64_t, std::uint64_t> next;
  for (const PeerMessage& message : b.Messages()) {
    const CallId call = std::get<CancelAcquire>(message).call;
    CHECK(next[call / 1000000]++ == call % 1000000);
  }
}

TEST_CASE("a port in use is reported as a TransportError") {
  TestHost a("a");
  a.Start();
  TransportOptions options = TestHost::DefaultOptions();
  options.listen = a.endpoint();
  HostDescription self;
  self.incarnation = {HostName("b"), 1};
  PeerTransport transport(self, options, {});
  bool failed = false;
  boost::leaf::try_handle_all([&] { return transport.Start(); },
                              [&](const TransportError& error) {
                                failed = error.problem ==
                                             TransportProblem::kListenFailed &&
                                         error.endpoint == options.listen;
                              },
                              [] {});
  CHECK(failed);
}

}  // namespace
}  // namespace heatherlatch
