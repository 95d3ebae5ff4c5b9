#include "heatherlatch/base/host_incarnation.h"

#include <cstdio>

namespace heatherlatch {

std::string ToString(const HostIncarnation& incarnation) {
  char nonce[17];
  std::snprintf(nonce, sizeof(nonce), "%016llx",
                static_cast<unsigned long long>(  // NOLINT(google-runtime-int)
                    incarnation.nonce));
  return incarnation.host.str() + "#" + nonce;
}

std::ostream& operator<<(std::ostream& out,
                         const HostIncarnation& incarnation) {
  return out << ToString(incarnation);
}

}  // namespace heatherlatch
