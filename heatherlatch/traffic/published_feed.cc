#include "heatherlatch/traffic/published_feed.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>

#include "heatherlatch/relay/store_revision.h"
#include "heatherlatch/relay/value_delta.h"
#include "heatherlatch/traffic/budget_client.h"
#include "heatherlatch/traffic/http_status.h"
#include "heatherlatch/traffic/peer_requests.h"
#include "heatherlatch/traffic/suspension.h"
#include "platform/store_calls.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

// How long a watch request to the store waits for a change. Short for a reader,
// since other hosts depend on it to detect an outage of the store at once. The
// waits of a reader and of a host that follows it share two thirds of the
// shortest bound on following a change.
constexpr milliseconds kReaderWatchWait{1000};
constexpr milliseconds kNonReaderWatchWait{1500};
// How long a response of the store may take beyond the wait until its first
// byte. The slowest specified store takes 240 ms.
constexpr Duration kStoreResponseMargin = milliseconds(700);
// The table stays confirmed while a host waits, so that other hosts can follow.
static_assert(kReaderWatchWait + kStoreResponseMargin <= kMaxConfirmationAge);
static_assert(kNonReaderWatchWait + kStoreResponseMargin <=
              kMaxConfirmationAge);

// How long a query to another host waits for a change, and how long the first
// byte of the response may take beyond that. Bounded as kReaderWatchWait.
constexpr milliseconds kPeerQueryWait{600};
constexpr Duration kPeerResponseMargin = milliseconds(350);

// How long a response that has begun may pause, and how long it may take in
// total. The largest published value, 1.4 MB as the store encodes it, takes
// 1.1 s over the slowest link and 3.4 s if other transfers use two thirds of
// it.
constexpr Duration kTransferPause = milliseconds(700);
constexpr Duration kMaxTransferTime = std::chrono::seconds(4);

// Delay between a change and the next request to the store, so that changes are
// received in batches: a sixth of the shortest bound on following a change.
constexpr Duration kChangeBatchDelay = milliseconds(400);

// How long after a notice of a crash that no reader received it is sent again.
constexpr Duration kUnsharedSuspectInterval = std::chrono::seconds(1);

// Interval at which a reader asks the others for suspects: twice within the
// time after which a host that was away has to act on what the others know.
constexpr Duration kSuspectQueryInterval = std::chrono::seconds(2);

// Interval at which a host asks the one that it follows for other hosts.
constexpr Duration kHostsQueryInterval = std::chrono::seconds(1);
// The hosts to which a notice goes that no reader received. Each of them passes
// it on once, so that it reaches all hosts that know each other.
constexpr std::size_t kHostsToTell = 16;
// The hosts to which all notices go in each interval while no reader passes
// them on: as many reach a host on average, however many hosts there are.
constexpr std::size_t kHostsToTellAgain = 3;

// The age that is reported to other hosts while no source responds.
constexpr Duration kStaleAge = std::chrono::hours(1);

// Responses of this size on are logged one by one.
constexpr std::uint64_t kLoggedTransferBytes = 16u << 10;

// Unreadable items of which the problem is remembered, so that it is logged
// once.
constexpr std::size_t kMaxUnreadableRemembered = 1000;

// The host cannot work without the published items, so their bytes are held
// even beyond its budget. There is one such response at a time.
ResponseBounds FeedBounds() {
  ResponseBounds bounds;
  bounds.is_essential = true;
  return bounds;
}

FeedPage ToFeedPage(const wire::StorePage& page, bool is_complete) {
  FeedPage feed;
  feed.is_complete = is_complete;
  feed.revision = page.revision;
  feed.items = page.items;
  return feed;
}

bool ListsRouteTable(const std::vector<wire::UnreadableItem>& items) {
  return std::any_of(items.begin(), items.end(),
                     [](const wire::UnreadableItem& item) {
                       return std::holds_alternative<wire::RouteTableKey>(
                           wire::ReadKey(item.key));
                     });
}

std::vector<SuspectNotice> ReadSuspects(const std::string& body) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::vector<SuspectNotice>> {
        BOOST_LEAF_AUTO(response, DecodeFeedResponse(body));
        return std::move(response.suspects);
      },
      [] { return std::vector<SuspectNotice>(); });
}

}  // namespace

PublishedFeed::PublishedFeed(TrafficContext* context, OnChanged on_changed)
    : context_(context),
      on_changed_(std::move(on_changed)),
      choice_(context->settings.peer_listen, context->settings.seeds,
              context->settings.first_start ? DeploymentStart::kFirst
                                            : DeploymentStart::kRestart),
      known_hosts_(context->settings.peer_listen),
      timer_(*context->io),
      pending_timer_(*context->io) {}

