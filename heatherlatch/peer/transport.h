// Links between entry hosts: websockets that carry `PeerMessage` frames.
//
// A link is admitted when its `Hello` proves the shared key (peer_key.h). If
// two hosts connect to one another, the link whose connecting side has the
// smaller incarnation is kept, and of two links with the same connecting side
// the one that this side admitted last. A link to another incarnation at the
// same host name or peer endpoint is closed when a newer one is admitted.
// Messages sent on a link that went down may be lost, even if another link
// replaces it: the handlers then report the peer down (`kReplaced`) and up
// again.
//
// A lost link is reconnected with jittered exponential backoff. A link on which
// nothing arrives for `max_silence` is closed; an idle link is kept alive by
// websocket pings. A malformed or oversize frame closes its own link only. The
// unsent bytes of each link are bounded by `max_unsent_bytes`; above the bound
// `Send` returns `kLinkFull`.
//
// Example:
//   PeerTransport transport(self, options, handlers);
//   Result<void> started = transport.Start();
//   transport.SetTargets(membership.LinkTargets());
//   SendResult sent = transport.Send(owner, AcquireSlot{...});
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

enum class SendResult {
  kQueued,  // Queued; it may still be lost with its link.
  kNoLink,
  kLinkFull,
  kTooLarge,  // The frame would exceed `kMaxFrameBytes`.
};

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
  // Shared keys, newest first, at most `kMaxPeerKeys`. A link is admitted if
  // the two hosts have a key in common, so a key is rotated host by host: the
  // new one is added everywhere before the old one is removed anywhere.
  std::vector<std::string> keys;
  Duration reconnect_min = std::chrono::milliseconds(100);
  Duration reconnect_max = std::chrono::seconds(2);
  std::size_t max_unsent_bytes = std::size_t{16} * 1024 * 1024;  // Per link.
  // A connection that is not admitted within this time is closed.
  Duration admission_timeout = std::chrono::seconds(5);
  // An admitted link on which nothing is received for this time is closed.
  Duration max_silence = std::chrono::seconds(5);
};

struct TransportHandlers {
  std::function<void(const HostDescription& peer)> on_link_up;
  std::function<void(const HostIncarnation& peer, LinkLossReason reason)>
      on_link_down;
  std::function<void(const HostIncarnation& peer, PeerMessage message)>
      on_message;
  // A link was refused before it was admitted, or received a malformed frame.
  // `error` is the problem of the frame; null for other reasons.
  std::function<void(const Endpoint& remote, LinkLossReason reason,
                     const FrameError* error)>
      on_link_refused;
};

struct TransportCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t connections = 0;  // Open now, admitted or not.
};

class PeerTransport {
 public:
  PeerTransport(HostDescription self, TransportOptions options,
                TransportHandlers handlers);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Listens and starts the I/O thread.
  // @return TransportError if the transport cannot listen on the endpoint
  Result<void> Start();

  // Sends the queued messages, closes every link and ends the I/O thread.
  void Stop();

  // @return the endpoint that is listened on, with the port that the system
  //     chose if the options have port 0; valid after `Start`
  Endpoint ListenEndpoint() const;

  // Replaces the set of endpoints that the transport keeps a link to. Existing
  // links to other endpoints stay until they are lost.
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
