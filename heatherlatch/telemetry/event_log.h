// The event log of an entry host: one line of text per event.
//
// Each kind of event has a number that never changes. docs/EVENTS.md lists the
// events with level, meaning and remedy. A line has this form:
//   2026-12-04T10:00:00.123Z INFO  HL2001 placed request=... server=...
// A value with a space, a quote or a control character is written in quotes and
// escaped, so one event is always one line. Lines of routine events (see
// `EventInfo::routine`) are rate limited. The number of dropped lines is logged
// with the first event of a later second, or when the log is destroyed. Lines
// of refusals and failures are never dropped. If the log file cannot be opened,
// lines go to standard error.
//
// Example:
//   if (log.ShouldWrite(EventId::kPlaced)) {
//     log.Write(EventId::kPlaced, {{"request", id}, {"server", name.str()}});
//   }
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_TELEMETRY_EVENT_LOG_H_
#define HEATHERLATCH_TELEMETRY_EVENT_LOG_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heatherlatch {

enum class EventLevel { kDebug, kInfo, kWarning, kError };

// The numbers of the events. The thousands digit is the subject: 1 process,
// 2 placement, 3 execution, 4 membership, 5 configuration, 6 backend servers,
// 7 callers. The enumerators match the names in the catalogue.
enum class EventId : int {
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kSettingsRefused = 1004,
  kListenFailed = 1005,
  kLinesLeftOut = 1006,
  kLogFileNotOpened = 1007,
  kPlaced = 2001,
  kPlacementRefused = 2002,
  kPlacementRetried = 2003,
  kGroupOwned = 2004,
  kGroupReleased = 2005,
  kRequestForwarded = 3001,
  kRequestEnded = 3002,
  kRequestUnknown = 3003,
  kRequestReplayed = 3004,
  kKeyNotProven = 3005,
  kKeysHandedOver = 3006,
  kKeysTakenOver = 3007,
  kSuspectFound = 3008,
  kSuspectRefused = 3009,
  kPeerUp = 4001,
  kPeerDown = 4002,
  kPeerRefused = 4003,
  kMembershipChanged = 4004,
  kConfigurationAccepted = 5001,
  kConfigurationRejected = 5002,
  kConfigurationUnavailable = 5003,
  kConfigurationAvailable = 5004,
  kServerCold = 6001,
  kServerNotAcceptingWork = 6002,
  kServerAcceptingWork = 6003,
  kServerLost = 6004,
  kCallerRequestRefused = 7001,
  kCallerGone = 7002,
};

struct EventInfo {
  EventId id;
  std::string_view name;  // Such as "placed".
  EventLevel level;
  bool routine;  // Lines above the rate limit are dropped.
  std::string_view meaning;
  std::string_view remedy;  // The operator's action; "Nothing." if none.
};

// @return the catalogue, ordered by number
const std::vector<EventInfo>& EventCatalogue();

// @return the catalogue entry of an event
const EventInfo& GetEventInfo(EventId id);

using EventField = std::pair<std::string_view, std::string>;

struct EventLogOptions {
  std::string path;  // Empty: standard error.
  EventLevel level = EventLevel::kInfo;
  int routine_lines_per_second = 200;
};

class EventLog {
 public:
  explicit EventLog(EventLogOptions options);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Writes one line, unless the event is below the level of the log or is a
  // routine event above the rate limit.
  void Write(EventId id, const std::vector<EventField>& fields);

  // Avoids building the fields of an event that would not be written. Counts a
  // routine event above the rate limit as dropped; do not call `Write` for it.
  // @return whether `Write` of this event would write a line
  bool ShouldWrite(EventId id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TELEMETRY_EVENT_LOG_H_