void PublishedFeed::Start() { QueryNextSource(); }

void PublishedFeed::Stop() {
  stopped_ = true;
  ++call_id_;
  timer_.cancel();
  pending_timer_.cancel();
  if (connection_) connection_->Cancel();
  RespondToPending(true);
}

void PublishedFeed::Reconfigure() {
  choice_.SetReaders(context_->settings.seeds);
}

void PublishedFeed::Revalidate() {
  context_->table_confirmation.confirmed_at.reset();
  followed_peer_.reset();
  if (connection_) connection_->Cancel();
  connection_ = nullptr;
  RestartList();  // Its first page is older than the steady clock tells.
  QueryNextSource();
}

Duration PublishedFeed::Age(TimePoint now) const {
  const auto& confirmed_at = context_->table_confirmation.confirmed_at;
  if (stale_ || !confirmed_at) return kStaleAge;
  return now - *confirmed_at;
}

void PublishedFeed::QueryAfter(Duration delay) {
  const std::size_t call_id = ++call_id_;
  timer_.expires_after(delay);
  timer_.async_wait([this, call_id](const boost::system::error_code& error) {
    if (!error && call_id == call_id_) QueryNextSource();
  });
}

void PublishedFeed::QueryNextSource() {
  if (stopped_) return;
  if (!list_after_key_.empty()) {
    // The pages that were read are of use only with those that follow.
    source_ = StoreSource{};
    QueryStore();
    return;
  }
  const FeedStep step = choice_.Next(SteadyClock::now());
  if (step.delay > Duration::zero()) {
    QueryAfter(step.delay);
    return;
  }
  source_ = step.source;
  if (const auto* peer = std::get_if<PeerSource>(&source_)) {
    QueryPeer(peer->endpoint);
  } else {
    QueryStore();
  }
}

void PublishedFeed::QueryStore() {
  const Endpoint& store = context_->settings.platform;
  followed_peer_.reset();
  if (!has_complete_list_) {
    context_->metrics.Count("store_calls", "list");
    query_wait_ = milliseconds(0);
    Call(store, wire::ListRequest(ToString(store), list_after_key_),
         kStoreResponseMargin);
    return;
  }
  // While the items are stale, the request does not wait for a change, so that
  // they are confirmed at once.
  const bool confirmed = Age(SteadyClock::now()) < kMaxConfirmationAge;
  const milliseconds wait = !confirmed           ? milliseconds(0)
                            : choice_.IsReader() ? kReaderWatchWait
                                                 : kNonReaderWatchWait;
  context_->metrics.Count("store_calls", "watch");
  query_wait_ = wait;
  Call(store, wire::WatchRequest(ToString(store), items_.revision(), wait),
       wait + kStoreResponseMargin);
}

void PublishedFeed::QueryPeer(const Endpoint& peer) {
  FeedRequest query;
  query.requester = context_->settings.peer_listen;
  query.after_revision = items_.revision();
  if (followed_peer_ == peer) {
    query.wait = kPeerQueryWait;
  } else {
    // One of the two may have been away when the other learnt of a suspect.
    query.suspects = suspects_.All(SteadyClock::now());
    query.wants_all_suspects = true;
  }
  if (!std::exchange(wants_whole_values_, false)) {
    query.held_values = HeldValues();
  }
  const TimePoint now = SteadyClock::now();
  query.wants_hosts = now - hosts_queried_at_ >= kHostsQueryInterval;
  if (query.wants_hosts) hosts_queried_at_ = now;
  Call(peer, BuildPeerRequest(peer, query), query.wait + kPeerResponseMargin);
}

void PublishedFeed::Call(const Endpoint& endpoint, std::string request,
                         Duration timeout) {
  const std::size_t call_id = ++call_id_;
  if (!connection_ || !connection_->IsReusable() || connected_to_ != endpoint) {
    if (connection_) connection_->Cancel();
    connection_ = context_->connections.Open(endpoint);
    connected_to_ = endpoint;
  }
  queried_at_ = WithSuspension(SteadyClock::now());
  connection_->Call(
      {std::move(request)}, FeedBounds(),
      [this, call_id](const CallResult& result) { OnResult(call_id, result); });
  ArmTimeout(call_id, queried_at_.at + timeout);
}

void PublishedFeed::ArmTimeout(std::size_t call_id, TimePoint deadline) {
  timer_.expires_at(deadline);
  timer_.async_wait([this, call_id](const boost::system::error_code& error) {
    if (error || call_id != call_id_) return;
    const TimePoint transfer_deadline = TransferDeadline();
    if (transfer_deadline > SteadyClock::now()) {
      ArmTimeout(call_id, transfer_deadline);
      return;
    }
    ++call_id_;
    RecordTransfer("given-up");
    OnFailure("no complete response within the timeout", true);
  });
}

