// How long the machine of a process has been suspended.
//
// Thread safety: pure functions of the system's clocks.
#ifndef HEATHERLATCH_TRAFFIC_SUSPENSION_H_
#define HEATHERLATCH_TRAFFIC_SUSPENSION_H_

#include "heatherlatch/base/time.h"
#include "heatherlatch/organisations/caller_identity.h"

namespace heatherlatch {

// @return the time for which the machine has been suspended since it started,
//     which the steady clock does not count
Duration TotalSuspension();

// @return `at`, with the suspensions until now
SuspendAwareTime WithSuspension(TimePoint at);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_SUSPENSION_H_
