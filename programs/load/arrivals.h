// Arrival times of an open-loop load: a Poisson process whose rate follows the
// steps of a profile.
//
// Thread safety: none.
#ifndef PROGRAMS_LOAD_ARRIVALS_H_
#define PROGRAMS_LOAD_ARRIVALS_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "heatherlatch/base/time.h"
#include "programs/load/load_profile.h"

namespace heatherlatch::load {

class Arrivals {
 public:
  // @param share  fraction of the rate that this object generates, from 0 to 1
  Arrivals(const std::vector<RateStep>& steps, double share,
           std::uint64_t seed);

  // @return the next arrival time, relative to the start of the run; none after
  //     the last step
  std::optional<Duration> Next();

 private:
  std::vector<RateStep> steps_;
  double share_;
  std::mt19937_64 random_;
  std::size_t step_ = 0;
  Duration step_start_{};
  Duration now_{};
};

}  // namespace heatherlatch::load

#endif  // PROGRAMS_LOAD_ARRIVALS_H_
