#include "heatherlatch/relay/shared_suspects.h"

#include <algorithm>
#include <iterator>

namespace heatherlatch {

bool SharedSuspects::Add(const SuspectNotice& notice, TimePoint now) {
  Prune(now);
  if (notice.crashes <= 0 || notice.age >= kSuspectToldFor) return false;
  const Key key(notice.service, notice.digest);
  const auto found = known_.find(key);
  if (found != known_.end() && found->second.crashes >= notice.crashes) {
    return false;
  }
  if (found == known_.end() && known_.size() >= kMostSuspectsTold) {
    const auto oldest = std::min_element(
        known_.begin(), known_.end(), [](const auto& a, const auto& b) {
          return a.second.crashed_at < b.second.crashed_at;
        });
    known_.erase(oldest);
  }
  known_[key] = {notice.crashes, now - notice.age};
  return true;
}

std::vector<SuspectNotice> SharedSuspects::Recent(TimePoint now) const {
  std::vector<SuspectNotice> recent;
  for (const auto& [key, known] : known_) {
    const Duration age = now - known.crashed_at;
    if (age >= kSuspectToldFor) continue;
    recent.push_back({key.second, key.first, known.crashes, age});
  }
  return recent;
}

void SharedSuspects::Prune(TimePoint now) {
  for (auto it = known_.begin(); it != known_.end();) {
    const bool old = now - it->second.crashed_at >= kSuspectToldFor;
    it = old ? known_.erase(it) : std::next(it);
  }
}

}  // namespace heatherlatch
