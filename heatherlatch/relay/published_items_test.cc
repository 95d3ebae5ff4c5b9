#include "heatherlatch/relay/published_items.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "heatherlatch/relay/store_revision.h"

namespace heatherlatch {
namespace {

using KeyValues = std::map<std::string, std::string>;

KeyValues Existing(const PublishedItems& items) {
  KeyValues key_values;
  for (const PublishedItem& item : items.ChangesSince(0).items) {
    if (!item.is_deleted) key_values[item.key] = item.value;
  }
  return key_values;
}

TEST_CASE("a new item with an empty value is not lost") {
  PublishedItems items;
  CHECK(items.Merge({false, 5, {{"zone-order", "", 5, false}}}).size() == 1);
  CHECK(Existing(items) == KeyValues{{"zone-order", ""}});
}

TEST_CASE("an older item never replaces a newer one", "[promise-10]") {
  PublishedItems items;
  items.Merge({false, 5, {{"config", "five", 5, false}}});
  CHECK(items.Merge({false, 4, {{"config", "four", 4, false}}}).empty());
  CHECK(items.Merge({true, 4, {{"config", "four", 4, false}}}).empty());
  CHECK(Existing(items) == KeyValues{{"config", "five"}});
  CHECK(items.revision() == 5);
}

TEST_CASE(
    "a complete list deletes items that it lacks, unless they are newer") {
  PublishedItems items;
  items.Merge({false, 3, {{"old", "1", 2, false}, {"new", "2", 9, false}}});
  const auto changed = items.Merge({true, 5, {{"other", "3", 4, false}}});
  CHECK(Existing(items) == KeyValues{{"new", "2"}, {"other", "3"}});
  REQUIRE(changed.size() == 2);
  CHECK(changed[1].key == "old");
  CHECK(changed[1].is_deleted);
}

TEST_CASE("of a restored store, only what differs has changed") {
  const std::uint64_t before = OrderedRevision(1, 50);
  const std::uint64_t after = OrderedRevision(2, 40);
  PublishedItems items;
  items.Merge({true,
               before,
               {{"same", "1", before, false},
                {"other", "2", before, false},
                {"lost", "3", before, false}}});
  const auto changed = items.Merge(
      {true,
       after,
       {{"same", "1", after, false}, {"other", "4", after, false}}});
  CHECK(Existing(items) == KeyValues{{"same", "1"}, {"other", "4"}});
  REQUIRE(changed.size() == 2);
  CHECK(changed[0].key == "lost");
  CHECK(changed[1].key == "other");
  CHECK(items.ChangesSince(before).is_complete);
}

TEST_CASE("of a store that was set up anew, only what differs has changed") {
  PublishedItems items;
  items.Merge({true,
               OrderedRevision(8000, 50),
               {{"same", "1", OrderedRevision(8000, 40), false},
                {"lost", "2", OrderedRevision(8000, 50), false}}});
  items.StartOver();
  const auto changed =
      items.Merge({true, 9, {{"same", "1", 8, false}, {"new", "3", 9, false}}});
  CHECK(Existing(items) == KeyValues{{"same", "1"}, {"new", "3"}});
  CHECK(changed.size() == 2);
  CHECK(items.revision() == 9);
  CHECK(items.ChangesSince(0).is_complete);
}

TEST_CASE("a host that missed dropped tombstones gets the complete list") {
  PublishedItems items;
  items.Merge({true, 100, {{"a", "1", 50, false}}});
  CHECK(items.ChangesSince(0).is_complete);
  CHECK(items.ChangesSince(99).is_complete);
  CHECK_FALSE(items.ChangesSince(100).is_complete);
  FeedPage removals;
  for (std::uint64_t i = 0; i <= kMaxTombstones; ++i) {
    removals.revision = 101 + i;
    removals.items.push_back({"x" + std::to_string(i), "", 101 + i, true});
  }
  items.Merge(removals);
  CHECK(items.ChangesSince(100).is_complete);
  CHECK_FALSE(items.ChangesSince(101).is_complete);
}

// Guards against a complete list for each follower whenever the store forgot
// its history and their reader had to list it again.
TEST_CASE("after another list of the store, followers get the changes only") {
  PublishedItems items;
  items.Merge({true, 10, {{"kept", "1", 5, false}, {"left", "2", 6, false}}});
  items.Merge({true, 20, {{"kept", "1", 5, false}, {"new", "3", 15, false}}});
  const FeedPage page = items.ChangesSince(10);
  CHECK_FALSE(page.is_complete);
  REQUIRE(page.items.size() == 2);
  CHECK(page.items[0].key == "left");
  CHECK(page.items[0].is_deleted);
  CHECK(page.items[1].key == "new");
  // Such a host may know an item that was listed by neither.
  CHECK(items.ChangesSince(11).is_complete);
  CHECK(items.ChangesSince(19).is_complete);
  CHECK_FALSE(items.ChangesSince(20).is_complete);
  items.Merge({true, 30, {{"kept", "1", 5, false}}});
  CHECK(items.ChangesSince(19).is_complete);
  CHECK_FALSE(items.ChangesSince(20).is_complete);
  CHECK(items.ChangesSince(21).is_complete);
}

TEST_CASE("a list brings no item beyond its revision") {
  PublishedItems items;
  items.Merge({true, 10, {{"a", "1", 5, false}}});
  items.Merge({true, 20, {{"a", "2", 21, false}, {"b", "3", 22, false}}});
  CHECK(Existing(items) == KeyValues{{"a", "1"}});
  items.Merge({false, 22, {{"a", "2", 21, false}, {"b", "3", 22, false}}});
  CHECK(Existing(items) == KeyValues{{"a", "2"}, {"b", "3"}});
}

// Guards against a late copy of an older state, such as one that comes through
// another host: nothing else orders the states of an item.
TEST_CASE("the changes of an item come in the order of the store") {
  CHECK(rc::check("pages that come in any order", [] {
    PublishedItems items;
    std::map<std::string, std::uint64_t> last;
    const int pages = *rc::gen::inRange(1, 30);
    for (int i = 0; i < pages; ++i) {
      FeedPage page;
      page.is_complete = *rc::gen::inRange(0, 4) == 0;
      page.revision = OrderedRevision(*rc::gen::inRange<std::uint64_t>(1, 4),
                                      *rc::gen::inRange<std::uint64_t>(1, 30));
      for (const char* key : {"a", "b", "c"}) {
        if (*rc::gen::inRange(0, 2) == 0) continue;
        const std::uint64_t revision =
            page.revision - *rc::gen::inRange<std::uint64_t>(0, 30);
        const bool is_deleted =
            !page.is_complete && *rc::gen::inRange(0, 3) == 0;
        page.items.push_back({key, is_deleted ? "" : std::to_string(revision),
                              revision, is_deleted});
      }
      for (const PublishedItem& item : items.Merge(page)) {
        // A list may lack an item without stating when it was deleted.
        RC_ASSERT(item.revision > last[item.key] ||
                  (item.is_deleted && item.revision == last[item.key]));
        last[item.key] = item.revision;
      }
    }
  }));
}

// A store with a few keys, and hosts that fetch its changes from the store or
// from one another in any order. Guards against changes that are lost or
// reverted on the way: each host must end with the items of the store.
TEST_CASE("hosts that query any source end with the items of the store") {
  CHECK(rc::check("relayed changes converge", [] {
    constexpr int kHosts = 3;
    PublishedItems store;
    std::vector<PublishedItems> hosts(kHosts);
    std::vector<std::uint64_t> seen(kHosts, 0);
    std::uint64_t revision = 0;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      if (*rc::gen::inRange(0, 2) == 0) {
        ++revision;
        const std::string key(1,
                              static_cast<char>('a' + *rc::gen::inRange(0, 4)));
        const bool is_deleted = *rc::gen::inRange(0, 3) == 0;
        store.Merge({false,
                     revision,
                     {{key, is_deleted ? "" : std::to_string(revision),
                       revision, is_deleted}}});
        continue;
      }
      const int requester = *rc::gen::inRange(0, kHosts);
      if (*rc::gen::inRange(0, 4) == 0) {
        FeedPage list = store.ChangesSince(0);
        list.is_complete = true;
        list.items.erase(std::remove_if(list.items.begin(), list.items.end(),
                                        [](const PublishedItem& item) {
                                          return item.is_deleted;
                                        }),
                         list.items.end());
        hosts[requester].Merge(list);
        continue;
      }
      const int source = *rc::gen::inRange(0, kHosts + 1);
      const PublishedItems& from = source == kHosts ? store : hosts[source];
      hosts[requester].Merge(from.ChangesSince(hosts[requester].revision()));
      RC_ASSERT(hosts[requester].revision() >= seen[requester]);
      seen[requester] = hosts[requester].revision();
    }
    for (PublishedItems& host : hosts) {
      host.Merge(store.ChangesSince(host.revision()));
      RC_ASSERT(Existing(host) == Existing(store));
    }
  }));
}

}  // namespace
}  // namespace heatherlatch
