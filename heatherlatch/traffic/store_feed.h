// Follows what the platform publishes: one list, then one waiting call at a
// time.
//
// After a call that fails, the next goes over a new connection and continues
// from the same revision; where that history is gone, the list is read again.
// Changes that come in quick succession are taken together, since each call has
// its price.
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_STORE_FEED_H_
#define HEATHERLATCH_TRAFFIC_STORE_FEED_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "heatherlatch/traffic/client_connection.h"
#include "heatherlatch/traffic/decision_log.h"
#include "heatherlatch/traffic/traffic_metrics.h"
#include "platform/store_calls.h"

namespace heatherlatch {

class StoreFeed {
 public:
  // Receives every item of the store.
  using OnList = std::function<void(const std::vector<wire::StoreItem>& items)>;
  // Receives the items that changed, in the order of their changes.
  using OnChanges =
      std::function<void(const std::vector<wire::StoreItem>& items)>;

  StoreFeed(boost::asio::io_context* io, const Endpoint& store,
            DecisionLog* log, TrafficMetrics* metrics, OnList on_list,
            OnChanges on_changes);

  // Reads the list, whatever was known before.
  void Restart();
  void SetStore(const Endpoint& store);
  void Stop();

  // @return whether a call failed and none has succeeded since, or one failed
  //     within the time that servers take to be listed again
  bool WasUnavailable(TimePoint now) const;

 private:
  enum class Phase { kListing, kWatching };

  void Next(Duration delay);
  void CallStore();
  void OnResult(std::size_t call, const CallResult& result);
  void OnPage(const wire::StorePage& page);
  void OnFailure(const std::string& problem);

  boost::asio::io_context* io_;
  Endpoint store_;
  DecisionLog* log_;
  TrafficMetrics* metrics_;
  OnList on_list_;
  OnChanges on_changes_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<ClientConnection> connection_;
  Phase phase_ = Phase::kListing;
  std::vector<wire::StoreItem> listed_;
  std::uint64_t first_page_revision_ = 0;
  std::uint64_t revision_ = 0;
  std::size_t call_ = 0;  // Results of an earlier call are ignored.
  int failures_ = 0;      // In a row.
  std::optional<TimePoint> failed_at_;
  bool stopped_ = false;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_STORE_FEED_H_
