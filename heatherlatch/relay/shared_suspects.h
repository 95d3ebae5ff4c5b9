// Notices of contents that crash servers, as hosts pass them on to each other.
//
// A notice is told for a few seconds, so that every host that follows another
// hears of it, and is then dropped here; what a host concludes from it is kept
// by CrashSuspects.
//
// Example:
//   if (shared.Add(notice, now)) crash_suspects.Learn(notice, now);
//   answer.suspects = shared.Recent(now);
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

// How long after the crash others are told of it. Source: several rounds of the
// questions between hosts.
inline constexpr Duration kSuspectNoticeLifetime = std::chrono::seconds(5);
// The most notices that are kept and told. Source: a small part of an answer
// that lists what is published.
inline constexpr std::size_t kMaxSharedSuspects = 32;

class SharedSuspects {
 public:
  // @return whether the notice says more than those that are told
  bool Add(const SuspectNotice& notice, TimePoint now);

  // @return what others are told, with its age
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
