#include "heatherlatch/relay/shared_suspects.h"

#include <algorithm>
#include <iterator>

namespace heatherlatch {

bool SharedSuspects::Add(const SuspectNotice& notice, TimePoint now) {
  Prune(now);
  if (notice.crashes <= 0 || notice.age >= kSuspectNoticeLifetime) return false;
  const Key key(notice.service, notice.digest);
  const auto found = entries_.find(key);
  if (found != entries_.end() && found->second.crashes >= notice.crashes) {
    return false;
  }
  if (found == entries_.end() && entries_.size() >= kMaxSharedSuspects) {
    const auto oldest = std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return a.second.crashed_at < b.second.crashed_at;
        });
    entries_.erase(oldest);
  }
  entries_[key] = {notice.crashes, now - notice.age};
  return true;
}

std::vector<SuspectNotice> SharedSuspects::Recent(TimePoint now) const {
  std::vector<SuspectNotice> recent;
  for (const auto& [key, entry] : entries_) {
    const Duration age = now - entry.crashed_at;
    if (age >= kSuspectNoticeLifetime) continue;
    recent.push_back({key.second, key.first, entry.crashes, age});
  }
  return recent;
}

void SharedSuspects::Prune(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool expired = now - it->second.crashed_at >= kSuspectNoticeLifetime;
    it = expired ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace heatherlatch
