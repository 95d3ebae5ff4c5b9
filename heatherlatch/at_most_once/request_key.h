// Identifies a request that must not run twice.
//
// Two kinds exist:
//   Ticket     issued by a host incarnation, which alone may run the request.
//              Any other host forwards to it; when the issuer has ended, the
//              outcome is unknown and the request never runs again.
//   CallerKey  chosen by the caller (header Idempotency-Key). The owner of
//              the key in the key ring may run the request (see key_ring.h).
//
// Thread safety: value types.
#ifndef HEATHERLATCH_AT_MOST_ONCE_REQUEST_KEY_H_
#define HEATHERLATCH_AT_MOST_ONCE_REQUEST_KEY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/result.h"

namespace heatherlatch {

struct Ticket {
  HostIncarnation issuer;
  std::uint64_t sequence = 0;

  friend bool operator==(const Ticket& a, const Ticket& b) {
    return a.sequence == b.sequence && a.issuer == b.issuer;
  }
};

// Keys of different organisations never collide.
struct CallerKey {
  OrganisationName organisation;
  std::string key;

  friend bool operator==(const CallerKey& a, const CallerKey& b) {
    return a.key == b.key && a.organisation == b.organisation;
  }
};

using RequestKey = std::variant<Ticket, CallerKey>;

enum class RequestKeyProblem { kMalformedTicket, kEmptyKey, kKeyTooLong };
struct RequestKeyError {
  RequestKeyProblem problem;
  std::string text;  // At most the first 64 bytes of the text that was sent.
};

inline constexpr std::size_t kMaxCallerKeyBytes = 255;

// @param text  the form that `ToString` returns, with no other spelling allowed
// @return the ticket, or RequestKeyError
Result<Ticket> ParseTicket(std::string_view text);

// @return the key, or RequestKeyError where it is empty or too long
Result<CallerKey> MakeCallerKey(const OrganisationName& organisation,
                                std::string_view key);

// @return "HOST#NONCE.SEQUENCE"
std::string ToString(const Ticket& ticket);

// @return a text that is unique for the key, for hashing and logs
std::string ToString(const RequestKey& key);

// @return one sentence that names what is wrong with the text
std::string ToString(const RequestKeyError& error);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_REQUEST_KEY_H_
