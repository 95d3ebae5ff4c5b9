#include "heatherlatch/traffic/store_feed.h"

#include <algorithm>
#include <utility>

namespace heatherlatch {
namespace {

// How long a waiting call waits. Source: the platform's longest.
constexpr std::chrono::milliseconds kWatchWait{30'000};
// How long an answer may take beyond the wait. Source: the platform answers in
// milliseconds; a slow one takes up to sixty times that.
constexpr Duration kAnswerLimit = std::chrono::milliseconds(1500);

// Between two waiting calls, so that changes are taken together. Source: a
// fifth of the shortest bound on following a change.
constexpr Duration kTakeTogether = std::chrono::milliseconds(500);

// Between calls that fail; doubled with each up to the longest.
constexpr Duration kFirstRetry = std::chrono::milliseconds(100);
constexpr Duration kLongestRetry = std::chrono::milliseconds(800);

// How long servers take to be listed again after the store was away.
// Source: the platform's "about two seconds".
constexpr Duration kListedAgainWithin = std::chrono::milliseconds(2200);

constexpr unsigned kOk = 200;

}  // namespace

StoreFeed::StoreFeed(boost::asio::io_context* io, const Endpoint& store,
                     DecisionLog* log, TrafficMetrics* metrics, OnList on_list,
                     OnChanges on_changes)
    : io_(io),
      store_(store),
      log_(log),
      metrics_(metrics),
      on_list_(std::move(on_list)),
      on_changes_(std::move(on_changes)),
      timer_(*io) {}

void StoreFeed::Restart() {
  if (connection_) connection_->Cancel();
  connection_ = nullptr;
  phase_ = Phase::kListing;
  listed_.clear();
  CallStore();
}

void StoreFeed::SetStore(const Endpoint& store) {
  if (store == store_) return;
  store_ = store;
  Restart();
}

void StoreFeed::Stop() {
  stopped_ = true;
  ++call_;
  timer_.cancel();
  if (connection_) connection_->Cancel();
}

bool StoreFeed::WasUnavailable(TimePoint now) const {
  return failures_ > 0 || (failed_at_ && now - *failed_at_ < kListedAgainWithin);
}

void StoreFeed::Next(Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !stopped_) CallStore();
  });
}

void StoreFeed::CallStore() {
  if (stopped_) return;
  const std::size_t call = ++call_;
  if (!connection_ || !connection_->IsReusable()) {
    connection_ = ClientConnection::Open(io_, store_);
  }
  const std::string authority = ToString(store_);
  const bool lists = phase_ == Phase::kListing;
  std::string request =
      lists ? wire::ListRequest(authority,
                                listed_.empty() ? "" : listed_.back().key)
            : wire::WatchRequest(authority, revision_, kWatchWait);
  metrics_->Count("store_calls", lists ? "list" : "watch");
  connection_->Call(std::move(request), false,
                    [this, call](const CallResult& result) {
                      OnResult(call, result);
                    });
  timer_.expires_after(lists ? kAnswerLimit : kWatchWait + kAnswerLimit);
  timer_.async_wait([this, call](const boost::system::error_code& error) {
    if (error || call != call_) return;
    connection_->Cancel();
    OnResult(call, NoAnswer{"no answer in time"});
  });
}

void StoreFeed::OnResult(std::size_t call, const CallResult& result) {
  if (call != call_ || stopped_) return;
  ++call_;
  timer_.cancel();
  const auto* answer = std::get_if<ServerAnswer>(&result);
  if (answer == nullptr) {
    OnFailure(std::holds_alternative<NotSent>(result)
                  ? std::get<NotSent>(result).problem
                  : std::get<NoAnswer>(result).problem);
    return;
  }
  const unsigned status = answer->message.result_int();
  if (status == wire::kHistoryGone) {
    log_->Write("store-history-gone",
                {{"revision", static_cast<double>(revision_)}});
    phase_ = Phase::kListing;
    listed_.clear();
    CallStore();
    return;
  }
  if (status != kOk) {
    OnFailure("status " + std::to_string(status));
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(page, wire::ReadStorePage(answer->message.body()));
        OnPage(page);
        return {};
      },
      [&](const wire::DocumentError& error) { OnFailure(error.problem); },
      [&] { OnFailure("the answer cannot be read"); });
}

void StoreFeed::OnPage(const wire::StorePage& page) {
  if (failures_ > 0) {
    log_->Write("store-regained",
                {{"failures", static_cast<double>(failures_)}});
    failed_at_ = SteadyClock::now();
  }
  failures_ = 0;
  if (phase_ == Phase::kWatching) {
    revision_ = std::max(revision_, page.revision);
    on_changes_(page.items);
    Next(page.items.empty() ? Duration::zero() : kTakeTogether);
    return;
  }
  // Pages are no snapshot: changes since the first page are read again.
  if (listed_.empty()) first_page_revision_ = page.revision;
  listed_.insert(listed_.end(), page.items.begin(), page.items.end());
  if (page.has_more && !page.items.empty()) {
    CallStore();
    return;
  }
  phase_ = Phase::kWatching;
  revision_ = first_page_revision_;
  on_list_(listed_);
  listed_.clear();
  CallStore();
}

void StoreFeed::OnFailure(const std::string& problem) {
  if (failures_ == 0) {
    log_->Write("store-lost", {{"problem", std::string_view(problem)},
                               {"revision", static_cast<double>(revision_)}});
  }
  metrics_->Count("store_calls", "failed");
  if (connection_) connection_->Cancel();
  connection_ = nullptr;
  if (phase_ == Phase::kListing) listed_.clear();
  const int doublings = std::min(failures_, 3);
  ++failures_;
  Next(std::min(kLongestRetry, kFirstRetry * (1 << doublings)));
}

}  // namespace heatherlatch
