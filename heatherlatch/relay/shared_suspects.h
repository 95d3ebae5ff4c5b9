// Notices of contents that crash servers, as hosts pass them on to each other.
//
// A notice is passed on for a few seconds after it was learnt, so that every
// host that follows another receives it. It is kept for as long as the content
// is suspected, for hosts that were not there to receive it: those that start,
// and those that were cut off.
//
// Example:
//   if (shared.Add(notice, now)) crash_suspects.Merge(notice, now);
//   response.suspects = shared.Recent(now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_RELAY_SHARED_SUSPECTS_H_
#define HEATHERLATCH_RELAY_SHARED_SUSPECTS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "heatherlatch/admission/crash_suspects.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// How long a notice is passed on after it was learnt: several rounds of the
// requests between hosts.
inline constexpr Duration kSuspectNoticeLifetime = std::chrono::seconds(5);
// How long after the crash a notice is kept.
inline constexpr Duration kSuspectNoticeRetention = std::chrono::minutes(1);
// The most notices that are sent at once, so that they are a small part of a
// response that lists the published items.
inline constexpr std::size_t kMaxSharedSuspects = 32;
// The most notices that are kept. Many times as many as are sent, so that a new
// content is recognised as such while many others crash servers. Of more, those
// with the fewest crashes are left out.
inline constexpr std::size_t kMaxKeptSuspects = 1024;

class SharedSuspects {
 public:
  // Stores a notice, unless it is too old or a stored one for the same content
  // counts more crashes, or as many of which the last was no earlier but for
  // the delay of messages. Each host thus passes a notice on once.
  // @return whether the notice was stored
  bool Add(const SuspectNotice& notice, TimePoint now);

  // @return the notice for a content, with its age
  std::optional<SuspectNotice> Find(ContentDigest digest, TimePoint now) const;
  // @return the notices learnt lately, with their age; of more than
  //     kMaxSharedSuspects one half are those with most crashes, and the other
  //     half the latest of the others
  std::vector<SuspectNotice> Recent(TimePoint now) const;
  // @return all notices, with their age; of more than kMaxSharedSuspects those
  //     with most crashes
  std::vector<SuspectNotice> All(TimePoint now) const;

 private:
  struct Entry {
    ServiceName service;
    int crashes = 0;
    TimePoint crashed_at;
    TimePoint learnt_at;
  };

  void Prune(TimePoint now);
  // Drops the notice with the fewest crashes, and of these the one with the
  // oldest crash, if it counts fewer than `notice`.
  // @return whether it did
  bool MakeRoomFor(const SuspectNotice& notice);
  // @param by_crashes  how many notices with most crashes come first; then
  //                    come those learnt last
  // @return up to kMaxSharedSuspects notices
  std::vector<SuspectNotice> Select(
      TimePoint now, std::size_t by_crashes,
      const std::function<bool(const Entry&)>& is_selected) const;

  std::map<ContentDigest, Entry> entries_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_SHARED_SUSPECTS_H_
