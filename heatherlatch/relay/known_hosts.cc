#include "heatherlatch/relay/known_hosts.h"

#include <algorithm>
#include <iterator>

namespace heatherlatch {
namespace {

std::vector<Endpoint> Draw(const std::vector<Endpoint>& hosts,
                           std::size_t count, std::mt19937_64* rng) {
  std::vector<Endpoint> drawn;
  std::sample(hosts.begin(), hosts.end(), std::back_inserter(drawn), count,
              *rng);
  return drawn;
}

}  // namespace

void KnownHosts::NoteRequest(const Endpoint& host, TimePoint now) {
  if (host == self_) return;
  hosts_[host] = {now, now};
  DropOldest();
}

void KnownHosts::NoteListed(const Endpoint& host, TimePoint now) {
  if (host == self_) return;
  hosts_[host].noted_at = now;
  DropOldest();
}

bool KnownHosts::IsRecent(TimePoint at, TimePoint now) const {
  return reader_responded_at_.value_or(now) - at < kKnownHostLifetime;
}

void KnownHosts::DropOldest() {
  if (hosts_.size() <= kMaxKnownHosts) return;
  hosts_.erase(std::min_element(hosts_.begin(), hosts_.end(),
                                [](const auto& a, const auto& b) {
                                  return a.second.noted_at < b.second.noted_at;
                                }));
}

std::vector<Endpoint> KnownHosts::Sample(std::size_t count,
                                         std::mt19937_64* rng,
                                         TimePoint now) const {
  std::vector<Endpoint> current;
  for (const auto& [host, known] : hosts_) {
    if (IsRecent(known.noted_at, now)) current.push_back(host);
  }
  return Draw(current, count, rng);
}

std::vector<Endpoint> KnownHosts::SampleRequesters(std::size_t count,
                                                   std::mt19937_64* rng,
                                                   TimePoint now) const {
  std::vector<Endpoint> current;
  for (const auto& [host, known] : hosts_) {
    if (known.requested_at && now - *known.requested_at < kKnownHostLifetime) {
      current.push_back(host);
    }
  }
  return Draw(current, count, rng);
}

std::size_t KnownHosts::Count(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(),
      [&](const auto& entry) { return IsRecent(entry.second.noted_at, now); }));
}

}  // namespace heatherlatch
