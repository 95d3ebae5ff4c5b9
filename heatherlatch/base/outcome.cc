#include "heatherlatch/base/outcome.h"

namespace heatherlatch {

std::string_view ToString(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kNoRoute:
      return "no-route";
    case NotRunReason::kUnknownOrganisation:
      return "unknown-organisation";
    case NotRunReason::kOutsideHomeRegions:
      return "outside-home-regions";
    case NotRunReason::kHomeRegionsUnavailable:
      return "home-regions-unavailable";
    case NotRunReason::kMalformedRequest:
      return "malformed-request";
    case NotRunReason::kTooLarge:
      return "too-large";
    case NotRunReason::kKeyRequired:
      return "key-required";
    case NotRunReason::kDeadlineTooShort:
      return "deadline-too-short";
    case NotRunReason::kQueueFull:
      return "queue-full";
    case NotRunReason::kNoServer:
      return "no-server";
    case NotRunReason::kShedByServer:
      return "shed-by-server";
    case NotRunReason::kServerDraining:
      return "server-draining";
    case NotRunReason::kConnectFailed:
      return "connect-failed";
    case NotRunReason::kConfigurationUnavailable:
      return "configuration-unavailable";
    case NotRunReason::kHostStopping:
      return "host-stopping";
    case NotRunReason::kSuspectedOfCrashingServers:
      return "suspected-of-crashing-servers";
    case NotRunReason::kCallerDisconnected:
      return "caller-gone";
    case NotRunReason::kOutOfMemory:
      return "out-of-memory";
    case NotRunReason::kUnknownKey:
      return "unknown-key";
    case NotRunReason::kKeyNotConfirmed:
      return "key-not-confirmed";
    case NotRunReason::kKeyWithdrawn:
      return "key-withdrawn";
    case NotRunReason::kAllotmentExceeded:
      return "allotment-exceeded";
    case NotRunReason::kAllotmentNotConfirmed:
      return "allotment-not-confirmed";
  }
  return "not-run";
}

std::string_view ToString(UnknownReason reason) {
  switch (reason) {
    case UnknownReason::kResponseLost:
      return "answer-lost";
    case UnknownReason::kResponseIncomplete:
      return "answer-incomplete";
    case UnknownReason::kDeadlineExceeded:
      return "deadline-exceeded";
    case UnknownReason::kExecutorGone:
      return "executor-gone";
    case UnknownReason::kExecutorUnreachable:
      return "executor-unreachable";
    case UnknownReason::kRecordExpired:
      return "record-expired";
    case UnknownReason::kOwnershipNotProven:
      return "ownership-not-proven";
    case UnknownReason::kStillRunning:
      return "still-running";
    case UnknownReason::kRefusedUnchecked:
      return "refused-unchecked";
  }
  return "unknown";
}

std::string_view ToString(const Outcome& outcome) {
  struct Visitor {
    std::string_view operator()(const NotRun&) const { return "not-run"; }
    std::string_view operator()(const Ran&) const { return "ran"; }
    std::string_view operator()(const Unknown&) const { return "unknown"; }
  };
  return std::visit(Visitor{}, outcome);
}

}  // namespace heatherlatch
