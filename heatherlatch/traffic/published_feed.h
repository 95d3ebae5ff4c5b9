// Keeps a host up to date with the items that the platform publishes, and
// serves them to other hosts.
//
// Queries one source at a time, the store or another host, as selected by
// SourceChoice. PublishedItems never replaces an item by an older revision, so
// a source with older data cannot revert a change.
//
// Example:
//   PublishedFeed feed(&context, [](const std::vector<PublishedItem>& items,
//                                   const ItemOrigin& origin) {
//     ... apply the changes ...
//   });
//   feed.Start();
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_PUBLISHED_FEED_H_
#define HEATHERLATCH_TRAFFIC_PUBLISHED_FEED_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "heatherlatch/relay/earlier_values.h"
#include "heatherlatch/relay/known_hosts.h"
#include "heatherlatch/relay/peer_messages.h"
#include "heatherlatch/relay/published_items.h"
#include "heatherlatch/relay/relisting_window.h"
#include "heatherlatch/relay/shared_suspects.h"
#include "heatherlatch/relay/source_choice.h"
#include "heatherlatch/relay/store_history.h"
#include "heatherlatch/traffic/client_connection.h"
#include "heatherlatch/traffic/simple_http_server.h"
#include "heatherlatch/traffic/traffic_context.h"
#include "platform/store_calls.h"

namespace heatherlatch {

class PublishedFeed {
 public:
  // Receives the items that changed, in the order of their changes, and where
  // they came from.
  using OnChanged =
      std::function<void(const std::vector<PublishedItem>&, const ItemOrigin&)>;

  // @param context  its `table_confirmation` is kept up to date
  PublishedFeed(TrafficContext* context, OnChanged on_changed);

  void Start();
  void Stop();
  // Applies changed settings.
  void Reconfigure();
  // Discards the last confirmation and queries a source at once. To be called
  // after the host was suspended, since changes may have been missed.
  void Revalidate();

  // Handles a query of another host. Responds at once, or, if the query allows
  // a wait, when an item changes or the wait is over.
  // @param body     the encoded FeedRequest
  // @param respond  called once with the encoded FeedResponse, or with 400 and
  //                 the problem if the query cannot be decoded
  void HandlePeerQuery(const std::string& body,
                       SimpleHttpServer::Respond respond);

  // Reports a content that crashed a server to other hosts.
  void ShareSuspect(const SuspectNotice& notice);

  // Takes over notices of another host.
  void LearnSuspects(const std::vector<SuspectNotice>& notices) {
    MergeSuspects(notices, false);
  }

  // Asks the other readers for the contents that crashed servers, if this host
  // is a reader: it queries no other host otherwise. Another host that follows
  // no host sends its notices to hosts that it knows, for those that
  // started since and know no host. To be called about twice a second; does
  // nothing if the last time was lately.
  void QuerySuspects(TimePoint now);

  // @return how many other hosts this one heard from or of lately
  std::size_t CountKnownHosts(TimePoint now) const {
    return known_hosts_.Count(now);
  }

  // @return the ordered revision up to which all items are known; 0: none
  std::uint64_t revision() const { return items_.revision(); }

  // @return until when a server whose entry is removed now may be listed again;
  //     nothing: the server has left
  std::optional<TimePoint> RelistingEnd(TimePoint now) const {
    return relisting_.End(now);
  }

 private:
  // A query of another host that waits for a change.
  struct PeerQuery {
    FeedRequest request;
    TimePoint received_at;
    TimePoint deadline;
    SimpleHttpServer::Respond respond;
  };

  void QueryNextSource();
  void QueryStore();
  void QueryPeer(const Endpoint& peer);
  // @param timeout  until the first byte of the response
  void Call(const Endpoint& endpoint, std::string request, Duration timeout);
  void ArmTimeout(std::size_t call_id, TimePoint deadline);
  // @return until when the response may be received, as far as it was received
  TimePoint TransferDeadline() const;
  // @return when the source made the response that has been received
  TimePoint ResponseBeganAt() const;
  // Logs and counts a transfer of a large response.
  // @param outcome  "complete" or "given-up"
  void RecordTransfer(std::string_view outcome);

  void OnResult(std::size_t call_id, const CallResult& result);
  Result<void> OnResponse(const http::response<http::string_body>& response);
  // @param era  of the store, as the response states it
  Result<void> OnStoreResponse(std::uint64_t era, const std::string& body);
  // Decides whether to follow the store, which may have been restored from a
  // copy or set up anew since the last response. If not, queries a source.
  // @param revision  of the store, with its era, as the response states it
  // @return whether the response is of use
  bool FollowsHistory(std::uint64_t revision);
  void ListAgain();
  void RestartList();
  // Logs each unreadable item once, and counts it.
  void RecordUnreadable(const std::vector<wire::UnreadableItem>& items);
  Result<void> OnPeerResponse(const std::string& body);
  // Replaces the differences of a response by the items that they restore. One
  // that does not fit what is held counts as unreadable.
  void RestoreDeltas(FeedResponse* response);
  // @param era  of the store, as the response states it
  void OnHistoryExpired(std::uint64_t era);
  void OnFailure(const std::string& problem, bool timed_out);
  void OnPeerStale();
  // Records the failure and queries the next source.
  // @param problem    what failed, for the log
  // @param timed_out  whether the source did not respond in time
  void FinishFailedQuery(const std::string& problem, bool timed_out);
  void MarkStale(const std::string& source, const std::string& problem);
  void MarkUpToDate();
  // @param confirmed_at  when the store last confirmed the items
  // @param round_trip    time from the query to the response, without the time
  //                      that the source kept it
  // @param next          delay until the next query
  void FinishSuccessfulQuery(TimePoint confirmed_at, Duration round_trip,
                             Duration next);
  // @param hops          hosts between this one and the store
  // @param confirmed_at  when the store made the page at the latest
  void Merge(const FeedPage& page, int hops, TimePoint confirmed_at);
  void QueryAfter(Duration delay);

