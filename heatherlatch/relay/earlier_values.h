// Keeps earlier values of large items, so that a host that holds one of them
// can be sent the difference to the newest value in place of all of it.
//
// Example:
//   earlier.Keep(replaced_item);
//   response.deltas.push_back(earlier.DeltaOf(item, held_revision));
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_RELAY_EARLIER_VALUES_H_
#define HEATHERLATCH_RELAY_EARLIER_VALUES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "heatherlatch/relay/published_items.h"

namespace heatherlatch {

// From this size on a value is sent as a difference.
inline constexpr std::size_t kLargeValueBytes = 4096;

// The most earlier values of one item, and bytes of all of them, that are kept.
// A host that holds an older one is sent the whole value, compressed.
inline constexpr std::size_t kMaxEarlierValues = 2;
inline constexpr std::size_t kMaxEarlierBytes = 4u << 20;

// @return whether other hosts are sent differences of the item
bool IsLarge(const PublishedItem& item);

// The difference of an item from a value that the receiver holds.
struct ItemDelta {
  std::string key;
  std::uint64_t revision = 0;
  std::uint64_t base_revision = 0;  // Of the value held; 0: none is needed.
  std::string bytes;                // As MakeDelta returns them.
};

class EarlierValues {
 public:
  // Keeps the value of an item that is about to be replaced, if it is large.
  void Keep(const PublishedItem& item);

  // @param item           the newest value
  // @param held_revision  of the value that the receiver holds; 0: none
  // @return the difference from that value, or from none if it is not kept
  const ItemDelta& DeltaOf(const PublishedItem& item,
                           std::uint64_t held_revision);

 private:
  const PublishedItem* Find(const std::string& key,
                            std::uint64_t revision) const;

  std::deque<PublishedItem> items_;  // The oldest first.
  std::size_t bytes_ = 0;
  // Those made of the newest revision of each item, by key and base.
  std::map<std::pair<std::string, std::uint64_t>, ItemDelta> deltas_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_EARLIER_VALUES_H_
