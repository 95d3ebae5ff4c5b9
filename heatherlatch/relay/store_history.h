// Decides when a host follows the store into another history than the one that
// it knows.
//
// A store that is restored from a copy states a later era than before; one that
// was set up anew states any era and revision. A response may also state an era
// that is wrong. A later era is confirmed by a second response in a row. What
// goes back behind the known revision is confirmed only by all responses of
// some seconds.
//
// Example:
//   switch (confirmation.OnResponse(page.revision, items.revision(), now)) ...
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_RELAY_STORE_HISTORY_H_
#define HEATHERLATCH_RELAY_STORE_HISTORY_H_

#include <cstdint>
#include <optional>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// How long all responses of the store state an earlier revision before a host
// follows it there: longer than other hosts rely on what the store confirmed.
inline constexpr Duration kEarlierHistoryTime = std::chrono::seconds(3);
inline constexpr int kEarlierHistoryResponses = 3;

// What a response of the store is good for.
//   kKnown          goes on with what is known
//   kConfirmed      is of another history, which the host is to follow
//   kQueryAgain     may be of another history; to be queried again at once
//   kUnconfirmed    may be wrong, and is not to be used
enum class StoreHistory { kKnown, kConfirmed, kQueryAgain, kUnconfirmed };

class HistoryConfirmation {
 public:
  // Records a response of the store.
  // @param stated  ordered revision of the store, as the response states it
  // @param known   ordered revision that this host knows; 0: none
  StoreHistory OnResponse(std::uint64_t stated, std::uint64_t known,
                          TimePoint now);

 private:
  struct Candidate {
    std::uint64_t era = 0;
    TimePoint stated_first;
    int responses = 0;
  };

  std::optional<Candidate> candidate_;
};

// @param stated         ordered revision that another host states
// @param known          ordered revision that this host knows; 0: none
// @param is_up_to_date  whether the store lately confirmed it to that host
// @return whether this host follows that host into its era: that of the next
//     restore of a store that confirms it, or any if this host knows nothing
bool MayFollowPeerIntoEra(std::uint64_t stated, std::uint64_t known,
                          bool is_up_to_date);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_STORE_HISTORY_H_
