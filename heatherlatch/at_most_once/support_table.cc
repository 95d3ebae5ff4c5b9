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
    const bool continues = entry.support &&
                           entry.support->ring == arrived.ring &&
                           now < entry.support->asked_at + 2 * lifetime_;
    const TimePoint since = continues ? entry.support->since : now;
    entry.support = Support{arrived.ring, since, arrived.asked_at};
  }
}

bool SupportTable::Supports(const HostIncarnation& peer, std::uint64_t ring,
                            TimePoint now) const {
  return SupportedSince(peer, ring, now).has_value();
}

std::optional<TimePoint> SupportTable::SupportedSince(
    const HostIncarnation& peer, std::uint64_t ring, TimePoint now) const {
  const auto found = peers_.find(peer);
  if (found == peers_.end() || !found->second.support) return std::nullopt;
  const Support& support = *found->second.support;
  const bool holds = support.ring == ring && now < support.asked_at + lifetime_;
  if (!holds) return std::nullopt;
  return support.since;
}

}  // namespace heatherlatch
