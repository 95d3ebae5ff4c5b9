// Decides how a host refuses a request that no route of its table matches.
//
// That the table held lacks a route says something about the request only while
// the table is known to be the published one. Otherwise a newer table may have
// the route, and another host may know it.
//
// Example:
//   const UnroutedDecision decision = DecideUnrouted(confirmation, now);
//   if (std::holds_alternative<NoSuchRoute>(decision)) RespondNotFound();
//
// Thread safety: pure functions. Reads no clock.
#ifndef HEATHERLATCH_ROUTING_UNROUTED_DECISION_H_
#define HEATHERLATCH_ROUTING_UNROUTED_DECISION_H_

#include <variant>

#include "heatherlatch/routing/table_confirmation.h"

namespace heatherlatch {

// @return whether the table held is the newest one, and the store confirmed it
//     at most `kMaxConfirmationAge` before `now`. A request is denied by the
//     table only then.
bool IsConfirmed(const TableConfirmation& confirmation, TimePoint now);

// The published configuration has no such route: the caller must not retry.
struct NoSuchRoute {};
// The host does not know whether the published configuration has the route: the
// request was not run, and the caller may send it to another host.
struct NotConfirmed {};
using UnroutedDecision = std::variant<NoSuchRoute, NotConfirmed>;

// @return NoSuchRoute if the table is confirmed, otherwise NotConfirmed. Within
//     that age, a configuration that may be in force lacks the route.
UnroutedDecision DecideUnrouted(const TableConfirmation& confirmation,
                                TimePoint now);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ROUTING_UNROUTED_DECISION_H_
