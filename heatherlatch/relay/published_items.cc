#include "heatherlatch/relay/published_items.h"

#include <algorithm>
#include <set>

namespace heatherlatch {
namespace {

bool IsOlder(const PublishedItem& a, const PublishedItem& b) {
  return a.revision < b.revision;
}

}  // namespace

std::vector<PublishedItem> PublishedItems::Merge(const FeedPage& page) {
  std::vector<PublishedItem> changed;
  if (page.is_whole) RemoveUnlisted(page, &changed);
  for (const PublishedItem& item : page.items) {
    PublishedItem& known = items_[item.key];
    if (!known.key.empty() && known.revision >= item.revision) continue;
    if (known.gone) --removed_;
    if (item.gone) ++removed_;
    known = item;
    changed.push_back(item);
  }
  revision_ = std::max(revision_, page.revision);
  std::stable_sort(changed.begin(), changed.end(), IsOlder);
  while (removed_ > kMaxRemembered) ForgetOldest();
  return changed;
}

void PublishedItems::RemoveUnlisted(const FeedPage& page,
                                    std::vector<PublishedItem>* changed) {
  std::set<std::string> listed;
  for (const PublishedItem& item : page.items) listed.insert(item.key);
  for (auto& [key, known] : items_) {
    if (known.gone || listed.count(key) > 0) continue;
    // An item that changed after the list was made says nothing of the list.
    if (known.revision > page.revision) continue;
    known.value.clear();
    known.gone = true;
    known.revision = page.revision;
    ++removed_;
    changed->push_back(known);
  }
  // The list does not tell what was removed before it.
  if (revision_ < page.revision) {
    forgotten_until_ = std::max(forgotten_until_, page.revision);
  }
}

void PublishedItems::ForgetOldest() {
  auto oldest = items_.end();
  for (auto it = items_.begin(); it != items_.end(); ++it) {
    if (!it->second.gone) continue;
    if (oldest == items_.end() || IsOlder(it->second, oldest->second)) {
      oldest = it;
    }
  }
  if (oldest == items_.end()) return;
  forgotten_until_ = std::max(forgotten_until_, oldest->second.revision);
  items_.erase(oldest);
  --removed_;
}

FeedPage PublishedItems::ChangesSince(std::uint64_t revision) const {
  FeedPage page;
  page.revision = revision_;
  page.is_whole = revision < forgotten_until_;
  for (const auto& [key, item] : items_) {
    if (page.is_whole ? !item.gone : item.revision > revision) {
      page.items.push_back(item);
    }
  }
  return page;
}

}  // namespace heatherlatch
