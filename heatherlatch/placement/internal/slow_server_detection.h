// Detects backend servers that have become slow, and does not confuse them with
// servers that have a few long requests.
//
// Each server has a score: the sum of the log-likelihood ratios of the observed
// times under two hypotheses, "kSlowFactor times slower than its group" and "as
// fast as its group", never below zero (a CUSUM test, Page 1954). The times of
// the group are modelled as a mixture: most requests take around the base time,
// and a small share of them is longer. An unfinished request counts by its age,
// so a server that hangs is detected before it responds.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_SLOW_SERVER_DETECTION_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_SLOW_SERVER_DETECTION_H_

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// Mean of the first samples, then an exponentially weighted moving average.
class MovingMean {
 public:
  void Add(Duration sample);
  void Add(double sample);
  Duration Value() const;
  // In ticks of `Duration`, with the fraction.
  double ValueInTicks() const { return mean_; }
  // @return whether enough samples were seen to compare others with the mean
  bool trusted() const;
  bool empty() const { return samples_ == 0; }

 private:
  double mean_ = 0;
  int samples_ = 0;
};

// Mean service and slot times of a group, with which its servers are compared.
//
// Evidence is a log-likelihood ratio: positive if the time is more likely on a
// slow server, zero while there are too few samples.
class BaselineTimes {
 public:
  void AddServiceTime(Duration service_time);
  // @param slot_time  time from a grant to its end
  void AddSlotTime(Duration slot_time);

  // @return evidence of a response that took `service_time`
  double EvidenceOfServiceTime(Duration service_time) const;
  // @return evidence of a request that is unfinished after `age`, counted from
  //     its grant
  double EvidenceOfAge(Duration age) const;
  // @return whether a service time is within the normal spread; true while
  //     there are too few samples
  bool IsPrompt(Duration service_time) const;

  Duration mean_service_time() const { return service_time_.Value(); }
  // Mean time for which a grant occupies its slot.
  Duration mean_slot_time() const { return slot_time_.Value(); }
  bool empty() const { return slot_time_.empty(); }

 private:
  MovingMean service_time_;
  MovingMean slot_time_;
};

// The score of one server. It decays exponentially, so a server that is avoided
// is used again after a while.
class SlowServerScore {
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
inline constexpr double kPauseScore = 11;

// Score of finished requests alone at which a server is ejected for a backoff.
inline constexpr double kEjectScore = 14;

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_SLOW_SERVER_DETECTION_H_
