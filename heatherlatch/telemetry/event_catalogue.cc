#include "heatherlatch/telemetry/event_log.h"

namespace heatherlatch {
namespace {

constexpr auto kInfo = EventLevel::kInfo;
constexpr auto kWarning = EventLevel::kWarning;
constexpr auto kError = EventLevel::kError;
constexpr bool kRoutine = true;
constexpr bool kNotRoutine = false;

// All event numbers are below this bound.
constexpr int kEventIdEnd = 8000;

std::vector<EventInfo> MakeCatalogue() {
  return {
      {EventId::kProcessStarted, "process-started", kInfo, kNotRoutine,
       "The process has read its settings and listens.", "Nothing."},
      {EventId::kProcessStopping, "process-stopping", kInfo, kNotRoutine,
       "A planned stop has begun; requests in progress are finished.",
       "Nothing."},
      {EventId::kProcessStopped, "process-stopped", kInfo, kNotRoutine,
       "The process ends; no request was in progress unless the line says so.",
       "If requests were cut, raise stop_wait above the longest deadline."},
      {EventId::kSettingsRefused, "settings-refused", kError, kNotRoutine,
       "The settings of the host have a problem, so the process does not "
       "start.",
       "Correct the field that the line names; heatherlatch-check --kind "
       "settings shows every problem."},
      {EventId::kListenFailed, "listen-failed", kError, kNotRoutine,
       "The process cannot listen on one of its endpoints.",
       "Stop the program that uses the endpoint, or change the settings."},
      {EventId::kLinesLeftOut, "lines-left-out", kInfo, kNotRoutine,
       "Lines of routine events were above the rate limit and left out.",
       "Raise log_routine_lines_per_second if each line is needed."},
      {EventId::kLogFileNotOpened, "log-file-not-opened", kWarning, kNotRoutine,
       "The log file cannot be opened; lines go to standard error.",
       "Check that log_path is in a folder that the process may write to."},
      {EventId::kPlaced, "placed", kInfo, kRoutine,
       "A request was given a slot of a backend server.", "Nothing."},
      {EventId::kPlacementRefused, "placement-refused", kWarning, kNotRoutine,
       "No slot could be given to a request, so it did not run.",
       "If it lasts, add backend servers or bring a zone back into service."},
      {EventId::kPlacementRetried, "placement-retried", kInfo, kRoutine,
       "A request was not run by one backend server and is placed again.",
       "Nothing."},
      {EventId::kGroupOwned, "group-owned", kInfo, kNotRoutine,
       "This host now grants the slots of a server group.", "Nothing."},
      {EventId::kGroupReleased, "group-released", kInfo, kNotRoutine,
       "Another host now grants the slots of a server group.", "Nothing."},
      {EventId::kRequestForwarded, "request-forwarded", kInfo, kRoutine,
       "A request was passed to the host that may run it.", "Nothing."},
      {EventId::kRequestEnded, "request-ended", kInfo, kRoutine,
       "A request was answered by a backend server.", "Nothing."},
      {EventId::kRequestUnknown, "request-unknown", kWarning, kNotRoutine,
       "It is not known whether a request ran; it will not run again under "
       "its key.",
       "Look for a lost backend server or host at the same time."},
      {EventId::kRequestReplayed, "request-replayed", kInfo, kRoutine,
       "A repeated request was given the answer of its first run.", "Nothing."},
      {EventId::kKeyNotProven, "key-not-proven", kWarning, kNotRoutine,
       "This host owns a key but may not run it until its ownership is "
       "proven.",
       "If it lasts, check that the hosts of the region can reach one "
       "another."},
      {EventId::kKeysHandedOver, "keys-handed-over", kInfo, kNotRoutine,
       "Records of keys were sent to their next owner on a planned stop.",
       "Nothing."},
      {EventId::kKeysTakenOver, "keys-taken-over", kInfo, kNotRoutine,
       "Records of keys were received from a host that stops.", "Nothing."},
      {EventId::kSuspectFound, "suspect-found", kWarning, kNotRoutine,
       "A backend server was lost while it ran a request; the content of the "
       "request now runs alone.",
       "If the same digest appears again, look at that request."},
      {EventId::kSuspectRefused, "suspect-refused", kWarning, kNotRoutine,
       "A request was refused because its content ran on servers when they "
       "were lost.",
       "Ask the organisation what it sends; correct the service that "
       "crashes."},
      {EventId::kPeerUp, "peer-up", kInfo, kNotRoutine,
       "The link to another entry host is up.", "Nothing."},
      {EventId::kPeerDown, "peer-down", kWarning, kNotRoutine,
       "The link to another entry host is lost; it is connected again.",
       "If it lasts, check the host and the network to it."},
      {EventId::kPeerRefused, "peer-refused", kError, kNotRoutine,
       "A host asked for a link without a valid key or with another version "
       "of the protocol.",
       "Compare peer_keys and the program versions of both hosts."},
      {EventId::kMembershipChanged, "membership-changed", kInfo, kNotRoutine,
       "A host joined, left, or no longer sends heartbeats.",
       "If a host left unplanned, check it."},
      {EventId::kConfigurationAccepted, "configuration-accepted", kInfo,
       kNotRoutine, "A newer set of objects is in force.", "Nothing."},
      {EventId::kConfigurationRejected, "configuration-rejected", kError,
       kNotRoutine,
       "A newer set of objects has findings; the set in force stays.",
       "Correct the set and publish it again; heatherlatch-check shows every "
       "finding."},
      {EventId::kConfigurationUnavailable, "configuration-unavailable",
       kWarning, kNotRoutine,
       "The configuration service cannot be read; the set in force stays.",
       "Check the configuration service and the network to it."},
      {EventId::kConfigurationAvailable, "configuration-available", kInfo,
       kNotRoutine, "The configuration service can be read again.", "Nothing."},
      {EventId::kServerCold, "server-cold", kInfo, kNotRoutine,
       "A backend server started or turned cold; it is given little work at "
       "first.",
       "Nothing."},
      {EventId::kServerNotAcceptingWork, "server-not-accepting-work", kInfo,
       kNotRoutine,
       "A backend server leaves, drains, or is in a zone out of service; it "
       "is given no new work.",
       "Nothing, if it was planned."},
      {EventId::kServerAcceptingWork, "server-accepting-work", kInfo,
       kNotRoutine, "A backend server is given new work again.", "Nothing."},
      {EventId::kServerLost, "server-lost", kWarning, kNotRoutine,
       "A backend server closed its connections or cannot be reached.",
       "Check the backend server."},
      {EventId::kCallerRequestRefused, "caller-request-refused", kWarning,
       kNotRoutine,
       "A request was refused before a slot was asked for; it did not run.",
       "The reason in the line says what the caller or the set of objects has "
       "to change."},
      {EventId::kCallerGone, "caller-gone", kInfo, kRoutine,
       "A caller closed its connection before its answer.", "Nothing."},
  };
}

std::vector<const EventInfo*> MakeIndex() {
  std::vector<const EventInfo*> index(kEventIdEnd, nullptr);
  for (const EventInfo& info : EventCatalogue()) {
    index[static_cast<int>(info.id)] = &info;
  }
  return index;
}

}  // namespace

const std::vector<EventInfo>& EventCatalogue() {
  static const auto* const catalogue =
      new std::vector<EventInfo>(MakeCatalogue());
  return *catalogue;
}

const EventInfo& GetEventInfo(EventId id) {
  static const auto* const index =
      new std::vector<const EventInfo*>(MakeIndex());
  return *(*index)[static_cast<int>(id)];
}

}  // namespace heatherlatch
