// What the platform has published, as far as a host knows it, with revisions.
//
// Hosts pass these items on to one another, so that only a few of them call the
// platform's store. Knowledge only grows: an item never gives way to one of an
// older revision, whichever way that one came.
//
// Example:
//   std::vector<PublishedItem> news = items.Merge(page);
//   FeedPage answer = items.ChangesSince(asked_revision);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_RELAY_PUBLISHED_ITEMS_H_
#define HEATHERLATCH_RELAY_PUBLISHED_ITEMS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heatherlatch {

struct PublishedItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  // Of its last change.
  bool gone = false;           // It was removed; there is no value.
};

// Part of what is published.
struct FeedPage {
  // Whether `items` are all that exist at `revision`; otherwise those that
  // changed since the asked revision.
  bool is_whole = false;
  std::uint64_t revision = 0;
  std::vector<PublishedItem> items;
};

// Removed items that are remembered, so that a host that was away learns of
// them. Source: several times the servers of a deployment of today.
inline constexpr std::size_t kMaxTombstones = 500;

class PublishedItems {
 public:
  // Takes over what is newer than what is stored.
  // @return the items that changed by it, in the order of their revisions
  std::vector<PublishedItem> Merge(const FeedPage& page);

  // @return what changed after `revision`, or all items where removals since
  //     then are no longer remembered
  FeedPage ChangesSince(std::uint64_t revision) const;

  std::uint64_t revision() const { return revision_; }

 private:
  void RemoveUnlisted(const FeedPage& page,
                      std::vector<PublishedItem>* changed);
  void DropOldestTombstone();

  std::map<std::string, PublishedItem> items_;  // Removed ones too.
  std::uint64_t revision_ = 0;
  // Removals up to this revision may be forgotten.
  std::uint64_t pruned_until_revision_ = 0;
  std::size_t tombstone_count_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_PUBLISHED_ITEMS_H_
