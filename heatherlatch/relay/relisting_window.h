// Decides how long a backend server whose entry was removed from the store may
// still be used.
//
// While the store is unavailable, servers cannot refresh their entries, which
// then expire though the servers run. Once the store is back, such a server is
// listed again within `kRelistingGrace`. Any other server whose entry is
// removed has left, and must not be used again.
//
// The entries can have expired only if two facts come together. The store did
// not respond, to this host or to one that says so; a host that was itself cut
// off from the store says the same. And the store confirmed nothing to this
// host, directly or through others, for so long that an entry can expire. The
// window ends a fixed time after the store's first confirmation thereafter, at
// each host alike, however many hosts the confirmation passed through.
//
// Example:
//   window.OnStoreUnavailable();
//   window.OnConfirmed(confirmed_at);  // Before the changes are applied.
//   if (const auto until = window.End(now)) directory.MarkMissing(name,
//   *until);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_RELAY_RELISTING_WINDOW_H_
#define HEATHERLATCH_RELAY_RELISTING_WINDOW_H_

#include <optional>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// How long servers may take to be listed again after an outage of the store;
// the platform specifies about two seconds.
inline constexpr Duration kRelistingGrace = std::chrono::milliseconds(2200);

// The shortest outage of the store in which an entry can expire. A server
// refreshes its entry about every 1.5 s and loses it after three such intervals
// of silence, of which the outage may leave out the first.
inline constexpr Duration kMinExpiryOutage = std::chrono::milliseconds(2500);

class RelistingWindow {
 public:
  // Records that the store did not respond, or that another host says so.
  void OnStoreUnavailable() { store_unavailable_ = true; }

  // Records that the store confirmed the items that this host has, and those
  // that it is about to apply.
  // @param confirmed_at  when the store did so
  void OnConfirmed(TimePoint confirmed_at);

  // Records that the store was restored from a copy, in which entries of
  // servers may be missing that are written again.
  // @param confirmed_at  when the store first confirmed items thereafter
  void OnRestored(TimePoint confirmed_at);

  // @return until when a server whose entry is removed now may be listed again;
  //     nothing: the server has left
  std::optional<TimePoint> End(TimePoint now) const;

  // @return whether other hosts are to be told that the store was unavailable
  bool StoreWasUnavailable(TimePoint now) const {
    return store_unavailable_ || End(now).has_value();
  }

 private:
  bool store_unavailable_ = false;  // Since the last confirmation.
  std::optional<TimePoint> confirmed_at_;
  std::optional<TimePoint> ends_at_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_RELISTING_WINDOW_H_
