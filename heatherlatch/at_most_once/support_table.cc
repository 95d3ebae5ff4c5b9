#include "heatherlatch/at_most_once/internal/support_table.h"

namespace heatherlatch {

void SupportTable::Report(const HostIncarnation& peer, std::uint64_t ring,
                          TimePoint asked_at) {
  Peer& entry = peers_[peer];
  if (asked_at < entry.last_asked_at) return;
  entry.last_asked_at = asked_at;
  // A different ring ends the support at once, even where the former ring is
  // reported again before the next fold.
  if (entry.support && entry.support->ring != ring) entry.support.reset();
  entry.arrived = Arrived{ring, asked_at};
}

void SupportTable::Fold(TimePoint now) {
  for (auto& [peer, entry] : peers_) {
    if (!entry.arrived) continue;
    const Arrived arrived = *entry.arrived;
    entry.arrived.reset();
    const bool continues =
        entry.support && entry.support->ring == arrived.ring &&
        arrived.asked_at <= entry.support->asked_at + lifetime_;
    const TimePoint since = continues ? entry.support->since : now;
    entry.support = Support{arrived.ring, since, arrived.asked_at};
  }
}

const SupportTable::Support* SupportTable::Find(const HostIncarnation& peer,
                                                std::uint64_t ring,
                                                TimePoint now) const {
  const auto found = peers_.find(peer);
  if (found == peers_.end() || !found->second.support) return nullptr;
  const Support& support = *found->second.support;
  const bool holds = support.ring == ring && now < support.asked_at + lifetime_;
  return holds ? &support : nullptr;
}

bool SupportTable::Supports(const HostIncarnation& peer, std::uint64_t ring,
                            TimePoint now) const {
  return Find(peer, ring, now) != nullptr;
}

bool SupportTable::SupportsSince(const HostIncarnation& peer,
                                 std::uint64_t ring, TimePoint since,
                                 TimePoint now) const {
  const Support* support = Find(peer, ring, now);
  return support != nullptr && support->since <= since;
}

}  // namespace heatherlatch
