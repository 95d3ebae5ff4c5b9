#include "heatherlatch/relay/shared_suspects.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace heatherlatch {

bool SharedSuspects::Add(const SuspectNotice& notice, TimePoint now) {
  Prune(now);
  if (notice.crashes <= 0 || notice.age >= kSuspectNoticeRetention) {
    return false;
  }
  const TimePoint crashed_at = now - notice.age;
  const auto found = entries_.find(notice.digest);
  if (found != entries_.end()) {
    const Entry& known = found->second;
    const bool is_later =
        crashed_at - known.crashed_at >= kSuspectNoticeLifetime;
    if (known.crashes > notice.crashes ||
        (known.crashes == notice.crashes && !is_later)) {
      return false;
    }
  }
  entries_[notice.digest] = {notice.service, notice.crashes, crashed_at, now};
  if (entries_.size() > kMaxSharedSuspects) DropLeastSuspicious();
  return entries_.count(notice.digest) > 0;
}

std::vector<SuspectNotice> SharedSuspects::Recent(TimePoint now) const {
  return Select(now, [now](const Entry& entry) {
    return now - entry.learnt_at < kSuspectNoticeLifetime;
  });
}

std::vector<SuspectNotice> SharedSuspects::All(TimePoint now) const {
  return Select(now, [](const Entry&) { return true; });
}

std::vector<SuspectNotice> SharedSuspects::Select(
    TimePoint now, const std::function<bool(const Entry&)>& is_selected) const {
  std::vector<SuspectNotice> selected;
  for (const auto& [digest, entry] : entries_) {
    const Duration age = now - entry.crashed_at;
    if (age >= kSuspectNoticeRetention || !is_selected(entry)) continue;
    selected.push_back({digest, entry.service, entry.crashes, age});
  }
  return selected;
}

void SharedSuspects::Prune(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool expired = now - it->second.crashed_at >= kSuspectNoticeRetention;
    it = expired ? entries_.erase(it) : std::next(it);
  }
}

void SharedSuspects::DropLeastSuspicious() {
  entries_.erase(std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.crashes, a.second.crashed_at) <
               std::tie(b.second.crashes, b.second.crashed_at);
      }));
}

}  // namespace heatherlatch
