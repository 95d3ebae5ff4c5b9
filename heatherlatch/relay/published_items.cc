#include "heatherlatch/relay/published_items.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "heatherlatch/relay/store_revision.h"

namespace heatherlatch {
namespace {

bool IsOlder(const PublishedItem& a, const PublishedItem& b) {
  return a.revision < b.revision;
}

}  // namespace

std::vector<PublishedItem> PublishedItems::Merge(const FeedPage& page) {
  std::vector<PublishedItem> changed;
  if (page.is_complete) RemoveUnlisted(page, &changed);
  for (const PublishedItem& item : page.items) {
    // Hosts that know no later items than their revision states can be told
    // what changed since.
    if (page.is_complete && item.revision > page.revision) continue;
    PublishedItem& stored = items_[item.key];
    if (!stored.key.empty() && stored.revision >= item.revision) continue;
    const bool is_same = !stored.key.empty() && !stored.is_deleted &&
                         !item.is_deleted && stored.value == item.value;
    const bool is_restored =
        EraOf(stored.revision) < EraOf(item.revision) || stored.revision == 0;
    if (is_same && is_restored) {
      stored.revision = item.revision;
      continue;
    }
    if (stored.is_deleted) --tombstone_count_;
    if (item.is_deleted) ++tombstone_count_;
    stored = item;
    changed.push_back(item);
  }
  revision_ = std::max(revision_, page.revision);
  std::stable_sort(changed.begin(), changed.end(), IsOlder);
  while (tombstone_count_ > kMaxTombstones) DropOldestTombstone();
  return changed;
}

void PublishedItems::RemoveUnlisted(const FeedPage& page,
                                    std::vector<PublishedItem>* changed) {
  std::set<std::string> listed;
  for (const PublishedItem& item : page.items) listed.insert(item.key);
  for (auto& [key, stored] : items_) {
    if (stored.is_deleted || listed.count(key) > 0) continue;
    // The list does not cover an item that changed after it was made.
    if (stored.revision > page.revision) continue;
    stored.value.clear();
    stored.is_deleted = true;
    stored.revision = page.revision;
    ++tombstone_count_;
    changed->push_back(stored);
  }
  if (revision_ < page.revision) NoteListed(page.revision);
}

void PublishedItems::NoteListed(std::uint64_t revision) {
  const bool goes_on = revision_ > 0 && EraOf(revision_) == EraOf(revision);
  pruned_until_revision_ = std::max(
      pruned_until_revision_, goes_on ? unknown_deletions_.until : revision);
  unknown_deletions_ = {revision_, revision};
}

void PublishedItems::StartOver() {
  for (auto it = items_.begin(); it != items_.end();) {
    it->second.revision = 0;
    it = it->second.is_deleted ? items_.erase(it) : std::next(it);
  }
  tombstone_count_ = 0;
  revision_ = 0;
  pruned_until_revision_ = 0;
  unknown_deletions_ = {};
}

void PublishedItems::DropOldestTombstone() {
  auto oldest = items_.end();
  for (auto it = items_.begin(); it != items_.end(); ++it) {
    if (!it->second.is_deleted) continue;
    if (oldest == items_.end() || IsOlder(it->second, oldest->second)) {
      oldest = it;
    }
  }
  if (oldest == items_.end()) return;
  pruned_until_revision_ =
      std::max(pruned_until_revision_, oldest->second.revision);
  items_.erase(oldest);
  --tombstone_count_;
}

const PublishedItem* PublishedItems::Find(const std::string& key) const {
  const auto found = items_.find(key);
  const bool exists = found != items_.end() && !found->second.is_deleted;
  return exists ? &found->second : nullptr;
}

std::vector<const PublishedItem*> PublishedItems::Existing() const {
  std::vector<const PublishedItem*> existing;
  for (const auto& [key, item] : items_) {
    if (!item.is_deleted) existing.push_back(&item);
  }
  return existing;
}

FeedPage PublishedItems::ChangesSince(std::uint64_t revision) const {
  FeedPage page;
  page.revision = revision_;
  page.is_complete = revision < pruned_until_revision_ ||
                     (revision > unknown_deletions_.after &&
                      revision < unknown_deletions_.until);
  for (const auto& [key, item] : items_) {
    if (page.is_complete ? !item.is_deleted : item.revision > revision) {
      page.items.push_back(item);
    }
  }
  return page;
}

}  // namespace heatherlatch
