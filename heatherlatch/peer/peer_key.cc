#include "heatherlatch/peer/peer_key.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <algorithm>
#include <cstdlib>

namespace heatherlatch {
namespace {

constexpr std::size_t kMacBytes = 32;
constexpr std::string_view kProofLabel = "heatherlatch peer key proof 1";

// Appends a text with its length, so that different inputs never yield the same
// bytes.
void AppendLengthPrefixed(std::string_view text, std::string* bytes) {
  *bytes += std::to_string(text.size());
  *bytes += ':';
  *bytes += text;
}

void AppendDescription(const HostDescription& description, std::string* bytes) {
  AppendLengthPrefixed(ToString(description.incarnation), bytes);
  AppendLengthPrefixed(description.region.str(), bytes);
  AppendLengthPrefixed(description.zone.str(), bytes);
  AppendLengthPrefixed(ToString(description.caller_endpoint), bytes);
  AppendLengthPrefixed(ToString(description.peer_endpoint), bytes);
}

std::string ProofInputBytes(const KeyProofInput& input) {
  std::string bytes;
  AppendLengthPrefixed(kProofLabel, &bytes);
  AppendLengthPrefixed(
      input.role == LinkRole::kConnecting ? "connecting" : "accepting", &bytes);
  AppendLengthPrefixed(input.own_nonce, &bytes);
  AppendLengthPrefixed(input.peer_nonce, &bytes);
  AppendDescription(input.description, &bytes);
  return bytes;
}

// The library fails only if the machine has no random source or memory.
void AbortOnError(int code) {
  if (code < 0) std::abort();
}

std::string Mac(std::string_view key, std::string_view bytes) {
  std::string mac(kMacBytes, '\0');
  AbortOnError(gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(),
                                bytes.data(), bytes.size(), mac.data()));
  return mac;
}

std::size_t UsedKeys(const std::vector<std::string>& keys) {
  return std::min(keys.size(), kMaxPeerKeys);
}

// Takes a time that does not depend on where the first difference is.
bool ContainsMac(std::string_view proof, const std::string& mac) {
  bool found = false;
  for (std::size_t offset = 0; offset + kMacBytes <= proof.size();
       offset += kMacBytes) {
    found |= gnutls_memcmp(proof.data() + offset, mac.data(), kMacBytes) == 0;
  }
  return found;
}

}  // namespace

std::string MakePeerNonce() {
  std::string nonce(kPeerNonceBytes, '\0');
  AbortOnError(gnutls_rnd(GNUTLS_RND_NONCE, nonce.data(), nonce.size()));
  return nonce;
}

std::string MakeKeyProof(const std::vector<std::string>& keys,
                         const KeyProofInput& input) {
  const std::string bytes = ProofInputBytes(input);
  std::string proof;
  for (std::size_t i = 0; i < UsedKeys(keys); ++i) proof += Mac(keys[i], bytes);
  return proof;
}

bool CheckKeyProof(const std::vector<std::string>& keys,
                   const KeyProofInput& input, std::string_view proof) {
  if (proof.size() > kMaxPeerKeys * kMacBytes) return false;
  const std::string bytes = ProofInputBytes(input);
  bool proven = false;
  for (std::size_t i = 0; i < UsedKeys(keys); ++i) {
    proven |= ContainsMac(proof, Mac(keys[i], bytes));
  }
  return proven;
}

}  // namespace heatherlatch
