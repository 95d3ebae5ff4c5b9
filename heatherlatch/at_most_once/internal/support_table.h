// What each peer last reported to support, and since when it has supported
// nothing else.
//
// A peer that changes its ring supports none for the lifetime of a support. To
// support another ring in between two answers for the same one it needs two
// such silences, so two answers that are closer than twice the lifetime show
// that it did not. Reports are taken in when they arrive and folded in, as of
// that later time, when the owner of the table next observes.
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

  // @return since when the peer has supported the ring and no other, where it
  //     supports it now
  std::optional<TimePoint> SupportedSince(const HostIncarnation& peer,
                                          std::uint64_t ring,
                                          TimePoint now) const;

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

  Duration lifetime_;
  std::map<HostIncarnation, Peer> peers_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_INTERNAL_SUPPORT_TABLE_H_
