// The ring that each peer last reported to support, and since when the peer has
// supported no other ring.
//
// A peer that changes its ring supports none for the support lifetime. To
// support another ring between two reports of the same ring, it must change its
// ring twice and so support none for two lifetimes. Two reports of the same
// ring that are less than two lifetimes apart therefore show that the peer
// supported no other ring in between. A report is stored on arrival and applied
// by the next `ApplyReports`, with the time of that call.
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_AT_MOST_ONCE_INTERNAL_SUPPORT_TABLE_H_
#define HEATHERLATCH_AT_MOST_ONCE_INTERNAL_SUPPORT_TABLE_H_

#include <cstdint>
#include <iterator>
#include <map>
#include <optional>

#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

class SupportTable {
 public:
  // @param lifetime  how long a support counts after its request
  explicit SupportTable(Duration lifetime) : lifetime_(lifetime) {}

  // Stores a report of a peer; ignores it where it was requested earlier than
  // the last one.
  // @param ring  hash of the ring that the peer supports; 0 for none
  void RecordReport(const HostIncarnation& peer, std::uint64_t ring,
                    TimePoint requested_at);

  // Applies the reports that arrived since the last call.
  void ApplyReports(TimePoint now);

  // @return whether the peer supports the ring now
  bool Supports(const HostIncarnation& peer, std::uint64_t ring,
                TimePoint now) const;

  // @return since when the peer has supported the ring and no other; nullopt
  //     where it does not support the ring now
  std::optional<TimePoint> SupportedSince(const HostIncarnation& peer,
                                          std::uint64_t ring,
                                          TimePoint now) const;

  // Removes every report of the peers for which `keep` returns false.
  template <typename Predicate>
  void KeepOnly(const Predicate& keep) {
    for (auto it = peers_.begin(); it != peers_.end();) {
      it = keep(it->first) ? std::next(it) : peers_.erase(it);
    }
  }

 private:
  struct Support {
    std::uint64_t ring = 0;
    TimePoint since;
    TimePoint requested_at;
  };
  struct PendingReport {
    std::uint64_t ring = 0;
    TimePoint requested_at;
  };
  struct Peer {
    std::optional<Support> support;
    std::optional<PendingReport> pending;
    TimePoint last_requested_at;
  };

  Duration lifetime_;
  std::map<HostIncarnation, Peer> peers_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_INTERNAL_SUPPORT_TABLE_H_
