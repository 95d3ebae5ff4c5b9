// What a host knows about the route table that it holds.
//
// A table that was in force when it was received may have been replaced since.
// A host that refuses a request because of what the table lacks bases that on
// the last confirmation by the store.
//
// Thread safety: value type.
#ifndef HEATHERLATCH_ROUTING_TABLE_CONFIRMATION_H_
#define HEATHERLATCH_ROUTING_TABLE_CONFIRMATION_H_

#include <cstdint>
#include <optional>

#include "heatherlatch/base/time.h"
#include "heatherlatch/organisations/caller_identity.h"
#include "heatherlatch/relay/source_choice.h"

namespace heatherlatch {

struct TableConfirmation {
  // When the store last confirmed the table; earlier where a peer passed the
  // confirmation on. Absent: not since the start or the last suspension.
  std::optional<TimePoint> confirmed_at;
  // Where that confirmation came from.
  ItemOrigin origin;
  // When the store is proven to have held the table, whatever the delays on the
  // way to this host: not later than that. Absent: not proven since the start.
  std::optional<SuspendAwareTime> held_at;
  // Whether the table is the newest one received. False: a newer one could not
  // be read.
  bool is_newest = true;
  // Ordered revisions, by which the store counts: that of the newest table
  // received, and the one up to which all published items are known. 0: none.
  std::uint64_t table_revision = 0;
  std::uint64_t known_revision = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ROUTING_TABLE_CONFIRMATION_H_