TimePoint PublishedFeed::TransferDeadline() const {
  const auto& transfer = connection_->transfer();
  if (!transfer) return TimePoint::min();
  return std::min(transfer->last_at + kTransferPause,
                  transfer->began_at + kMaxTransferTime);
}

TimePoint PublishedFeed::ResponseBeganAt() const {
  const auto& transfer = connection_->transfer();
  return transfer ? transfer->began_at : SteadyClock::now();
}

void PublishedFeed::RecordTransfer(std::string_view outcome) {
  const auto& transfer = connection_->transfer();
  const bool is_complete = outcome == "complete";
  if (!transfer || (is_complete && transfer->bytes < kLoggedTransferBytes)) {
    return;
  }
  context_->metrics.Count("feed_transfers", outcome);
  context_->log.Write(
      is_complete ? "feed-transfer" : "feed-transfer-given-up",
      {{"source", ToString(source_)},
       {"bytes", static_cast<double>(transfer->bytes)},
       {"first_byte_ms", ToMilliseconds(transfer->began_at - queried_at_.at)},
       {"transfer_ms", ToMilliseconds(transfer->last_at - transfer->began_at)},
       {"revision", static_cast<double>(RevisionInEra(items_.revision()))}});
}

void PublishedFeed::OnResult(std::size_t call_id, const CallResult& result) {
  if (call_id != call_id_ || stopped_) return;
  ++call_id_;
  timer_.cancel();
  context_->RecordCut(result, "", ToString(source_));
  if (const auto* not_sent = std::get_if<NotSent>(&result)) {
    OnFailure(not_sent->problem, false);
    return;
  }
  if (const auto* no_response = std::get_if<NoResponse>(&result)) {
    OnFailure(no_response->problem, false);
    return;
  }
  RecordTransfer("complete");
  const auto& response = std::get<ServerResponse>(result).message;
  boost::leaf::try_handle_all(
      [&] { return OnResponse(response); },
      [&](const wire::DocumentError& error) {
        OnFailure(error.problem, false);
      },
      [&](const PeerMessageError& error) { OnFailure(error.problem, false); },
      [&] { OnFailure("the response cannot be decoded", false); });
}

Result<void> PublishedFeed::OnResponse(
    const http::response<http::string_body>& response) {
  const unsigned status = response.result_int();
  const bool from_store = std::holds_alternative<StoreSource>(source_);
  if (from_store && status == wire::kHistoryExpiredStatus) {
    OnHistoryExpired(wire::ReadStoreEra(response));
    return {};
  }
  if (status != kOk) {
    OnFailure("status " + std::to_string(status), false);
    return {};
  }
  return from_store
             ? OnStoreResponse(wire::ReadStoreEra(response), response.body())
             : OnPeerResponse(response.body());
}

void PublishedFeed::OnHistoryExpired(std::uint64_t era) {
  const std::uint64_t known = items_.revision();
  context_->log.Write(
      "store-history-gone",
      {{"revision", static_cast<double>(RevisionInEra(known))}});
  // It states no revision, so that it tells only of another era.
  if (era != EraOf(known)) {
    history_.OnResponse(OrderedRevision(era, RevisionInEra(known)), known,
                        SteadyClock::now());
  }
  ListAgain();
}

void PublishedFeed::ListAgain() {
  has_complete_list_ = false;
  RestartList();
  QueryNextSource();
}

bool PublishedFeed::FollowsHistory(std::uint64_t revision) {
  if (!list_after_key_.empty()) {
    if (EraOf(revision) == EraOf(partial_list_.revision)) return true;
    ListAgain();
    return false;
  }
  switch (
      history_.OnResponse(revision, items_.revision(), SteadyClock::now())) {
    case StoreHistory::kKnown:
      return true;
    case StoreHistory::kConfirmed:
      // Changes are of no use without those before.
      if (!has_complete_list_) return true;
      ListAgain();
      return false;
    case StoreHistory::kQueryAgain:
      ListAgain();
      return false;
    case StoreHistory::kUnconfirmed:
      break;
  }
  context_->metrics.Count("store_calls", "unconfirmed");
  choice_.OnUnconfirmed(SteadyClock::now());
  FinishFailedQuery(
      "the response is of a history of the store that is not confirmed", false);
  return false;
}

