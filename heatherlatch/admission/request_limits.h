// Judges the size of a caller's request, as far as it has been read, by the
// limits of the published configuration.
//
// A size is judged each time more of the request has been read, by the limits
// then in force, so that no request is judged by limits of an earlier moment.
//
// Example:
//   limit = LargerLimit(limit, limit_in_force);
//   const SizeVerdict verdict = JudgeSize(bytes_read, limit, kMaxHeldBytes);
//   if (std::holds_alternative<TooLarge>(verdict)) RespondTooLarge();
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_ADMISSION_REQUEST_LIMITS_H_
#define HEATHERLATCH_ADMISSION_REQUEST_LIMITS_H_

#include <cstdint>
#include <optional>
#include <variant>

namespace heatherlatch {

// A published limit on the size of a request's header or body.
struct SizeLimit {
  std::uint64_t bytes = 0;
  std::uint64_t version = 0;  // Of the configuration that published it.
};

// The request may be read on.
struct WithinLimits {};
// The request exceeds a published limit.
struct TooLarge {
  SizeLimit limit;
};
// No limit is known, and the request has more bytes than may be held until one
// is. Whether the request is too large is unknown.
struct Undecidable {
  std::uint64_t max_held_bytes = 0;
};
using SizeVerdict = std::variant<WithinLimits, TooLarge, Undecidable>;

// @param bytes           of the request's header or body, read or declared
// @param limit           the limit that applies; absent while none is known
// @param max_held_bytes  bytes that may be held while no limit is known
SizeVerdict JudgeSize(std::uint64_t bytes,
                      const std::optional<SizeLimit>& limit,
                      std::uint64_t max_held_bytes);

// @param known     the limit that has applied to the request so far
// @param in_force  the limit in force now
// @return the limit that applies from now on: the larger one, since a request
//     that was within a limit when it began is not rejected for a later, lower
//     limit; `in_force` if they are equal; absent if both are
std::optional<SizeLimit> LargerLimit(const std::optional<SizeLimit>& known,
                                     const std::optional<SizeLimit>& in_force);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_REQUEST_LIMITS_H_
