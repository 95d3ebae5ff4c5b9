// A model of a store whose list is read page by page, and of hosts that restart
// and fetch items from it or from one another, up to date or not. Guards
// against a configuration that is lost or reverted on its way.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "heatherlatch/relay/published_items.h"

namespace heatherlatch {
namespace {

constexpr char kConfigurationKey[] = "configuration";
constexpr int kHosts = 3;
// Deletions of one step, after which tombstones are dropped.
constexpr std::size_t kServers = kMaxTombstones + 10;

// @return a number below `count`, all alike in each case
std::size_t Pick(std::size_t count) {
  return *rc::gen::resize(rc::kNominalSize,
                          rc::gen::inRange<std::size_t>(0, count));
}

std::string ServerKey(std::size_t server) {
  return "servers/" + std::to_string(server);
}

class Store {
 public:
  void Put(const std::string& key) {
    ++revision_;
    items_[key] = {key, std::to_string(revision_), revision_, false};
    events_.push_back(items_[key]);
  }

  void Remove(const std::string& key) {
    if (items_.erase(key) > 0) events_.push_back({key, "", ++revision_, true});
  }

  // Reads a list of two pages.
  // @param middle  the first key of the second page
  // @param change  called between the pages
  template <typename Change>
  FeedPage List(const std::string& middle, const Change& change) {
    FeedPage list;
    list.is_complete = true;
    list.revision = revision_;
    for (const auto& [key, item] : items_) {
      if (key < middle) list.items.push_back(item);
    }
    change();
    for (const auto& [key, item] : items_) {
      if (key >= middle) list.items.push_back(item);
    }
    return list;
  }

  FeedPage Watch(std::uint64_t after) const {
    FeedPage page;
    page.revision = revision_;
    for (const PublishedItem& event : events_) {
      if (event.revision > after) page.items.push_back(event);
    }
    return page;
  }

  const std::map<std::string, PublishedItem>& items() const { return items_; }

 private:
  std::uint64_t revision_ = 10;
  std::map<std::string, PublishedItem> items_;
  std::vector<PublishedItem> events_;
};

struct Host {
  PublishedItems items;
  bool has_complete_list = false;
  bool is_up_to_date = false;
  std::uint64_t configuration = 0;  // Its revision; 0: none.
};

// @return the item with this key; without a revision if there is none
PublishedItem Held(const PublishedItems& items, const std::string& key) {
  for (const PublishedItem& item : items.ChangesSince(0).items) {
    if (item.key == key) return item;
  }
  return {};
}

class Model {
 public:
  void ChangeStore() {
    switch (Pick(5)) {
      case 0:
        store_.Put(kConfigurationKey);
        break;
      case 1:
        for (std::size_t i = 0; i < kServers; ++i) store_.Put(ServerKey(i));
        break;
      case 2:
        for (std::size_t i = 0; i < kServers; ++i) store_.Remove(ServerKey(i));
        break;
      case 3:
        store_.Put(ServerKey(Pick(6)));
        break;
      default:
        store_.Remove(ServerKey(Pick(6)));
    }
  }

  void QueryStore(Host* host) {
    if (host->has_complete_list) {
      host->items.Merge(store_.Watch(host->items.revision()));
    } else {
      const std::string middle = Pick(2) == 0 ? "a" : "servers/3";
      const std::size_t changes = Pick(3);
      host->items.Merge(store_.List(middle, [&] {
        for (std::size_t i = 0; i < changes; ++i) ChangeStore();
      }));
    }
    host->has_complete_list = true;
    host->is_up_to_date = true;
    CheckConfiguration(host);
  }

  void QueryPeer(Host* host, const Host& peer) {
    host->items.Merge(peer.items.ChangesSince(host->items.revision()));
    if (peer.is_up_to_date) host->has_complete_list = true;
    host->is_up_to_date = peer.is_up_to_date;
    CheckConfiguration(host);
  }

  void Step() {
    Host& host = hosts_[Pick(kHosts)];
    switch (Pick(6)) {
      case 0:
      case 1:
        ChangeStore();
        break;
      case 2:
        QueryStore(&host);
        break;
      case 3:
        host.is_up_to_date = false;
        break;
      case 4:
        if (Pick(2) == 0) host = {};
        break;
      default:
        QueryPeer(&host, hosts_[Pick(kHosts)]);
    }
  }

  // Checks that each host that follows the store ends with its items.
  void CheckConvergence() {
    for (Host& host : hosts_) {
      QueryStore(&host);
      QueryStore(&host);
      std::map<std::string, std::uint64_t> held;
      for (const PublishedItem& item : host.items.ChangesSince(0).items) {
        if (!item.is_deleted) held[item.key] = item.revision;
      }
      std::map<std::string, std::uint64_t> published;
      for (const auto& [key, item] : store_.items()) {
        published[key] = item.revision;
      }
      RC_ASSERT(held == published);
    }
  }

 private:
  static void CheckConfiguration(Host* host) {
    const PublishedItem held = Held(host->items, kConfigurationKey);
    RC_ASSERT_FALSE(held.is_deleted);
    RC_ASSERT(held.revision >= host->configuration);
    host->configuration = held.revision;
  }

  Store store_;
  std::vector<Host> hosts_ = std::vector<Host>(kHosts);
};

TEST_CASE("a configuration is neither lost nor reverted over stale peers",
          "[promise-10]") {
  CHECK(rc::check("the configuration is kept", [] {
    Model model;
    const std::size_t steps = Pick(60);
    for (std::size_t step = 0; step < steps; ++step) model.Step();
    model.CheckConvergence();
  }));
}

}  // namespace
}  // namespace heatherlatch
