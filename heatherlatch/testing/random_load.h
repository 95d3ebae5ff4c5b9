// Random load for simulations in virtual time.
//
// Thread safety: none.
#ifndef HEATHERLATCH_TESTING_RANDOM_LOAD_H_
#define HEATHERLATCH_TESTING_RANDOM_LOAD_H_

#include <chrono>
#include <cmath>
#include <random>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// Draws an interarrival time of a Poisson process, as for independent callers.
// @param per_second  mean request rate, requests per second
// @return the time until the next request
inline Duration DrawInterarrivalTime(double per_second, std::mt19937_64* rng) {
  const std::chrono::duration<double> interarrival_time(
      std::exponential_distribution<double>(per_second)(*rng));
  return std::chrono::duration_cast<Duration>(interarrival_time);
}

// Draws a service time from a log-normal distribution.
// @param mean_ms  mean service time, milliseconds
// @param spread   standard deviation of the logarithm of the service time
// @return the service time of a request on a server without slowdown
inline Duration DrawServiceTime(double mean_ms, double spread,
                                std::mt19937_64* rng) {
  std::lognormal_distribution<double> service_time(
      std::log(mean_ms) - spread * spread / 2, spread);
  return FromMilliseconds(service_time(*rng));
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TESTING_RANDOM_LOAD_H_
