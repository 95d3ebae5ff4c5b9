#include "heatherlatch/relay/known_hosts.h"

#include <algorithm>
#include <iterator>

namespace heatherlatch {

void KnownHosts::Note(const Endpoint& host, TimePoint now) {
  if (host == self_) return;
  noted_at_[host] = now;
  if (noted_at_.size() <= kMaxKnownHosts) return;
  noted_at_.erase(std::min_element(
      noted_at_.begin(), noted_at_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; }));
}

std::vector<Endpoint> KnownHosts::Sample(std::size_t count,
                                         std::mt19937_64* rng,
                                         TimePoint now) const {
  std::vector<Endpoint> current;
  for (const auto& [host, noted_at] : noted_at_) {
    if (now - noted_at < kKnownHostLifetime) current.push_back(host);
  }
  std::vector<Endpoint> sample;
  std::sample(current.begin(), current.end(), std::back_inserter(sample), count,
              *rng);
  return sample;
}

}  // namespace heatherlatch
