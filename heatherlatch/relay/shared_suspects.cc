#include "heatherlatch/relay/shared_suspects.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

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
  } else if (entries_.size() >= kMaxKeptSuspects && !MakeRoomFor(notice)) {
    return false;
  }
  entries_[notice.digest] = {notice.service, notice.crashes, crashed_at, now};
  return true;
}

std::optional<SuspectNotice> SharedSuspects::Find(ContentDigest digest,
                                                  TimePoint now) const {
  const auto found = entries_.find(digest);
  if (found == entries_.end()) return std::nullopt;
  const Entry& entry = found->second;
  return SuspectNotice{digest, entry.service, entry.crashes,
                       now - entry.crashed_at};
}

std::vector<SuspectNotice> SharedSuspects::Recent(TimePoint now) const {
  return Select(now, kMaxSharedSuspects / 2, [now](const Entry& entry) {
    return now - entry.learnt_at < kSuspectNoticeLifetime;
  });
}

std::vector<SuspectNotice> SharedSuspects::All(TimePoint now) const {
  return Select(now, kMaxSharedSuspects, [](const Entry&) { return true; });
}

std::vector<SuspectNotice> SharedSuspects::Select(
    TimePoint now, std::size_t by_crashes,
    const std::function<bool(const Entry&)>& is_selected) const {
  std::vector<std::pair<ContentDigest, const Entry*>> chosen;
  for (const auto& [digest, entry] : entries_) {
    const Duration age = now - entry.crashed_at;
    if (age >= kSuspectNoticeRetention || !is_selected(entry)) continue;
    chosen.emplace_back(digest, &entry);
  }
  const auto others = chosen.begin() + static_cast<std::ptrdiff_t>(
                                           std::min(by_crashes, chosen.size()));
  std::partial_sort(chosen.begin(), others, chosen.end(),
                    [](const auto& a, const auto& b) {
                      return std::tie(a.second->crashes, a.second->crashed_at) >
                             std::tie(b.second->crashes, b.second->crashed_at);
                    });
  std::sort(others, chosen.end(), [](const auto& a, const auto& b) {
    return a.second->learnt_at > b.second->learnt_at;
  });
  if (chosen.size() > kMaxSharedSuspects) chosen.resize(kMaxSharedSuspects);
  std::vector<SuspectNotice> selected;
  selected.reserve(chosen.size());
  for (const auto& [digest, entry] : chosen) {
    selected.push_back(
        {digest, entry->service, entry->crashes, now - entry->crashed_at});
  }
  return selected;
}

void SharedSuspects::Prune(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool expired = now - it->second.crashed_at >= kSuspectNoticeRetention;
    it = expired ? entries_.erase(it) : std::next(it);
  }
}

bool SharedSuspects::MakeRoomFor(const SuspectNotice& notice) {
  const auto least = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.crashes, a.second.crashed_at) <
               std::tie(b.second.crashes, b.second.crashed_at);
      });
  // Not one for another with as many crashes: hosts that tell each other of
  // both would each time take the other one for new.
  if (least->second.crashes >= notice.crashes) return false;
  entries_.erase(least);
  return true;
}

}  // namespace heatherlatch
