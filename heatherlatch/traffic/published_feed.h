// Follows what the platform publishes, from the store or from another host, and
// answers other hosts that follow it here.
//
// One call is under way at a time. Which source is asked next is decided by
// SourceChoice; what is known is kept by PublishedItems and only grows, so a
// source that is behind does no harm.
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_PUBLISHED_FEED_H_
#define HEATHERLATCH_TRAFFIC_PUBLISHED_FEED_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "heatherlatch/relay/peer_messages.h"
#include "heatherlatch/relay/published_items.h"
#include "heatherlatch/relay/shared_suspects.h"
#include "heatherlatch/relay/source_choice.h"
#include "heatherlatch/traffic/client_connection.h"
#include "heatherlatch/traffic/simple_http_server.h"
#include "heatherlatch/traffic/traffic_context.h"

namespace heatherlatch {

// How long servers may take to be listed again after the store was away.
// Source: the platform's "about two seconds".
inline constexpr Duration kRelistingGracePeriod =
    std::chrono::milliseconds(2200);

class PublishedFeed {
 public:
  // Receives the items that changed, in the order of their changes.
  using OnChanged = std::function<void(const std::vector<PublishedItem>&)>;

  PublishedFeed(TrafficContext* context, OnChanged on_changed);

  void Start();
  void Stop();
  // Takes over changed settings.
  void Reconfigure();
  // Doubts what is known, after the host stood still, and asks at once.
  void Revalidate();

  // Answers another host, at once or when something changes.
  void HandlePeerQuery(const std::string& body,
                       SimpleHttpServer::Respond respond);

  // Tells other hosts of a content that crashed a server.
  void ShareSuspect(const SuspectNotice& notice);

  // @return whether the store is out of reach, or was until so lately that its
  //     servers may not all be listed again
  bool StoreWasUnavailable(TimePoint now) const;

 private:
  struct PeerQuery {
    std::uint64_t after = 0;
    TimePoint deadline;
    SimpleHttpServer::Respond respond;
  };

  void QueryNextSource();
  void QueryStore();
  void QueryPeer(const Endpoint& peer);
  void Call(const Endpoint& endpoint, std::string request, Duration timeout);
  void ArmTimeout(std::size_t call_id, Duration timeout);

  void OnResult(std::size_t call_id, const CallResult& result);
  Result<void> OnResponse(const http::response<http::string_body>& response);
  Result<void> OnStoreResponse(const std::string& body);
  Result<void> OnPeerResponse(const std::string& body);
  void OnHistoryExpired();
  void OnFailure(const std::string& problem, bool timed_out);
  void OnPeerStale();
  void FinishFailedQuery(const std::string& problem, bool timed_out);
  void MarkStale(const std::string& source, const std::string& problem);
  void MarkUpToDate(TimePoint now);
  void FinishSuccessfulQuery(TimePoint confirmed_at, Duration next);
  void Merge(const FeedPage& page);
  void QueryAfter(Duration delay);

  void SendSuspect(const Endpoint& reader, const SuspectNotice& notice);
  void MergeSuspects(const std::vector<SuspectNotice>& notices);
  FeedAnswer BuildPeerResponse(std::uint64_t after) const;
  void RespondToPending(bool all);
  void ArmPendingTimer();
  Duration Age(TimePoint now) const;

  TrafficContext* context_;
  OnChanged on_changed_;
  SourceChoice choice_;
  PublishedItems items_;
  SharedSuspects suspects_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer pending_timer_;
  std::list<PeerQuery> pending_;

  Source source_;  // Of the call under way, or the last.
  std::optional<Endpoint> connected_to_;
  std::shared_ptr<ClientConnection> connection_;
  std::size_t call_id_ = 0;  // Results of an earlier call are ignored.
  TimePoint queried_at_;
  std::optional<Endpoint> followed_peer_;  // The peer that answered last.

  bool has_complete_list_ =
      false;               // Whether the store can be asked for changes.
  FeedPage partial_list_;  // Pages of a list that is being read.
  std::optional<TimePoint> confirmed_at_;
  int failures_ = 0;    // In a row.
  bool stale_ = false;  // No source has answered since failures that count.
  bool store_unavailable_ = false;  // The store was the last to fail of them.
  int hops_ = 0;                    // Hosts between this one and the store.
  std::optional<TimePoint> store_reconnected_at_;
  std::optional<TimePoint> relisting_until_;  // As other hosts told.
  bool stopped_ = false;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_PUBLISHED_FEED_H_
