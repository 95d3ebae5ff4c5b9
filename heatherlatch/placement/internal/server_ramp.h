// The number of grants that a backend server may have at a time.
//
// A cold server starts at the cold limit. Its limit grows by one for each full
// round: as many prompt answers, to grants made at the present limit, as the
// limit says. With answers of S each, the ramp takes (full - cold) * S. A
// server that sheds again and again grows more slowly: each shed doubles the
// rounds that a step takes, up to kMaxRoundsPerStep, and a long run of prompt
// answers at the full limit halves them.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_RAMP_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_RAMP_H_

#include "heatherlatch/base/time.h"

namespace heatherlatch {

class ServerRamp {
 public:
  // @param cold_limit  grants of a cold server
  // @param full_limit  grants of a warm server; not below `cold_limit`
  ServerRamp(int cold_limit, int full_limit, TimePoint now);

  // Goes back to the cold limit.
  void TurnCold(TimePoint now);

  // Goes back to the cold limit and grows more slowly from now on.
  void OnShed(TimePoint now);

  // Stops growth while the server itself says that it is cold.
  void Hold(bool held) { held_ = held; }

  // Counts a prompt answer to a grant.
  // @param granted_at  when the grant was made
  void OnPromptAnswer(TimePoint granted_at, TimePoint now);

  int limit() const { return limit_; }
  // When the limit last changed or was last reset.
  TimePoint changed_at() const { return changed_at_; }

 private:
  void SetLimit(int limit, TimePoint now);
  void CountAtFullLimit();

  int cold_limit_;
  int full_limit_;
  int limit_;
  int prompt_answers_ = 0;
  int rounds_per_step_ = 1;
  bool held_ = false;
  TimePoint changed_at_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_RAMP_H_
