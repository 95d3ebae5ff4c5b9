// Hashes the content of a request, to recognise the same content under another
// request ID.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_ADMISSION_CONTENT_DIGEST_H_
#define HEATHERLATCH_ADMISSION_CONTENT_DIGEST_H_

#include <string_view>

#include "heatherlatch/admission/crash_suspects.h"

namespace heatherlatch {

// @return XXH3 (64 bits) over method, target and body, each preceded by its
//     length, so that moving bytes between them changes the digest
ContentDigest DigestOf(std::string_view method, std::string_view target,
                       std::string_view body);

// @param scope  what the content belongs to, such as the host name of its
//     route: the same method, target and body mean another content elsewhere
// @return as `DigestOf`, over scope, method, target and body
ContentDigest DigestWithin(std::string_view scope, std::string_view method,
                           std::string_view target, std::string_view body);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_CONTENT_DIGEST_H_
