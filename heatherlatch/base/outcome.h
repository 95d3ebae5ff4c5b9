// What is known about whether a backend server ran a request.
//
// The three outcomes are types, so code that responds to a caller has to handle
// each of them:
//   NotRun   no byte reached a backend server, or the server refused to run it.
//   Ran      a backend server responded.
//   Unknown  bytes may have been sent and no complete response arrived, or the
//            record of the execution has been lost.
// Only `NotRun` may be retried for a request that is not idempotent.
#ifndef HEATHERLATCH_BASE_OUTCOME_H_
#define HEATHERLATCH_BASE_OUTCOME_H_

#include <string_view>
#include <variant>

namespace heatherlatch {

// Why a request was refused without running.
enum class NotRunReason {
  kNoRoute,
  kUnknownOrganisation,
  kOutsideHomeRegions,
  kHomeRegionsUnavailable,
  kMalformedRequest,
  kTooLarge,
  kKeyRequired,
  kDeadlineTooShort,
  kQueueFull,
  kNoServer,
  kShedByServer,
  kServerDraining,
  kConnectFailed,
  kConfigurationUnavailable,
  kHostStopping,
  kSuspectedOfCrashingServers,
  kCallerDisconnected,
  kOutOfMemory,  // The host could not have held the response.
  kUnknownKey,
  kKeyNotConfirmed,    // The host cannot tell whether the key is still valid.
  kKeyWithdrawn,       // While the request waited.
  kAllotmentExceeded,  // Of the organisation, over all hosts.
  // The host cannot tell whether the allotment is exceeded.
  kAllotmentNotConfirmed,
};

// Why it is not known whether a request ran.
enum class UnknownReason {
  kResponseLost,
  kResponseIncomplete,
  kDeadlineExceeded,
  kExecutorGone,
  kExecutorUnreachable,
  kRecordExpired,
  kOwnershipNotProven,
  kStillRunning,
  // Refused before the record of its idempotency key was looked up: an earlier
  // request with the same key may have run.
  kRefusedUnchecked,
};

struct NotRun {
  NotRunReason reason;
};
struct Ran {};
struct Unknown {
  UnknownReason reason;
};

using Outcome = std::variant<NotRun, Ran, Unknown>;

// @return the reason in lower case with hyphens, such as "queue-full"; the text
//     is part of the interface to callers, peers, logs and metrics
std::string_view ToString(NotRunReason reason);
std::string_view ToString(UnknownReason reason);

// @return "not-run", "ran" or "unknown"
std::string_view ToString(const Outcome& outcome);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BASE_OUTCOME_H_
