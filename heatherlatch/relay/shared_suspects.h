// Notices of contents that crash servers, as hosts pass them on to each other.
//
// A notice is sent for a few seconds, so that every host that follows another
// receives it, and is then dropped here. CrashSuspects keeps what a host
// concludes from it.
//
// Example:
//   if (shared.Add(notice, now)) crash_suspects.Merge(notice, now);
//   response.suspects = shared.Recent(now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_RELAY_SHARED_SUSPECTS_H_
#define HEATHERLATCH_RELAY_SHARED_SUSPECTS_H_

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "heatherlatch/admission/crash_suspects.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// How long after the crash a notice is sent to other hosts: several rounds of
// the requests between hosts.
inline constexpr Duration kSuspectNoticeLifetime = std::chrono::seconds(5);
// The most notices that are kept and sent; the oldest is dropped for a new one.
// Keeps them a small part of a response that lists the published items.
inline constexpr std::size_t kMaxSharedSuspects = 32;

class SharedSuspects {
 public:
  // Stores a notice, unless it is too old or a stored one for the same content
  // counts as many crashes.
  // @return whether the notice was stored
  bool Add(const SuspectNotice& notice, TimePoint now);

  // @return the notices to send to other hosts, with their age
  std::vector<SuspectNotice> Recent(TimePoint now) const;

 private:
  using Key = std::pair<ServiceName, ContentDigest>;
  struct Entry {
    int crashes = 0;
    TimePoint crashed_at;
  };

  void Prune(TimePoint now);

  std::map<Key, Entry> entries_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_SHARED_SUSPECTS_H_
