// One connection to another entry host, from its opening to its end.
//
// Thread safety: `Frame` and `TryReserve` may be called from any thread, the
// rest belongs to the I/O thread.
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

// Bytes that a payload takes on the wire, with the websocket frame header.
std::size_t WireBytes(std::size_t payload, bool masked);

class Link {
 public:
  Link(ConnectionPtr connection, LinkRole role, Endpoint remote,
       TimePoint opened_at);

  const ConnectionPtr& connection() const { return connection_; }
  LinkRole role() const { return role_; }
  // The endpoint that was connected to, or that the connection came from.
  const Endpoint& remote() const { return remote_; }
  TimePoint opened_at() const { return opened_at_; }
  bool masks_frames() const { return role_ == LinkRole::kConnecting; }

  // The handshake.
  const std::string& own_nonce() const { return own_nonce_; }
  const std::string& peer_nonce() const { return peer_nonce_; }
  void SetPeerNonce(std::string nonce) { peer_nonce_ = std::move(nonce); }
  bool admitted() const { return admitted_; }
  void Admit(HostDescription peer);
  // The host at the other end, once admitted.
  const HostDescription& peer() const { return peer_; }

  // Why this host closes the link; none while it does not.
  const std::optional<LinkLossReason>& close_reason() const {
    return close_reason_;
  }
  void SetCloseReason(LinkLossReason reason) { close_reason_ = reason; }

  // Counts a payload against the bound of unsent bytes, with the memory that a
  // frame takes besides, until the frame made of it is written or dropped.
  // @return whether there was room
  bool TryReserve(std::size_t payload, std::size_t max_unsent);

  // Makes a websocket frame of a payload that was reserved before.
  WebsocketMessagePtr MakeFrame(std::string payload);

  // Silence, counted in checks at equal intervals so that a pause of this
  // process counts once.
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
