#include "heatherlatch/relay/earlier_values.h"

#include <algorithm>

#include "heatherlatch/relay/value_delta.h"

namespace heatherlatch {

bool IsLarge(const PublishedItem& item) {
  return !item.is_deleted && item.value.size() >= kLargeValueBytes;
}

void EarlierValues::Keep(const PublishedItem& item) {
  if (!IsLarge(item) || item.revision == 0 ||
      Find(item.key, item.revision) != nullptr) {
    return;
  }
  items_.push_back(item);
  bytes_ += item.value.size();
  const auto is_of_item = [&item](const PublishedItem& kept) {
    return kept.key == item.key;
  };
  const auto drop = [this](std::deque<PublishedItem>::iterator kept) {
    bytes_ -= kept->value.size();
    items_.erase(kept);
  };
  if (static_cast<std::size_t>(std::count_if(items_.begin(), items_.end(),
                                             is_of_item)) > kMaxEarlierValues) {
    drop(std::find_if(items_.begin(), items_.end(), is_of_item));
  }
  while (bytes_ > kMaxEarlierBytes) drop(items_.begin());
}

const PublishedItem* EarlierValues::Find(const std::string& key,
                                         std::uint64_t revision) const {
  const auto found = std::find_if(
      items_.begin(), items_.end(), [&](const PublishedItem& kept) {
        return kept.key == key && kept.revision == revision;
      });
  return found == items_.end() ? nullptr : &*found;
}

const ItemDelta& EarlierValues::DeltaOf(const PublishedItem& item,
                                        std::uint64_t held_revision) {
  for (auto it = deltas_.begin(); it != deltas_.end();) {
    const bool is_outdated =
        it->first.first == item.key && it->second.revision != item.revision;
    it = is_outdated ? deltas_.erase(it) : std::next(it);
  }
  const PublishedItem* base = Find(item.key, held_revision);
  const std::uint64_t base_revision = base == nullptr ? 0 : held_revision;
  ItemDelta& delta = deltas_[{item.key, base_revision}];
  if (delta.revision == 0) {
    delta = {item.key, item.revision, base_revision,
             MakeDelta(base == nullptr ? std::string_view() : base->value,
                       item.value)};
  }
  return delta;
}

}  // namespace heatherlatch
