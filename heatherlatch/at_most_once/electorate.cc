#include "heatherlatch/at_most_once/internal/electorate.h"

namespace heatherlatch {

void Electorate::SetRing(const std::vector<HostIncarnation>& ring,
                         TimePoint now) {
  // Former members were in the ring until now.
  for (const HostName& host : ring_) last_seen_[host] = now;
  ring_.clear();
  for (const HostIncarnation& member : ring) {
    ring_.insert(member.host);
    last_seen_[member.host] = now;
    departed_.erase(member.host);
  }
}

void Electorate::ApplyHostList(const std::vector<HostIncarnation>& listed,
                               TimePoint now) {
  has_list_ = true;
  std::set<HostName> names;
  for (const HostIncarnation& host : listed) {
    names.insert(host.host);
    if (departed_.count(host.host) == 0) last_seen_[host.host] = now;
  }
  for (auto it = last_seen_.begin(); it != last_seen_.end();) {
    const bool present =
        names.count(it->first) > 0 || ring_.count(it->first) > 0;
    const bool removed = !present && now - it->second >= removal_delay_;
    it = removed ? last_seen_.erase(it) : std::next(it);
  }
  for (auto it = departed_.begin(); it != departed_.end();) {
    const bool done =
        names.count(it->first) == 0 && last_seen_.count(it->first) == 0;
    it = done ? departed_.erase(it) : std::next(it);
  }
}

void Electorate::MarkDeparted(const HostName& host, TimePoint now) {
  if (ring_.count(host) == 0) departed_.emplace(host, now);
}

void Electorate::RemoveDeparted(TimePoint now) {
  for (const auto& [host, since] : departed_) {
    if (now - since >= departure_delay_) last_seen_.erase(host);
  }
}

}  // namespace heatherlatch
