// Jittered exponential backoff between attempts to connect to one endpoint.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PEER_INTERNAL_BACKOFF_H_
#define HEATHERLATCH_PEER_INTERNAL_BACKOFF_H_

#include <algorithm>
#include <random>

#include "heatherlatch/base/time.h"

namespace heatherlatch::peer_internal {

class Backoff {
 public:
  Backoff(Duration min, Duration max) : min_(min), max_(max), next_(min) {}

  // @return a random delay between half the current bound and the bound; the
  //     bound then doubles, up to the maximum
  template <typename Generator>
  Duration Next(Generator& generator) {
    std::uniform_int_distribution<Duration::rep> jitter(next_.count() / 2,
                                                        next_.count());
    next_ = std::min(next_ * 2, max_);
    return Duration(jitter(generator));
  }

  void Reset() { next_ = min_; }

 private:
  Duration min_;
  Duration max_;
  Duration next_;
};

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_BACKOFF_H_
