#include "heatherlatch/admission/content_digest.h"

// Header-only use, so that the host program does not link the xxHash library.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <initializer_list>

namespace heatherlatch {
namespace {

ContentDigest DigestOfParts(std::initializer_list<std::string_view> parts) {
  XXH64_hash_t digest = 0;
  for (const std::string_view part : parts) {
    const XXH64_hash_t size = part.size();
    digest = XXH3_64bits_withSeed(&size, sizeof(size), digest);
    digest = XXH3_64bits_withSeed(part.data(), part.size(), digest);
  }
  return digest;
}

}  // namespace

ContentDigest DigestOf(std::string_view method, std::string_view target,
                       std::string_view body) {
  return DigestOfParts({method, target, body});
}

ContentDigest DigestWithin(std::string_view scope, std::string_view method,
                           std::string_view target, std::string_view body) {
  return DigestOfParts({scope, method, target, body});
}

}  // namespace heatherlatch
