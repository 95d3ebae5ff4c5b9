// The log of numbered events.
//
// Each kind of event has a number that never changes and is listed, with its
// level, meaning and remedy, in docs/EVENTS.md. A line reads
//   2026-12-04T10:00:00.123Z INFO  HL2001 placed request=... server=...
// A value with a space, a quote or a control character is written in quotes and
// escaped, so one event is always one line. Lines of routine events (see
// `EventInfo::routine`) are limited in rate; how many were left out is logged
// with the first event of a later second, or when the log is destroyed.
// Refusals and failures are never left out. A log file that cannot be opened
// gives way to standard error.
//
// Example:
//   if (log.Enabled(EventId::kPlaced)) {
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

// The number is the value; the thousands give the subject: 1 process,
// 2 placement, 3 execution, 4 membership, 5 configuration, 6 backend servers,
// 7 callers.
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
  bool routine;  // Lines may be left out above the rate limit.
  std::string_view meaning;
  std::string_view remedy;  // What an operator should do; "Nothing." if so.
};

// @return the catalogue, ordered by number
const std::vector<EventInfo>& EventCatalogue();

// @return the entry of an event
const EventInfo& InfoOf(EventId id);

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

  // Writes one line, unless its level or the rate limit leaves it out.
  void Write(EventId id, const std::vector<EventField>& fields);

  // Asks before the fields of an event are built. A routine event above the
  // rate limit is counted as left out here, so `Write` is not called for it.
  // @return whether `Write` of this event would write a line
  bool Enabled(EventId id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TELEMETRY_EVENT_LOG_H_
