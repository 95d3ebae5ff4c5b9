// State of one connection to another entry host.
//
// Thread safety: `MakeFrame` and `TryReserve` may be called from any thread,
// all other methods on the I/O thread only.
#ifndef HEATHERLATCH_PEER_INTERNAL_LINK_H_
#define HEATHERLATCH_PEER_INTERNAL_LINK_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "heatherlatch/peer/internal/websocket.h"
#include "heatherlatch/peer/peer_key.h"
#include "heatherlatch/peer/transport.h"

namespace heatherlatch::peer_internal {

// @param payload  bytes
// @return the bytes that the payload takes on the wire, including the header of
//     the websocket frame
std::size_t WireBytes(std::size_t payload, bool masked);

class Link {
 public:
  Link(ConnectionPtr connection, LinkRole role, Endpoint remote,
       TimePoint opened_at);

  const ConnectionPtr& connection() const { return connection_; }
  LinkRole role() const { return role_; }
  // The endpoint connected to, or the source of an accepted connection.
  const Endpoint& remote() const { return remote_; }
  TimePoint opened_at() const { return opened_at_; }
  bool masks_frames() const { return role_ == LinkRole::kConnecting; }

  // The handshake.
  const std::string& own_nonce() const { return own_nonce_; }
  const std::string& peer_nonce() const { return peer_nonce_; }
  void SetPeerNonce(std::string nonce) { peer_nonce_ = std::move(nonce); }
  bool admitted() const { return admitted_; }
  void Admit(HostDescription peer);
  // The host at the other end; valid once admitted.
  const HostDescription& peer() const { return peer_; }

  // Why this host closes the link; std::nullopt unless it does.
  const std::optional<LinkLossReason>& close_reason() const {
    return close_reason_;
  }
  void SetCloseReason(LinkLossReason reason) { close_reason_ = reason; }

  // Reserves memory for a payload and the overhead of its frame within the
  // bound on unsent bytes. The reservation ends when the frame made from the
  // payload is written or discarded.
  // @param payload  bytes
  // @param max_unsent  bytes
  // @return whether there was room; if not, nothing is reserved
  bool TryReserve(std::size_t payload, std::size_t max_unsent);

  // Makes a websocket frame from a payload reserved with `TryReserve`.
  WebsocketMessagePtr MakeFrame(std::string payload);

  // Periodic checks since the last received frame. Silence is counted in checks
  // rather than measured as time, so that a pause of this process counts once.
  void ResetSilentChecks() { silent_checks_ = 0; }
  int CountSilentCheck() { return ++silent_checks_; }

 private:
  ConnectionPtr connection_;
  LinkRole role_;
  Endpoint remote_;
  TimePoint opened_at_;
  std::string own_nonce_;
  std::string peer_nonce_;
  bool admitted_ = false;
  HostDescription peer_;
  std::optional<LinkLossReason> close_reason_;
  std::shared_ptr<std::atomic<std::size_t>> unsent_bytes_;
  int silent_checks_ = 0;
  MaskingKeys masking_keys_;
  WebsocketProcessor processor_;
};

using LinkPtr = std::shared_ptr<Link>;

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_LINK_H_
