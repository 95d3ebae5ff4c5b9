// Rendezvous hashing (highest random weight) over host incarnations.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_AT_MOST_ONCE_INTERNAL_RENDEZVOUS_H_
#define HEATHERLATCH_AT_MOST_ONCE_INTERNAL_RENDEZVOUS_H_

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <utility>

#include "heatherlatch/base/host_incarnation.h"

namespace heatherlatch {

inline std::uint64_t HashOf(const std::string& text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Rank of an incarnation as owner of a key; the highest score owns the key. The
// incarnation breaks ties between equal hashes.
using OwnerScore = std::pair<std::uint64_t, HostIncarnation>;

// @param key_hash  `HashOf` of the text of the key
inline OwnerScore ScoreOf(std::uint64_t key_hash,
                          const HostIncarnation& incarnation) {
  return {HashOf(incarnation.host.str(), key_hash ^ incarnation.nonce),
          incarnation};
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_INTERNAL_RENDEZVOUS_H_
