// Keeps a backend server that failed out of use for a growing time, then allows
// one trial grant that decides.
//
// The delay doubles with each failure in a row, from the base of the reason to
// `kMaxBackOff`. It has no random part, so a run can be repeated exactly; one
// host alone decides for a server, so nothing has to be spread.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_BACK_OFF_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_BACK_OFF_H_

#include <variant>

#include "heatherlatch/base/time.h"
#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch {

enum class BackOffReason { kSlow, kShed, kDraining, kConnectFailed };

inline constexpr Duration kMaxBackOff = std::chrono::seconds(2);

// @return the delay after the first failure for this reason
Duration FirstBackOff(BackOffReason reason);

class BackOff {
 public:
  struct Working {};
  struct Delayed {
    TimePoint until;
  };
  struct TrialOpen {};
  struct TrialRunning {
    GrantId grant = 0;
  };
  using State = std::variant<Working, Delayed, TrialOpen, TrialRunning>;

  // Takes the server out of use.
  void Fail(BackOffReason reason, TimePoint now);

  // Puts the server back into use and forgets its failures.
  void Recover();

  // Opens the trial if the delay is over.
  // @return whether it was opened
  bool Advance(TimePoint now);

  // Records that `grant` is the trial.
  void StartTrial(GrantId grant);

  // Opens the trial again because its grant ended without a verdict.
  void ReopenTrial();

  bool working() const { return std::holds_alternative<Working>(state_); }
  bool trial_open() const { return std::holds_alternative<TrialOpen>(state_); }
  bool IsTrial(GrantId grant) const;
  BackOffReason reason() const { return reason_; }
  const State& state() const { return state_; }

 private:
  State state_;
  BackOffReason reason_ = BackOffReason::kSlow;
  int failures_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_BACK_OFF_H_