Result<void> PublishedFeed::OnStoreResponse(std::uint64_t era,
                                            const std::string& body) {
  BOOST_LEAF_AUTO(page, wire::ReadStorePage(body, era));
  if (!FollowsHistory(page.revision)) return {};
  RecordUnreadable(page.unreadable);
  if (ListsRouteTable(page.unreadable)) {
    // It may be newer than the table held.
    context_->table_confirmation.confirmed_at.reset();
    return Fail(wire::DocumentError{"the route table cannot be read"});
  }
  const TimePoint made_at = ResponseBeganAt();
  hops_ = 0;
  if (has_complete_list_) {
    relisting_.OnConfirmed(made_at);
    Merge(ToFeedPage(page, false), hops_, made_at);
    SuspendAwareTime held_at = queried_at_;
    if (page.items.empty() && page.unreadable.empty()) {
      // Without a change the store responds when the wait is over.
      held_at.at = std::min(held_at.at + query_wait_, made_at);
    }
    MarkHeld(held_at);
    FinishSuccessfulQuery(
        made_at, made_at - queried_at_.at,
        page.items.empty() ? Duration::zero() : kChangeBatchDelay);
    return {};
  }
  // The pages are not a snapshot. The revision of the first page is kept, so
  // that changes since then are read again by the next request.
  if (list_after_key_.empty()) {
    partial_list_.is_complete = true;
    partial_list_.revision = page.revision;
    list_began_at_ = made_at;
    list_queried_at_ = queried_at_;
  }
  partial_list_.items.insert(partial_list_.items.end(), page.items.begin(),
                             page.items.end());
  if (page.has_more) {
    if (page.last_key <= list_after_key_) {
      return Fail(wire::DocumentError{"the list has no key to go on after"});
    }
    list_after_key_ = page.last_key;
    QueryNextSource();
    return {};
  }
  has_complete_list_ = true;
  const FeedPage complete_list = std::move(partial_list_);
  RestartList();
  relisting_.OnConfirmed(list_began_at_);
  Merge(complete_list, hops_, list_began_at_);
  MarkHeld(list_queried_at_);
  context_->log.Write(
      "listed", {{"items", static_cast<double>(complete_list.items.size())},
                 {"revision",
                  static_cast<double>(RevisionInEra(complete_list.revision))}});
  FinishSuccessfulQuery(list_began_at_, made_at - queried_at_.at,
                        Duration::zero());
  return {};
}

void PublishedFeed::RestartList() {
  partial_list_ = {};
  list_after_key_.clear();
}

void PublishedFeed::RecordUnreadable(
    const std::vector<wire::UnreadableItem>& items) {
  for (const wire::UnreadableItem& item : items) {
    context_->metrics.Count("store_items", "unreadable");
    std::string& logged = unreadable_[item.key];
    if (logged == item.problem) continue;
    logged = item.problem;
    context_->log.Write("item-unreadable",
                        {{"key", item.key}, {"problem", item.problem}});
  }
  if (unreadable_.size() > kMaxUnreadableRemembered) unreadable_.clear();
}

Result<void> PublishedFeed::OnPeerResponse(const std::string& body) {
  BOOST_LEAF_AUTO(response, DecodeFeedResponse(body));
  if (response.unreadable_items > 0) {
    context_->metrics.Count("peer_items", "unreadable");
  }
  MergeSuspects(response.suspects, false);
  if (!response.hosts.empty()) {
    known_hosts_.NoteReaderResponse(SteadyClock::now());
  }
  for (const Endpoint& host : response.hosts) {
    known_hosts_.NoteListed(host, SteadyClock::now());
  }
  const TimePoint confirmed_at = ResponseBeganAt() - response.age;
  const std::uint64_t known = items_.revision();
  // A host that the store does not confirm may be in a wrong era.
  const bool may_follow =
      MayFollowPeerIntoEra(response.page.revision, known, IsUpToDate(response));
  const bool is_of_known_era = EraOf(response.page.revision) == EraOf(known);
  const bool stays_behind =
      is_of_known_era &&
      peer_history_.OnResponse(response.page.revision, known,
                               SteadyClock::now()) == StoreHistory::kConfirmed;
  const bool is_up_to_date = may_follow && IsUpToDate(response) &&
                             !stays_behind &&
                             EraOf(response.page.revision) >= EraOf(known);
  if (response.store_was_unavailable) relisting_.OnStoreUnavailable();
  if (is_up_to_date) relisting_.OnConfirmed(confirmed_at);
  RestoreDeltas(&response);
  const bool has_changes = !response.page.items.empty();
  if (response.unreadable_items > 0) {
    // They are asked for again, of another source. Without the revision, those
    // of a restored store cannot be told from other changes.
    if (EraOf(response.page.revision) > EraOf(known)) {
      response.page.items.clear();
    }
    response.page.is_complete = false;
    response.page.revision = known;
  }
  if (may_follow) Merge(response.page, response.hops + 1, confirmed_at);
  if (!is_up_to_date || response.unreadable_items > 0) {
    RespondToPending(false);
    followed_peer_.reset();
    OnPeerStale();
    return {};
  }
  // The items of another host are complete, so that the store can be queried
  // for later changes only.
  has_complete_list_ = true;
  RestartList();
  const Endpoint& peer = std::get<PeerSource>(source_).endpoint;
  context_->metrics.Count("peer_queries",
                          followed_peer_ == peer ? "same-peer" : "other-peer");
  followed_peer_ = peer;
  hops_ = response.hops + 1;
  if (response.proven_age) {
    MarkHeld({queried_at_.at + response.waited.value_or(milliseconds(0)) -
                  *response.proven_age,
              queried_at_.suspended});
  }
  // The time that the peer kept the query is no distance.
  const Duration round_trip = ResponseBeganAt() - queried_at_.at -
                              response.waited.value_or(milliseconds(0));
  FinishSuccessfulQuery(confirmed_at, round_trip,
                        has_changes ? kChangeBatchDelay / 4 : Duration::zero());
  return {};
}

