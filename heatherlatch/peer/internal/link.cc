#include "heatherlatch/peer/internal/link.h"

#include <utility>

namespace heatherlatch::peer_internal {
namespace {

// Memory of a queued frame in addition to its payload.
constexpr std::size_t kFrameOverheadBytes = 384;
// Largest payloads with a 7-bit and a 16-bit length (RFC 6455, 5.2).
constexpr std::size_t kMaxShortPayloadBytes = 125;
constexpr std::size_t kMaxMediumPayloadBytes = 65535;

}  // namespace

std::size_t WireBytes(std::size_t payload, bool masked) {
  constexpr std::size_t kBasicHeaderBytes = 2;
  constexpr std::size_t kMaskBytes = 4;
  std::size_t header = kBasicHeaderBytes + (masked ? kMaskBytes : 0);
  if (payload > kMaxMediumPayloadBytes) {
    header += sizeof(std::uint64_t);
  } else if (payload > kMaxShortPayloadBytes) {
    header += sizeof(std::uint16_t);
  }
  return header + payload;
}

Link::Link(ConnectionPtr connection, LinkRole role, Endpoint remote,
           TimePoint opened_at)
    : connection_(std::move(connection)),
      role_(role),
      remote_(std::move(remote)),
      opened_at_(opened_at),
      own_nonce_(MakePeerNonce()),
      unsent_bytes_(std::make_shared<std::atomic<std::size_t>>(0)),
      processor_(/*secure=*/false, role == LinkRole::kAccepting,
                 /*manager=*/nullptr, masking_keys_) {}

void Link::Admit(HostDescription peer) {
  admitted_ = true;
  peer_ = std::move(peer);
}

bool Link::TryReserve(std::size_t payload, std::size_t max_unsent) {
  const std::size_t bytes = payload + kFrameOverheadBytes;
  const std::size_t before = unsent_bytes_->fetch_add(bytes);
  if (before + bytes <= max_unsent) return true;
  unsent_bytes_->fetch_sub(bytes);
  return false;
}

WebsocketMessagePtr Link::MakeFrame(std::string payload) {
  const std::size_t reserved = payload.size() + kFrameOverheadBytes;
  const auto unframed = std::make_shared<WebsocketMessage>(nullptr);
  unframed->set_opcode(websocketpp::frame::opcode::binary);
  unframed->get_raw_payload() = std::move(payload);
  // The library releases a message once it is written or its connection ends.
  const auto release = [unsent = unsent_bytes_,
                        reserved](WebsocketMessage* message) {
    unsent->fetch_sub(reserved);
    delete message;
  };
  const WebsocketMessagePtr framed(new WebsocketMessage(nullptr), release);
  processor_.prepare_data_frame(unframed, framed);
  return framed;
}

}  // namespace heatherlatch::peer_internal
