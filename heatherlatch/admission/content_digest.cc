#include "heatherlatch/admission/content_digest.h"

// Header-only use, so that the host program does not link the xxHash library.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace heatherlatch {

ContentDigest DigestOf(std::string_view method, std::string_view target,
                       std::string_view body) {
  XXH64_hash_t digest = 0;
  for (const std::string_view part : {method, target, body}) {
    const XXH64_hash_t size = part.size();
    digest = XXH3_64bits_withSeed(&size, sizeof(size), digest);
    digest = XXH3_64bits_withSeed(part.data(), part.size(), digest);
  }
  return digest;
}

}  // namespace heatherlatch