void PublishedFeed::RestoreDeltas(FeedResponse* response) {
  for (ItemDelta& delta : response->deltas) {
    const PublishedItem* held = items_.Find(delta.key);
    const bool fits =
        delta.base_revision == 0 ||
        (held != nullptr && held->revision == delta.base_revision);
    std::optional<std::string> value;
    if (fits) {
      value = ApplyDelta(
          delta.base_revision == 0 ? std::string_view() : held->value,
          delta.bytes, kMaxResponseBytes);
    }
    const std::string_view applied =
        delta.base_revision == 0 ? "whole" : "applied";
    context_->metrics.Count("feed_deltas", value ? applied : "refused");
    if (!value) {
      ++response->unreadable_items;
      wants_whole_values_ = true;
      context_->log.Write(
          "delta-refused",
          {{"key", delta.key},
           {"source", ToString(source_)},
           {"revision", static_cast<double>(RevisionInEra(delta.revision))}});
      continue;
    }
    response->page.items.push_back(
        {std::move(delta.key), std::move(*value), delta.revision, false});
  }
}

std::vector<HeldValue> PublishedFeed::HeldValues() const {
  std::vector<HeldValue> held;
  for (const PublishedItem* item : items_.Existing()) {
    if (held.size() == kMaxHeldValues) break;
    if (IsLarge(*item)) held.push_back({item->key, item->revision});
  }
  return held;
}

void PublishedFeed::MakeDeltas(const std::vector<HeldValue>& held,
                               FeedResponse* response) {
  std::vector<PublishedItem>& items = response->page.items;
  const auto first = std::stable_partition(
      items.begin(), items.end(),
      [](const PublishedItem& item) { return !IsLarge(item); });
  for (auto item = first; item != items.end(); ++item) {
    const auto value = std::find_if(
        held.begin(), held.end(),
        [&](const HeldValue& known) { return known.key == item->key; });
    response->deltas.push_back(earlier_values_.DeltaOf(
        *item, value == held.end() ? 0 : value->revision));
  }
  items.erase(first, items.end());
}

void PublishedFeed::FinishSuccessfulQuery(TimePoint confirmed_at,
                                          Duration round_trip, Duration next) {
  const TimePoint now = SteadyClock::now();
  choice_.OnResponse(source_, round_trip, now);
  TableConfirmation& confirmation = context_->table_confirmation;
  if (confirmation.confirmed_at.value_or(confirmed_at) <= confirmed_at) {
    confirmation.confirmed_at = confirmed_at;
    confirmation.origin = {source_, hops_};
  }
  failures_ = 0;
  if (stale_) MarkUpToDate();
  // With the age of this confirmation, not of the one before.
  RespondToPending(false);
  if (next > Duration::zero()) {
    QueryAfter(next);
  } else {
    QueryNextSource();
  }
}

void PublishedFeed::OnFailure(const std::string& problem, bool timed_out) {
  choice_.OnFailure(source_, SteadyClock::now());
  if (connection_) connection_->Cancel();
  connection_ = nullptr;
  FinishFailedQuery(problem, timed_out);
}

void PublishedFeed::OnPeerStale() {
  choice_.OnStale(source_, SteadyClock::now());
  FinishFailedQuery("the peer is not up to date with the store", false);
}

void PublishedFeed::FinishFailedQuery(const std::string& problem,
                                      bool timed_out) {
  context_->metrics.Count("store_calls", "failed");
  if (!has_complete_list_) RestartList();
  ++failures_;
  const bool down = timed_out || failures_ > 1;
  if (down && choice_.IsRefusedByStore()) MarkStale(ToString(source_), problem);
  QueryNextSource();
}

