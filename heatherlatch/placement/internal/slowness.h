// Tells a backend server that has become slow from one with a few slow
// requests.
//
// Each server has a score: the sum of log-likelihood ratios of what was seen,
// between "kSlowFactor times slower than its group" and "as usual", never below
// zero (a CUSUM test, Page 1954). The usual time is a mixture: most requests
// around the base time, and a share of long ones. An unfinished request counts
// by its age so far, so a server that hangs is noticed before it answers.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_SLOWNESS_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_SLOWNESS_H_

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// A mean in which old samples fade.
class MovingMean {
 public:
  void Add(Duration sample);
  void Add(double sample);
  Duration Value() const;
  double Raw() const { return mean_; }
  // @return whether enough samples were seen to compare others with the mean
  bool trusted() const;
  bool empty() const { return samples_ == 0; }

 private:
  double mean_ = 0;
  int samples_ = 0;
};

// The usual times of a group of servers.
class UsualTimes {
 public:
  void AddAnswer(Duration service_time);
  void AddHeld(Duration held);

  // @return evidence of an answer that took `service_time`; 0 while too little
  //     is known
  double EvidenceOfAnswer(Duration service_time) const;
  // @return evidence of a request that is unfinished after `age`
  double EvidenceOfAge(Duration age) const;
  // @return whether an answer is within the usual spread
  bool IsPrompt(Duration service_time) const;

  Duration mean_service_time() const { return service_time_.Value(); }
  // Mean time for which a grant occupies its slot.
  Duration mean_held() const { return held_.Value(); }
  bool empty() const { return held_.empty(); }

 private:
  MovingMean service_time_;
  MovingMean held_;
};

// Old evidence fades, so a server that is avoided is tried again.
class SlownessScore {
 public:
  void Add(double evidence, TimePoint now);
  void Reset() { score_ = 0; }
  double At(TimePoint now) const;

 private:
  double score_ = 0;
  TimePoint updated_at_;
};

// Score of finished and unfinished requests at which a server gets new work
// only if no other one is free.
inline constexpr double kAvoidScore = 2;

// Score of finished and unfinished requests at which a server gets no new work
// until one of them has ended. One long request counts 3.9 at most, and three
// long requests at once are usual at full load.
inline constexpr double kHoldScore = 11;

// Score of finished requests alone at which a server is left for a back-off.
inline constexpr double kLeaveScore = 14;

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_SLOWNESS_H_
