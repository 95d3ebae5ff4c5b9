// Formats one line of the event log.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_TELEMETRY_INTERNAL_EVENT_LINE_H_
#define HEATHERLATCH_TELEMETRY_INTERNAL_EVENT_LINE_H_

#include <string>
#include <vector>

#include "heatherlatch/base/time.h"
#include "heatherlatch/telemetry/event_log.h"

namespace heatherlatch::internal {

// @param time  the time of the event, written in UTC with milliseconds
// @return the line, without a newline at its end
std::string FormatEventLine(const EventInfo& info,
                            const std::vector<EventField>& fields,
                            WallTime time);

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_TELEMETRY_INTERNAL_EVENT_LINE_H_