void PublishedFeed::MarkStale(const std::string& source,
                              const std::string& problem) {
  if (std::holds_alternative<StoreSource>(source_)) {
    relisting_.OnStoreUnavailable();
  }
  if (stale_) return;
  stale_ = true;
  context_->log.Write(
      "store-lost",
      {{"source", source},
       {"problem", problem},
       {"revision", static_cast<double>(RevisionInEra(items_.revision()))}});
  RespondToPending(true);
}

void PublishedFeed::MarkUpToDate() {
  stale_ = false;
  context_->log.Write(
      "store-regained",
      {{"source", ToString(source_)},
       {"revision", static_cast<double>(RevisionInEra(items_.revision()))}});
}

void PublishedFeed::Merge(const FeedPage& page, int hops,
                          TimePoint confirmed_at) {
  const std::uint64_t known = items_.revision();
  // The store lists an earlier revision only after `FollowsHistory`.
  const bool is_set_up_anew =
      hops == 0 && page.is_complete && page.revision < known;
  const bool is_restored =
      is_set_up_anew || (known > 0 && EraOf(page.revision) > EraOf(known));
  if (is_set_up_anew) {
    items_.StartOver();
    earlier_values_ = {};  // Their revisions are given out again.
  }
  if (is_restored) {
    relisting_.OnRestored(confirmed_at);
    context_->log.Write(
        "store-restored",
        {{"source", ToString(source_)},
         {"era", static_cast<double>(EraOf(page.revision))},
         {"revision", static_cast<double>(RevisionInEra(page.revision))},
         {"known_revision", static_cast<double>(RevisionInEra(known))}});
  }
  if (hops == 0) {  // Other hosts may follow one that reads the store.
    for (const PublishedItem& item : page.items) {
      const PublishedItem* held = items_.Find(item.key);
      if (held != nullptr && held->revision < item.revision) {
        earlier_values_.Keep(*held);
      }
    }
  }
  const std::vector<PublishedItem> changed = items_.Merge(page);
  context_->table_confirmation.known_revision = items_.revision();
  if (!changed.empty()) on_changed_(changed, {source_, hops, is_restored});
}

void PublishedFeed::MarkHeld(const SuspendAwareTime& at) {
  TableConfirmation& confirmation = context_->table_confirmation;
  if (!confirmation.is_newest) return;
  std::optional<SuspendAwareTime>& held_at = confirmation.held_at;
  if (!held_at || TimeBetween(*held_at, at) > Duration::zero()) held_at = at;
}

FeedResponse PublishedFeed::BuildPeerResponse(const FeedRequest& request,
                                              TimePoint received_at) {
  const TimePoint now = SteadyClock::now();
  FeedResponse response;
  response.page = items_.ChangesSince(request.after_revision);
  if (request.held_values) MakeDeltas(*request.held_values, &response);
  response.age = std::chrono::duration_cast<milliseconds>(Age(now));
  response.hops = hops_;
  if (const auto& held_at = context_->table_confirmation.held_at) {
    response.proven_age = std::chrono::ceil<milliseconds>(
        TimeBetween(*held_at, WithSuspension(now)));
  }
  response.waited = std::chrono::floor<milliseconds>(now - received_at);
  response.store_was_unavailable = relisting_.StoreWasUnavailable(now);
  response.suspects =
      request.wants_all_suspects ? suspects_.All(now) : suspects_.Recent(now);
  if (request.wants_hosts) {
    response.hosts =
        known_hosts_.SampleRequesters(kMaxHostsInResponse, &context_->rng, now);
  }
  return response;
}

void PublishedFeed::HandlePeerQuery(const std::string& body,
                                    SimpleHttpServer::Respond respond) {
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(query, DecodeFeedRequest(body));
        const TimePoint now = SteadyClock::now();
        if (!query.cold_servers.empty()) {
          respond({kOk, Encode(IssueColdPermits(query.cold_servers, now))});
          return {};
        }
        if (!query.budget_asks.empty()) {
          FeedResponse response;
          response.budget_grants = context_->budget->Issue(query.budget_asks);
          respond({kOk, Encode(response)});
          return {};
        }
        if (query.isolated_run) {
          respond({kOk, Encode(AnswerIsolatedRun(query.requester,
                                                 *query.isolated_run, now))});
          return {};
        }
        if (query.ended_run) {
          MergeSuspects(query.suspects, true);
          context_->isolated_runs.End(query.ended_run->digest, query.requester,
                                      query.ended_run->end, now);
          respond({kOk, Encode(FeedResponse())});
          return {};
        }
        // The sender of a notice may know no source either.
        if (query.after_revision != kNoItems) {
          choice_.OnRequestFrom(query.requester, now);
        }
        known_hosts_.NoteRequest(query.requester, now);
        MergeSuspects(query.suspects, true);
        const bool must_wait = query.wait > milliseconds(0) && !stale_ &&
                               query.after_revision >= items_.revision();
        if (!must_wait) {
          respond({kOk, Encode(BuildPeerResponse(query, now))});
          return {};
        }
        const TimePoint deadline = now + query.wait;
        pending_.push_back({std::move(query), now, deadline, respond});
        if (pending_.size() == 1) ArmPendingTimer();
        return {};
      },
      [&](const PeerMessageError& error) {
        context_->log.Write("peer-question-refused",
                            {{"problem", error.problem}});
        respond({kBadRequest, error.problem + "\n"});
      },
      [&] {
        respond({kBadRequest, "the question cannot be read\n"});
      });
}

