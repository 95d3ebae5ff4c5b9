#include "programs/load/arrivals.h"

namespace heatherlatch::load {

Arrivals::Arrivals(const std::vector<RateStep>& steps, double share,
                   std::uint64_t seed)
    : steps_(steps), share_(share), random_(seed) {}

std::optional<Duration> Arrivals::Next() {
  // The gaps are exponential, so drawing anew at the start of a step keeps the
  // process Poisson.
  while (step_ < steps_.size()) {
    const RateStep& step = steps_[step_];
    const Duration step_end = step_start_ + step.length;
    const double rate = step.rate_per_second * share_;
    if (rate > 0) {
      std::exponential_distribution<double> gap(rate);
      const auto seconds = std::chrono::duration<double>(gap(random_));
      const auto next = now_ + std::chrono::duration_cast<Duration>(seconds);
      if (next < step_end) {
        now_ = next;
        return now_;
      }
    }
    now_ = step_end;
    step_start_ = step_end;
    ++step_;
  }
  return std::nullopt;
}

}  // namespace heatherlatch::load
