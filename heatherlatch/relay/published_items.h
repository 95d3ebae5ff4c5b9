// The items that the platform has published, with their revisions, as far as
// this host has received them.
//
// Hosts pass the items on to one another, so that only a few of them call the
// platform's store. An item is never replaced by one of an older revision, from
// whichever source that one comes.
//
// Example:
//   std::vector<PublishedItem> changed = items.Merge(page);
//   FeedPage response = items.ChangesSince(requested_revision);
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
  std::uint64_t revision = 0;  // Of its last change, with its era.
  bool is_deleted = false;     // A tombstone: deleted, without a value.
};

// Part of what is published.
struct FeedPage {
  // Whether `items` are all items that exist at `revision`; otherwise they are
  // those that changed since the requested revision.
  bool is_complete = false;
  std::uint64_t revision = 0;
  std::vector<PublishedItem> items;
};

// The most tombstones of deleted items that are kept, so that a host that was
// disconnected receives the deletions. Several times the number of servers in a
// present-day deployment.
inline constexpr std::size_t kMaxTombstones = 500;

class PublishedItems {
 public:
  // Stores the items that are newer than the stored ones. A complete page also
  // deletes the stored items that it does not list, unless they are newer, and
  // its items beyond its revision are left to the changes that follow it. An
  // item that a restore of the store left as it was does not count as changed.
  // @return the items that changed, in the order of their revisions
  std::vector<PublishedItem> Merge(const FeedPage& page);

  // Takes all items for older than any that is merged from now on, but keeps
  // them. To be called before the list of a store that was set up anew.
  void StartOver();

  // @return the items that changed after `revision`, or a complete page where
  //     tombstones of deletions since then may have been dropped, or are
  //     unknown because a complete page took the place of the changes
  FeedPage ChangesSince(std::uint64_t revision) const;

  // @return the item with this key, or nullptr if none is known to exist
  const PublishedItem* Find(const std::string& key) const;

  // @return all items that exist
  std::vector<const PublishedItem*> Existing() const;

  std::uint64_t revision() const { return revision_; }

 private:
  void RemoveUnlisted(const FeedPage& page,
                      std::vector<PublishedItem>* changed);
  // Notes that a complete page takes the place of the changes up to `revision`.
  void NoteListed(std::uint64_t revision);
  void DropOldestTombstone();

  struct RevisionRange {
    std::uint64_t after = 0;
    std::uint64_t until = 0;
  };

  std::map<std::string, PublishedItem> items_;  // Including tombstones.
  std::uint64_t revision_ = 0;
  // Tombstones up to this revision may have been dropped.
  std::uint64_t pruned_until_revision_ = 0;
  // Of the last complete page: items that were both created and deleted in
  // between are not known to have existed.
  RevisionRange unknown_deletions_;
  std::size_t tombstone_count_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_PUBLISHED_ITEMS_H_