FeedResponse PublishedFeed::IssueColdPermits(
    const std::vector<BackendServerName>& servers, TimePoint now) {
  FeedResponse response;
  for (const BackendServerName& server : servers) {
    const bool issued =
        context_->IssueColdPermit(server, PermitRequester::kOtherHost, now);
    context_->metrics.Count("cold_permits", issued ? "issued" : "denied");
    if (issued) response.permitted_servers.push_back(server);
  }
  return response;
}

FeedResponse PublishedFeed::AnswerIsolatedRun(const Endpoint& requester,
                                              const IsolatedRunAsk& ask,
                                              TimePoint now) {
  FeedResponse response;
  const std::vector<Endpoint>& readers = context_->settings.seeds;
  if (std::find(readers.begin(), readers.end(),
                context_->settings.peer_listen) == readers.end()) {
    return response;
  }
  TimePoint crashed_at = now - ask.age;
  if (const auto notice = suspects_.Find(ask.digest, now)) {
    crashed_at = std::max(crashed_at, now - notice->age);
    response.suspects.push_back(*notice);
  }
  response.isolated_run =
      context_->isolated_runs.Ask(ask.digest, requester, crashed_at, now);
  context_->metrics.Count("isolated_runs",
                          *response.isolated_run == IsolatedRunAnswer::kDenied
                              ? "denied-to-other"
                              : "granted-to-other");
  return response;
}

void PublishedFeed::ShareSuspect(const SuspectNotice& notice) {
  if (!suspects_.Add(notice, SteadyClock::now())) return;
  RespondToPending(true);
  to_share_.push_back(notice);
  if (to_share_.size() > 1) return;
  // The contents that run on a server that is lost are suspects at once.
  boost::asio::post(*context_->io, [this] {
    const std::vector<SuspectNotice> notices = std::exchange(to_share_, {});
    TellReaders(notices, [this, notices](bool told) {
      if (!told) TellKnownHosts(notices);
      for (const SuspectNotice& shared : notices) OnReadersTold(shared, told);
    });
  });
}

void PublishedFeed::TellReaders(const std::vector<SuspectNotice>& notices,
                                std::function<void(bool)> done) {
  if (stopped_ || notices.empty()) return;
  const std::vector<Endpoint> readers = OtherReaders();
  // Other hosts ask a reader for its notices.
  const bool is_reader = readers.size() < context_->settings.seeds.size() ||
                         context_->settings.seeds.empty();
  const auto missing = std::make_shared<std::size_t>(readers.size());
  const auto told = std::make_shared<bool>(is_reader);
  for (const Endpoint& reader : readers) {
    FeedRequest request;
    request.suspects = notices;
    CallAboutSuspects(reader, std::move(request),
                      [this, reader, missing, told, done](bool responded) {
                        if (!responded) {
                          context_->log.Write("suspect-not-told",
                                              {{"reader", ToString(reader)}});
                        }
                        *told = *told || responded;
                        if (--*missing == 0) done(*told);
                      });
  }
}

void PublishedFeed::OnReadersTold(const SuspectNotice& notice, bool told) {
  CrashSuspects& suspects = context_->suspects;
  const TimePoint now = SteadyClock::now();
  const bool was_unshared = suspects.IsUnshared(notice.digest, now);
  suspects.SetShared(notice.digest, told);
  if (was_unshared == told) {
    context_->metrics.Count("suspects", told ? "shared" : "unshared");
    context_->log.Write(told ? "suspect-shared" : "suspect-unshared",
                        {{"service", notice.service.str()},
                         {"digest", std::to_string(notice.digest)}});
  }
  if (!suspects.IsUnshared(notice.digest, now)) return;
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      *context_->io, kUnsharedSuspectInterval);
  timer->async_wait(
      [this, notice, timer](const boost::system::error_code& error) {
        if (error ||
            !context_->suspects.IsUnshared(notice.digest, SteadyClock::now())) {
          return;
        }
        SuspectNotice later = notice;
        later.age += kUnsharedSuspectInterval;
        TellReaders({later},
                    [this, later](bool told) { OnReadersTold(later, told); });
      });
}

