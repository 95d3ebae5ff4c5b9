// Slow start: the maximum number of concurrent grants of a backend server.
//
// A cold server starts at the cold limit. Its limit grows by one for each full
// round, which is `limit` prompt responses to grants made at the current limit.
// If every response takes time S, the full limit is reached after
// (full - cold) * S. The limit of a server that sheds repeatedly grows more
// slowly: each shed doubles the number of rounds per step, up to
// kMaxRoundsPerStep, and a long run of prompt responses at the full limit
// halves it.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_SLOW_START_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_SLOW_START_H_

#include "heatherlatch/base/time.h"

namespace heatherlatch {

class SlowStart {
 public:
  // @param cold_limit  limit of a cold server, in grants; lowered to
  //                    `full_limit` if above it
  // @param full_limit  limit of a warm server, in grants
  SlowStart(int cold_limit, int full_limit, TimePoint now);

  // Resets the limit to the cold limit.
  void TurnCold(TimePoint now);

  // Resets the limit to the cold limit and doubles the rounds per step.
  void OnShed(TimePoint now);

  // Stops growth, for as long as the server itself reports that it is cold.
  void SetGrowthPaused(bool paused) { growth_paused_ = paused; }

  // Counts a prompt response.
  // @param granted_at  when the grant was made
  void OnPromptResponse(TimePoint granted_at, TimePoint now);

  int limit() const { return limit_; }
  // @return when the limit was last changed or reset
  TimePoint changed_at() const { return changed_at_; }

 private:
  void SetLimit(int limit, TimePoint now);
  void RestoreGrowthRate();

  int cold_limit_;
  int full_limit_;
  int limit_;
  int prompt_responses_ = 0;
  int rounds_per_step_ = 1;
  bool growth_paused_ = false;
  TimePoint changed_at_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_SLOW_START_H_
