#include "heatherlatch/at_most_once/internal/electorate.h"

namespace heatherlatch {

void Electorate::NoteRing(const std::vector<HostIncarnation>& ring,
                          TimePoint now) {
  // Former members were in the ring until now.
  for (const HostName& host : ring_) last_named_[host] = now;
  ring_.clear();
  for (const HostIncarnation& member : ring) {
    ring_.insert(member.host);
    last_named_[member.host] = now;
    departed_.erase(member.host);
  }
}

void Electorate::NoteListed(const std::vector<HostIncarnation>& listed,
                            TimePoint now) {
  has_list_ = true;
  std::set<HostName> names;
  for (const HostIncarnation& host : listed) {
    names.insert(host.host);
    if (departed_.count(host.host) == 0) last_named_[host.host] = now;
  }
  for (auto it = last_named_.begin(); it != last_named_.end();) {
    const bool named = names.count(it->first) > 0 || ring_.count(it->first) > 0;
    const bool removed = !named && now - it->second >= removal_delay_;
    it = removed ? last_named_.erase(it) : std::next(it);
  }
  for (auto it = departed_.begin(); it != departed_.end();) {
    const bool done =
        names.count(it->first) == 0 && last_named_.count(it->first) == 0;
    it = done ? departed_.erase(it) : std::next(it);
  }
}

void Electorate::NoteDeparted(const HostName& host, TimePoint now) {
  if (ring_.count(host) == 0) departed_.emplace(host, now);
}

void Electorate::Advance(TimePoint now) {
  for (const auto& [host, since] : departed_) {
    if (now - since >= departure_delay_) last_named_.erase(host);
  }
}

}  // namespace heatherlatch
