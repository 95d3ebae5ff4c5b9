// Proof that both ends of a link hold the same shared key.
//
// Each end sends a fresh random nonce (`Challenge`). It then proves the key in
// its `Hello` by an HMAC-SHA256 under the key over
//   a fixed label, its role on the link, its own nonce, the peer's nonce and
//   its own description.
// The nonces prevent the replay of a recorded proof on another link, the role
// prevents the reflection of a proof to its sender, and the description cannot
// be altered in transit. The key itself is never sent.
//
// A proof contains one HMAC for each key of the host and is accepted if any of
// them matches any key of the receiver. This permits a rotation host by host:
// first [new, old] replaces [old] everywhere, then [new] replaces [new, old];
// hosts at neighbouring steps always have a key in common.
//
// HMAC is specified in RFC 2104; the exchange is challenge and response in both
// directions as in ISO/IEC 9798-4.
//
// Thread safety: pure functions, apart from the system's random generator.
#ifndef HEATHERLATCH_PEER_PEER_KEY_H_
#define HEATHERLATCH_PEER_PEER_KEY_H_

#include <string>
#include <string_view>
#include <vector>

#include "heatherlatch/membership/membership.h"

namespace heatherlatch {

inline constexpr std::size_t kPeerNonceBytes = 32;
// A rotation needs no more keys than this; further keys are ignored.
inline constexpr std::size_t kMaxPeerKeys = 4;

// Which end of a link a host is.
enum class LinkRole { kConnecting, kAccepting };

// What a proof covers.
struct KeyProofInput {
  LinkRole role = LinkRole::kConnecting;  // Of the proving host.
  std::string own_nonce;                  // Of the proving host.
  std::string peer_nonce;
  HostDescription description;  // Of the proving host.
};

// @return `kPeerNonceBytes` unpredictable bytes
std::string MakePeerNonce();

// @param keys  the keys of the proving host; at least one
// @return the HMAC of the input under each key, one after the other
std::string MakeKeyProof(const std::vector<std::string>& keys,
                         const KeyProofInput& input);

// @param keys  the keys of the checking host
// @param input  what the proof must cover, as seen by the proving host
// @return whether the proof was made with one of the keys
bool CheckKeyProof(const std::vector<std::string>& keys,
                   const KeyProofInput& input, std::string_view proof);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PEER_PEER_KEY_H_
