#include "heatherlatch/admission/request_limits.h"

namespace heatherlatch {

SizeVerdict JudgeSize(std::uint64_t bytes,
                      const std::optional<SizeLimit>& limit,
                      std::uint64_t max_held_bytes) {
  if (limit) {
    if (bytes > limit->bytes) return TooLarge{*limit};
    return WithinLimits{};
  }
  if (bytes > max_held_bytes) return Undecidable{max_held_bytes};
  return WithinLimits{};
}

std::optional<SizeLimit> LargerLimit(const std::optional<SizeLimit>& known,
                                     const std::optional<SizeLimit>& in_force) {
  if (!known || !in_force) return known ? known : in_force;
  return in_force->bytes >= known->bytes ? in_force : known;
}

}  // namespace heatherlatch
