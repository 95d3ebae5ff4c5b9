// One run of the entry process on a host.
//
// A process that restarts on the same host, at the same address, is another
// incarnation: it has none of the state that the previous one held in memory.
//
// Thread safety: a value type.
#ifndef HEATHERLATCH_BASE_HOST_INCARNATION_H_
#define HEATHERLATCH_BASE_HOST_INCARNATION_H_

#include <cstdint>
#include <ostream>
#include <string>

#include "heatherlatch/base/name.h"

namespace heatherlatch {

struct HostIncarnation {
  HostName host;
  std::uint64_t nonce = 0;  // Random; generated once at process start.

  friend bool operator==(const HostIncarnation& a, const HostIncarnation& b) {
    return a.nonce == b.nonce && a.host == b.host;
  }
  friend bool operator!=(const HostIncarnation& a, const HostIncarnation& b) {
    return !(a == b);
  }
  friend bool operator<(const HostIncarnation& a, const HostIncarnation& b) {
    return a.host != b.host ? a.host < b.host : a.nonce < b.nonce;
  }
};

// @return "HOST#NONCE", the nonce in hexadecimal
std::string ToString(const HostIncarnation& incarnation);

std::ostream& operator<<(std::ostream& out, const HostIncarnation& incarnation);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BASE_HOST_INCARNATION_H_
