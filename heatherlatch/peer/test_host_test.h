// A transport on loopback that records the calls of its handlers.
#ifndef HEATHERLATCH_PEER_TEST_HOST_TEST_H_
#define HEATHERLATCH_PEER_TEST_HOST_TEST_H_

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "heatherlatch/peer/transport.h"

namespace heatherlatch::peer_testing {

inline constexpr Duration kEventuallyTimeout = std::chrono::seconds(30);

// Polls until `condition` holds, at most for `kEventuallyTimeout`.
// @return whether it holds
inline bool Eventually(const std::function<bool()>& condition) {
  const TimePoint deadline = SteadyClock::now() + kEventuallyTimeout;
  while (SteadyClock::now() < deadline) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return condition();
}

struct RefusedLink {
  LinkLossReason reason;
  std::optional<FrameError> error;
};

// A transport that listens on a free port and records the calls of its
// handlers.
class TestHost {
 public:
  explicit TestHost(const std::string& name, std::uint64_t nonce = 1,
                    TransportOptions options = DefaultOptions()) {
    self_.incarnation = {HostName(name), nonce};
    self_.region = RegionName("r1");
    self_.zone = ZoneName("r1-a");
    self_.peer_endpoint = options.listen;
    TransportHandlers handlers;
    handlers.on_link_up = [this](const HostDescription& peer) {
      const std::lock_guard<std::mutex> lock(mutex_);
      link_ups_.push_back(peer.incarnation);
    };
    handlers.on_link_down = [this](const HostIncarnation& peer,
                                   LinkLossReason reason) {
      const std::lock_guard<std::mutex> lock(mutex_);
      link_downs_.emplace_back(peer, reason);
    };
    handlers.on_message = [this](const HostIncarnation& peer,
                                 PeerMessage message) {
      if (on_message_) on_message_(peer, message);
      const std::lock_guard<std::mutex> lock(mutex_);
      messages_.push_back(std::move(message));
    };
    handlers.on_link_refused = [this](const Endpoint&, LinkLossReason reason,
                                      const FrameError* error) {
      const std::lock_guard<std::mutex> lock(mutex_);
      refused_.push_back({reason, error == nullptr
                                      ? std::nullopt
                                      : std::optional<FrameError>(*error)});
    };
    transport_ =
        std::make_unique<PeerTransport>(self_, std::move(options), handlers);
  }

  static TransportOptions DefaultOptions() {
    TransportOptions options;
    options.listen = {"127.0.0.1", 0};
    options.keys = {"shared key"};
    options.reconnect_max = std::chrono::milliseconds(200);
    // Long, so that a slow test machine does not close links as silent.
    options.max_silence = std::chrono::minutes(10);
    return options;
  }

  TestHost& Start() {
    const bool started = boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(transport_->Start());
          return true;
        },
        [] { return false; });
    REQUIRE(started);
    return *this;
  }

  void ConnectTo(const TestHost& other) {
    transport_->SetTargets({other.endpoint()});
  }
  Endpoint endpoint() const { return transport_->ListenEndpoint(); }
  const HostIncarnation& incarnation() const { return self_.incarnation; }
  PeerTransport& transport() { return *transport_; }
  void OnMessage(
      std::function<void(const HostIncarnation&, const PeerMessage&)> handler) {
    on_message_ = std::move(handler);
  }

  bool IsLinkedTo(const TestHost& other) const {
    return transport_->LinkedPeers() ==
           std::vector<HostIncarnation>{other.incarnation()};
  }
  std::vector<RefusedLink> Refused() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return refused_;
  }
  std::vector<PeerMessage> Messages() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return messages_;
  }
  std::vector<HostIncarnation> LinkUps() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return link_ups_;
  }
  std::vector<std::pair<HostIncarnation, LinkLossReason>> LinkDowns() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return link_downs_;
  }

 private:
  HostDescription self_;
  mutable std::mutex mutex_;
  std::vector<HostIncarnation> link_ups_;
  std::vector<std::pair<HostIncarnation, LinkLossReason>> link_downs_;
  std::vector<PeerMessage> messages_;
  std::vector<RefusedLink> refused_;
  std::function<void(const HostIncarnation&, const PeerMessage&)> on_message_;
  std::unique_ptr<PeerTransport> transport_;
};

}  // namespace heatherlatch::peer_testing

#endif  // HEATHERLATCH_PEER_TEST_HOST_TEST_H_