  // Sends notices to the other readers, in one request to each.
  // @param done  called once with whether a reader knows of them; not called if
  //              there is no other reader
  void TellReaders(const std::vector<SuspectNotice>& notices,
                   std::function<void(bool)> done);
  // Sends a request about suspects to a host, and takes its notices over.
  // @param done  called once with whether the host responded
  void CallAboutSuspects(const Endpoint& host, FeedRequest request,
                         std::function<void(bool)> done);
  // Records whether a reader knows of a notice of this host. If none does,
  // sends it to them again, and again.
  void OnReadersTold(const SuspectNotice& notice, bool told);
  void TellKnownHosts(const std::vector<SuspectNotice>& notices);
  void TellNoticesAgain(TimePoint now);
  // @param is_pushed  whether a host sent them on its own account
  void MergeSuspects(const std::vector<SuspectNotice>& notices, bool is_pushed);
  FeedResponse BuildPeerResponse(const FeedRequest& request,
                                 TimePoint received_at);
  // Replaces the large items of a page by differences from the values that the
  // requesting host holds.
  void MakeDeltas(const std::vector<HeldValue>& held, FeedResponse* response);
  // @return the large values that are held
  std::vector<HeldValue> HeldValues() const;
  // Notes that the store is proven to have held the items that the host knows.
  // @param at  not later than when it held them
  void MarkHeld(const SuspendAwareTime& at);
  // @return a response that names the servers for which a permit was issued
  FeedResponse IssueColdPermits(const std::vector<BackendServerName>& servers,
                                TimePoint now);
  // Answers whether another host may run a suspect isolated.
  // @return a response with the answer, and the notice of the content
  FeedResponse AnswerIsolatedRun(const Endpoint& requester,
                                 const IsolatedRunAsk& ask, TimePoint now);
  // Responds to the pending queries for which there are changes or whose wait
  // is over.
  // @param all  whether to respond to the others too
  void RespondToPending(bool all);
  void ArmPendingTimer();
  // @return the readers other than this host
  std::vector<Endpoint> OtherReaders() const;
  // @return the time since the items were last confirmed by the store
  Duration Age(TimePoint now) const;

  TrafficContext* context_;
  OnChanged on_changed_;
  SourceChoice choice_;
  PublishedItems items_;
  EarlierValues earlier_values_;
  // Whether the next query to a host asks for whole values, because a
  // difference did not fit.
  bool wants_whole_values_ = false;
  HistoryConfirmation history_;
  // Of the hosts that this one follows: one that stays behind what is known
  // follows another history.
  HistoryConfirmation peer_history_;
  SharedSuspects suspects_;
  std::vector<SuspectNotice> to_share_;  // With the next turn of the loop.
  TimePoint suspects_queried_at_;
  KnownHosts known_hosts_;
  TimePoint hosts_queried_at_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer pending_timer_;
  std::list<PeerQuery> pending_;

  FeedSource source_;  // Of the call in progress, or of the last call.
  std::optional<Endpoint> connected_to_;
  std::shared_ptr<ClientConnection> connection_;
  std::size_t call_id_ = 0;  // Results of an earlier call are ignored.
  SuspendAwareTime queried_at_;
  std::chrono::milliseconds query_wait_{};  // That the query allows.
  // The peer that responded last, if it is up to date.
  std::optional<Endpoint> followed_peer_;

  // Whether all items up to `items_.revision()` are known, so that the store
  // can be queried for later changes only.
  bool has_complete_list_ = false;
  FeedPage partial_list_;       // The pages of the list read so far.
  std::string list_after_key_;  // Where the list goes on; empty: at its start.
  // The problems logged last of unreadable items, by key.
  std::map<std::string, std::string> unreadable_;
  TimePoint list_began_at_;           // When the first of these pages was made.
  SuspendAwareTime list_queried_at_;  // When it was queried.
  int failures_ = 0;                  // Consecutive failed queries.
  // Set by a timeout or a repeated failure if the last query to the store
  // failed too; cleared by the next success.
  bool stale_ = false;
  int hops_ = 0;  // Hosts between this one and the store.
  RelistingWindow relisting_;
  bool stopped_ = false;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_PUBLISHED_FEED_H_
