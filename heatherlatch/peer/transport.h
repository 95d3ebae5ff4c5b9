// Links between entry hosts: websockets that carry `PeerMessage` frames.
//
// A link is admitted when its `Hello` proves the shared key. Both hosts may
// connect to one another; the link whose connecting side has the smaller
// incarnation is kept. A lost link is connected again with a growing, jittered
// delay. A malformed or oversize frame closes its link and nothing else. What
// waits to be sent on a link is bounded; above the bound `Send` refuses.
//
// One I/O thread runs all links and every handler. Handlers must not block.
//
// Thread safety: every method may be called from any thread. `Stop` must not be
// called from a handler.
#ifndef HEATHERLATCH_PEER_TRANSPORT_H_
#define HEATHERLATCH_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/peer/messages.h"

namespace heatherlatch {

enum class SendResult { kSent, kNoLink, kLinkFull };

enum class LinkLossReason {
  kClosed,
  kBadFrame,
  kKeyNotProven,
  kProtocolVersion,
  kReplaced,
  kStopped,
};

enum class TransportProblem { kListenFailed };
struct TransportError {
  TransportProblem problem = TransportProblem::kListenFailed;
  Endpoint endpoint;
  std::string detail;
};

struct TransportOptions {
  Endpoint listen;
  // Accepted keys, newest first. The first one signs; all are accepted, so a
  // key is rotated by publishing the new one on every host before the old one
  // is removed.
  std::vector<std::string> keys;
  Duration reconnect_min = std::chrono::milliseconds(100);
  Duration reconnect_max = std::chrono::seconds(2);
  std::size_t max_unsent_bytes = 16 * 1024 * 1024;  // For each link.
};

struct TransportHandlers {
  std::function<void(const HostDescription& peer)> on_link_up;
  std::function<void(const HostIncarnation& peer, LinkLossReason reason)>
      on_link_down;
  std::function<void(const HostIncarnation& peer, PeerMessage message)>
      on_message;
  // A link or connection was refused before it was admitted.
  std::function<void(const Endpoint& remote, LinkLossReason reason,
                     const FrameError* error)>
      on_refused;
};

struct TransportCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
};

class PeerTransport {
 public:
  PeerTransport(HostDescription self, TransportOptions options,
                TransportHandlers handlers);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Listens and starts the I/O thread.
  // @return TransportError where the endpoint cannot be listened on
  Result<void> Start();

  // Closes every link and ends the I/O thread.
  void Stop();

  // Replaces the endpoints to keep a link to. Links to others stay until they
  // are lost.
  void SetTargets(const std::vector<Endpoint>& targets);

  // Queues a message on the link to a peer.
  SendResult Send(const HostIncarnation& peer, const PeerMessage& message);

  // @return the peers with an admitted link
  std::vector<HostIncarnation> LinkedPeers() const;

  TransportCounters Counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PEER_TRANSPORT_H_
