// What is known about whether a backend server ran a request.
//
// The three outcomes are types, so code that answers a caller has to handle
// each of them:
//   NotRun   no byte reached a backend server, or the server itself refused.
//   Ran      a backend server answered.
//   Unknown  a byte left and no answer came, or the record of it is lost.
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
  kCallerGone,
};

// Why it cannot be known whether a request ran.
enum class UnknownReason {
  kAnswerLost,
  kAnswerIncomplete,
  kDeadlineExceeded,
  kExecutorGone,
  kExecutorUnreachable,
  kRecordExpired,
  kOwnershipNotProven,
  kStillRunning,
  // Refused before the record of its key was looked at: an earlier send under
  // the same key may have run.
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

// @return the reason in lower case with hyphens, such as "queue-full"
std::string_view ToString(NotRunReason reason);
std::string_view ToString(UnknownReason reason);

// @return "not-run", "ran" or "unknown"
std::string_view ToString(const Outcome& outcome);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BASE_OUTCOME_H_
