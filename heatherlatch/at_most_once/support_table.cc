#include "heatherlatch/at_most_once/internal/support_table.h"

namespace heatherlatch {

void SupportTable::RecordReport(const HostIncarnation& peer, std::uint64_t ring,
                                TimePoint requested_at) {
  Peer& entry = peers_[peer];
  if (requested_at < entry.last_requested_at) return;
  entry.last_requested_at = requested_at;
  // A report of a different ring ends the support at once, even where the
  // former ring is reported again before the next `ApplyReports`.
  if (entry.support && entry.support->ring != ring) entry.support.reset();
  entry.pending = PendingReport{ring, requested_at};
}

void SupportTable::ApplyReports(TimePoint now) {
  for (auto& [peer, entry] : peers_) {
    if (!entry.pending) continue;
    const PendingReport pending = *entry.pending;
    entry.pending.reset();
    const bool continues = entry.support &&
                           entry.support->ring == pending.ring &&
                           now < entry.support->requested_at + 2 * lifetime_;
    const TimePoint since = continues ? entry.support->since : now;
    entry.support = Support{pending.ring, since, pending.requested_at};
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
  const bool holds =
      support.ring == ring && now < support.requested_at + lifetime_;
  if (!holds) return std::nullopt;
  return support.since;
}

}  // namespace heatherlatch