void PublishedFeed::TellKnownHosts(const std::vector<SuspectNotice>& notices) {
  for (const Endpoint& host :
       known_hosts_.Sample(kHostsToTell, &context_->rng, SteadyClock::now())) {
    FeedRequest request;
    request.suspects = notices;
    context_->metrics.Count("suspects", "sent-to-host");
    CallAboutSuspects(host, std::move(request), [](bool) {});
  }
}

std::vector<Endpoint> PublishedFeed::OtherReaders() const {
  std::vector<Endpoint> readers = context_->settings.seeds;
  readers.erase(std::remove(readers.begin(), readers.end(),
                            context_->settings.peer_listen),
                readers.end());
  return readers;
}

void PublishedFeed::QuerySuspects(TimePoint now) {
  if (stopped_ || !has_complete_list_ ||
      now - suspects_queried_at_ < kSuspectQueryInterval) {
    return;
  }
  suspects_queried_at_ = now;
  if (!choice_.IsReader()) {
    if (!followed_peer_) TellNoticesAgain(now);
    return;
  }
  for (const Endpoint& reader : OtherReaders()) {
    FeedRequest request;
    request.wants_all_suspects = true;
    CallAboutSuspects(reader, std::move(request), [](bool) {});
  }
}

void PublishedFeed::TellNoticesAgain(TimePoint now) {
  const std::vector<SuspectNotice> notices = suspects_.All(now);
  if (notices.empty()) return;
  for (const Endpoint& host :
       known_hosts_.Sample(kHostsToTellAgain, &context_->rng, now)) {
    FeedRequest request;
    request.suspects = notices;
    context_->metrics.Count("suspects", "sent-again");
    CallAboutSuspects(host, std::move(request), [](bool) {});
  }
}

void PublishedFeed::CallAboutSuspects(const Endpoint& host, FeedRequest request,
                                      std::function<void(bool)> done) {
  request.requester = context_->settings.peer_listen;
  request.after_revision = kNoItems;
  const auto connection = context_->connections.Open(host);
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      *context_->io, kPeerResponseMargin);
  const auto ended = std::make_shared<bool>(false);
  const auto end = [ended, done = std::move(done)](bool responded) {
    if (!std::exchange(*ended, true)) done(responded);
  };
  connection->Call(
      {BuildPeerRequest(host, request)}, ResponseBounds(),
      [this, end](const CallResult& result) {
        const auto* response = std::get_if<ServerResponse>(&result);
        if (response != nullptr) {
          MergeSuspects(ReadSuspects(response->message.body()), false);
        }
        end(response != nullptr);
      });
  timer->async_wait([connection, timer, end](const boost::system::error_code&) {
    connection->Cancel();
    end(false);
  });
}

void PublishedFeed::MergeSuspects(const std::vector<SuspectNotice>& notices,
                                  bool is_pushed) {
  const TimePoint now = SteadyClock::now();
  std::vector<SuspectNotice> added;
  for (const SuspectNotice& notice : notices) {
    if (!suspects_.Add(notice, now)) continue;
    added.push_back(notice);
    context_->suspects.Merge(notice, now);
    context_->log.Write("suspect-learnt",
                        {{"service", notice.service.str()},
                         {"digest", std::to_string(notice.digest)},
                         {"crashes", static_cast<double>(notice.crashes)},
                         {"age_ms", ToMilliseconds(notice.age)}});
  }
  if (added.empty()) return;
  RespondToPending(true);
  if (choice_.IsReader()) {
    // No other reader may know of older crashes: they may have restarted.
    std::vector<SuspectNotice> older;
    std::copy_if(added.begin(), added.end(), std::back_inserter(older),
                 [](const SuspectNotice& notice) {
                   return notice.age >= kSuspectNoticeLifetime;
                 });
    TellReaders(older, [](bool) {});
  } else if (is_pushed) {
    // The sender may have reached no reader.
    TellReaders(added, [this, added](bool told) {
      if (!told) TellKnownHosts(added);
    });
  }
}

void PublishedFeed::RespondToPending(bool all) {
  const TimePoint now = SteadyClock::now();
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (!all && it->request.after_revision >= items_.revision() &&
        now < it->deadline) {
      ++it;
      continue;
    }
    it->respond({kOk, Encode(BuildPeerResponse(it->request, it->received_at))});
    it = pending_.erase(it);
  }
}

void PublishedFeed::ArmPendingTimer() {
  if (pending_.empty() || stopped_) return;
  TimePoint next = pending_.front().deadline;
  for (const PeerQuery& query : pending_) next = std::min(next, query.deadline);
  pending_timer_.expires_at(next);
  pending_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    RespondToPending(false);
    ArmPendingTimer();
  });
}

}  // namespace heatherlatch
