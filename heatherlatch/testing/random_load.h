// Random load for tests that play it in virtual time.
//
// Thread safety: none.
#ifndef HEATHERLATCH_TESTING_RANDOM_LOAD_H_
#define HEATHERLATCH_TESTING_RANDOM_LOAD_H_

#include <chrono>
#include <cmath>
#include <random>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// @param per_second  how many requests come in a second on average
// @return the time until the next of them, as for independent callers
inline Duration DrawGap(double per_second, std::mt19937_64* rng) {
  const std::chrono::duration<double> gap(
      std::exponential_distribution<double>(per_second)(*rng));
  return std::chrono::duration_cast<Duration>(gap);
}

// @param mean_ms  milliseconds that a request takes on average
// @param spread   standard deviation of the logarithm of its time
// @return how long a request runs on a server at its usual speed
inline Duration DrawWork(double mean_ms, double spread, std::mt19937_64* rng) {
  std::lognormal_distribution<double> work(
      std::log(mean_ms) - spread * spread / 2, spread);
  return FromMilliseconds(work(*rng));
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TESTING_RANDOM_LOAD_H_
