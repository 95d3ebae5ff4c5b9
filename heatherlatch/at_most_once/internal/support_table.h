// What each peer last reported to support, and since when without a gap.
//
// Reports are taken in when they arrive and folded in at the next time that the
// owner of the table observes, so a report that arrives after its lifetime can
// never close a gap.
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
  explicit SupportTable(Duration lifetime) : lifetime_(lifetime) {}

  // Takes in a report; one that was asked for earlier than the last is ignored.
  void Report(const HostIncarnation& peer, std::uint64_t ring,
              TimePoint asked_at);

  // Folds in the reports that arrived since the last call.
  void Fold(TimePoint now);

  // @return whether the peer supports the ring now
  bool Supports(const HostIncarnation& peer, std::uint64_t ring,
                TimePoint now) const;

  // @return whether the peer has supported the ring from `since` until `now`
  bool SupportsSince(const HostIncarnation& peer, std::uint64_t ring,
                     TimePoint since, TimePoint now) const;

  // Drops every report of peers that `keep` does not accept.
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
    TimePoint asked_at;
  };
  struct Arrived {
    std::uint64_t ring = 0;
    TimePoint asked_at;
  };
  struct Peer {
    std::optional<Support> support;
    std::optional<Arrived> arrived;
    TimePoint last_asked_at;
  };

  const Support* Find(const HostIncarnation& peer, std::uint64_t ring,
                      TimePoint now) const;

  Duration lifetime_;
  std::map<HostIncarnation, Peer> peers_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_INTERNAL_SUPPORT_TABLE_H_
