// Keeps a backend server that failed out of use for a growing time, then allows
// one trial grant, whose result ends the backoff or starts the next one.
//
// The delay doubles with each failure in a row, from the base of the reason to
// `kMaxBackoff`. It has no jitter, so a run can be repeated exactly; none is
// needed, because one host alone schedules the trials of a server.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_BACKOFF_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_BACKOFF_H_

#include <variant>

#include "heatherlatch/base/time.h"
#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch {

enum class BackoffReason { kSlow, kShed, kDraining, kConnectFailed };

inline constexpr Duration kMaxBackoff = std::chrono::seconds(2);

// @return the delay after the first failure for this reason
Duration InitialBackoff(BackoffReason reason);

class ServerBackoff {
 public:
  struct Healthy {};
  // No grants until this time.
  struct Delayed {
    TimePoint until;
  };
  // The next grant is the trial.
  struct TrialAllowed {};
  struct TrialRunning {
    GrantId grant = 0;
  };
  using State = std::variant<Healthy, Delayed, TrialAllowed, TrialRunning>;

  // Counts one more consecutive failure and starts the delay that follows it.
  void RecordFailure(BackoffReason reason, TimePoint now);

  // Returns the server to the healthy state and resets the failure count.
  void Recover();

  // Allows the trial if the delay has passed.
  // @return whether the trial became allowed
  bool Advance(TimePoint now);

  // Records that `grant` is the trial.
  void StartTrial(GrantId grant);

  // Allows another trial because the grant ended without a result.
  void AllowTrialAgain();

  bool healthy() const { return std::holds_alternative<Healthy>(state_); }
  bool trial_allowed() const {
    return std::holds_alternative<TrialAllowed>(state_);
  }
  bool IsTrial(GrantId grant) const;
  BackoffReason reason() const { return reason_; }
  const State& state() const { return state_; }

 private:
  State state_;
  BackoffReason reason_ = BackoffReason::kSlow;
  int failures_ = 0;  // Consecutive failures.
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_BACKOFF_H_
