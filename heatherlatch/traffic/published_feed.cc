#include "heatherlatch/traffic/published_feed.h"

#include <algorithm>
#include <utility>

#include "heatherlatch/traffic/http_status.h"
#include "platform/store_calls.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

// How long a call to the store waits for a change. A reader's is short, since
// others rely on its noticing at once that it has lost the store.
// Source: two thirds of the shortest bound on following a change, shared by the
// reader and those who follow it.
constexpr milliseconds kReaderWait{1000};
constexpr milliseconds kOwnWait{3000};
// How long an answer of the store may take beyond the wait. Source: a store
// that is slow by the users' site files takes 240 ms.
constexpr Duration kStoreLimit = milliseconds(700);

// How long a question to another host waits for a change, and how long the
// answer may take beyond that. Source: as for kReaderWait.
constexpr milliseconds kPeerWait{600};
constexpr Duration kPeerLimit = milliseconds(350);

// Between a change and the next call to the store, so that changes are taken
// together. Source: a sixth of the shortest bound on following a change.
constexpr Duration kTakeTogether = milliseconds(400);

// The age that is told while the store is lost.
constexpr Duration kLostAge = std::chrono::hours(1);

constexpr char kFeedPath[] = "/published";

FeedPage ToFeedPage(const wire::StorePage& page, bool is_whole) {
  FeedPage feed;
  feed.is_whole = is_whole;
  feed.revision = page.revision;
  feed.items = page.items;
  return feed;
}

std::string PeerRequest(const Endpoint& peer, const FeedQuestion& question) {
  const std::string body = Encode(question);
  return std::string("POST ") + kFeedPath +
         " HTTP/1.1\r\nHost: " + ToString(peer) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Describe(const Source& source) {
  const auto* peer = std::get_if<PeerSource>(&source);
  return peer == nullptr ? "store" : ToString(peer->endpoint);
}

}  // namespace

PublishedFeed::PublishedFeed(TrafficContext* context, OnChanged on_changed)
    : context_(context),
      on_changed_(std::move(on_changed)),
      choice_(context->settings.peer_listen, context->settings.seeds,
              context->settings.first_start ? DeploymentStart::kFirst
                                            : DeploymentStart::kRestart),
      timer_(*context->io),
      waiting_timer_(*context->io) {}

void PublishedFeed::Start() { Ask(); }

void PublishedFeed::Stop() {
  stopped_ = true;
  ++call_;
  timer_.cancel();
  waiting_timer_.cancel();
  if (connection_) connection_->Cancel();
  AnswerWaiting(true);
}

void PublishedFeed::Reconfigure() {
  choice_.SetReaders(context_->settings.seeds);
}

void PublishedFeed::Doubt() {
  confirmed_at_.reset();
  followed_.reset();
  if (connection_) connection_->Cancel();
  connection_ = nullptr;
  Ask();
}

bool PublishedFeed::StoreWasAway(TimePoint now) const {
  return store_away_ ||
         (regained_at_ && now - *regained_at_ < kListedAgainWithin) ||
         (away_until_ && now < *away_until_);
}

Duration PublishedFeed::Age(TimePoint now) const {
  if (lost_ || !confirmed_at_) return kLostAge;
  return now - *confirmed_at_;
}

void PublishedFeed::After(Duration delay) {
  const std::size_t call = ++call_;
  timer_.expires_after(delay);
  timer_.async_wait([this, call](const boost::system::error_code& error) {
    if (!error && call == call_) Ask();
  });
}

void PublishedFeed::Ask() {
  if (stopped_) return;
  const Step step = choice_.Next(SteadyClock::now());
  if (step.delay > Duration::zero()) {
    After(step.delay);
    return;
  }
  source_ = step.source;
  if (const auto* peer = std::get_if<PeerSource>(&source_)) {
    AskPeer(peer->endpoint);
  } else {
    AskStore();
  }
}

void PublishedFeed::AskStore() {
  const Endpoint& store = context_->settings.platform;
  followed_.reset();
  if (!knows_list_) {
    const std::string after =
        listed_.items.empty() ? "" : listed_.items.back().key;
    context_->metrics.Count("store_calls", "list");
    Call(store, wire::ListRequest(ToString(store), after), kStoreLimit);
    return;
  }
  // The first call over a new path does not wait, so that it confirms at once.
  const bool confirmed = Age(SteadyClock::now()) < kLongestAge;
  const milliseconds wait = !confirmed           ? milliseconds(0)
                            : choice_.IsReader() ? kReaderWait
                                                 : kOwnWait;
  context_->metrics.Count("store_calls", "watch");
  Call(store, wire::WatchRequest(ToString(store), items_.revision(), wait),
       wait + kStoreLimit);
}

void PublishedFeed::AskPeer(const Endpoint& peer) {
  FeedQuestion question;
  question.asker = context_->settings.peer_listen;
  question.after = items_.revision();
  if (followed_ == peer) question.wait = kPeerWait;
  Call(peer, PeerRequest(peer, question), question.wait + kPeerLimit);
}

void PublishedFeed::Call(const Endpoint& endpoint, std::string request,
                         Duration limit) {
  const std::size_t call = ++call_;
  if (!connection_ || !connection_->IsReusable() || connected_to_ != endpoint) {
    if (connection_) connection_->Cancel();
    connection_ = ClientConnection::Open(context_->io, endpoint);
    connected_to_ = endpoint;
  }
  asked_at_ = SteadyClock::now();
  connection_->Call(
      std::move(request), false,
      [this, call](const CallResult& result) { OnResult(call, result); });
  ArmLimit(call, limit);
}

void PublishedFeed::ArmLimit(std::size_t call, Duration limit) {
  timer_.expires_after(limit);
  timer_.async_wait([this, call](const boost::system::error_code& error) {
    if (error || call != call_) return;
    ++call_;
    OnFailure("no answer in time", true);
  });
}

void PublishedFeed::OnResult(std::size_t call, const CallResult& result) {
  if (call != call_ || stopped_) return;
  ++call_;
  timer_.cancel();
  if (const auto* not_sent = std::get_if<NotSent>(&result)) {
    OnFailure(not_sent->problem, false);
    return;
  }
  if (const auto* no_answer = std::get_if<NoAnswer>(&result)) {
    OnFailure(no_answer->problem, false);
    return;
  }
  const auto& answer = std::get<ServerAnswer>(result).message;
  boost::leaf::try_handle_all(
      [&] { return OnAnswer(answer); },
      [&](const wire::DocumentError& error) {
        OnFailure(error.problem, false);
      },
      [&](const PeerMessageError& error) { OnFailure(error.problem, false); },
      [&] { OnFailure("the answer cannot be read", false); });
}

Result<void> PublishedFeed::OnAnswer(
    const http::response<http::string_body>& answer) {
  const unsigned status = answer.result_int();
  const bool from_store = std::holds_alternative<StoreSource>(source_);
  if (from_store && status == wire::kHistoryGone) {
    OnHistoryGone();
    return {};
  }
  if (status != kOk) {
    OnFailure("status " + std::to_string(status), false);
    return {};
  }
  return from_store ? OnStoreAnswer(answer.body())
                    : OnPeerAnswer(answer.body());
}

void PublishedFeed::OnHistoryGone() {
  context_->log.Write("store-history-gone",
                      {{"revision", static_cast<double>(items_.revision())}});
  knows_list_ = false;
  listed_ = {};
  Ask();
}

Result<void> PublishedFeed::OnStoreAnswer(const std::string& body) {
  BOOST_LEAF_AUTO(page, wire::ReadStorePage(body));
  const TimePoint now = SteadyClock::now();
  hops_ = 0;
  if (knows_list_) {
    Merge(ToFeedPage(page, false));
    Succeed(now, page.items.empty() ? Duration::zero() : kTakeTogether);
    return {};
  }
  // Pages are no snapshot: changes since the first page are read again.
  if (listed_.items.empty()) {
    listed_ = ToFeedPage({{}, false, page.revision}, true);
  }
  listed_.items.insert(listed_.items.end(), page.items.begin(),
                       page.items.end());
  if (page.has_more && !page.items.empty()) {
    Ask();
    return {};
  }
  knows_list_ = true;
  const FeedPage whole = std::move(listed_);
  listed_ = {};
  Merge(whole);
  context_->log.Write("listed",
                      {{"items", static_cast<double>(whole.items.size())},
                       {"revision", static_cast<double>(whole.revision)}});
  Succeed(now, Duration::zero());
  return {};
}

Result<void> PublishedFeed::OnPeerAnswer(const std::string& body) {
  BOOST_LEAF_AUTO(answer, DecodeFeedAnswer(body));
  const TimePoint now = SteadyClock::now();
  Learn(answer.suspects);
  if (answer.store_was_away) away_until_ = now + kListedAgainWithin;
  const bool has_news = !answer.page.items.empty();
  Merge(answer.page);
  if (!IsInTouch(answer)) {
    followed_.reset();
    OnOutOfTouch();
    return {};
  }
  // What another host knows is enough to ask the store for later changes.
  knows_list_ = true;
  listed_ = {};
  followed_ = std::get<PeerSource>(source_).endpoint;
  hops_ = answer.hops + 1;
  Succeed(now - answer.age, has_news ? kTakeTogether / 4 : Duration::zero());
  return {};
}

void PublishedFeed::Succeed(TimePoint confirmed_at, Duration next) {
  const TimePoint now = SteadyClock::now();
  choice_.OnAnswer(source_, now - asked_at_, now);
  confirmed_at_ = std::max(confirmed_at_.value_or(confirmed_at), confirmed_at);
  failures_ = 0;
  if (lost_) Regain(now);
  if (next > Duration::zero()) {
    After(next);
  } else {
    Ask();
  }
}

void PublishedFeed::OnFailure(const std::string& problem, bool slow) {
  choice_.OnFailure(source_, SteadyClock::now());
  if (connection_) connection_->Cancel();
  connection_ = nullptr;
  EndFailed(problem, slow);
}

void PublishedFeed::OnOutOfTouch() {
  choice_.OnOutOfTouch(source_, SteadyClock::now());
  EndFailed("it is out of touch with the store", false);
}

void PublishedFeed::EndFailed(const std::string& problem, bool slow) {
  context_->metrics.Count("store_calls", "failed");
  if (!knows_list_) listed_ = {};
  ++failures_;
  const bool counts = slow || failures_ > 1;
  if (counts && choice_.IsTurnedAway()) Lose(Describe(source_), problem);
  Ask();
}

void PublishedFeed::Lose(const std::string& source,
                         const std::string& problem) {
  if (std::holds_alternative<StoreSource>(source_)) store_away_ = true;
  if (lost_) return;
  lost_ = true;
  context_->log.Write("store-lost",
                      {{"source", source},
                       {"problem", problem},
                       {"revision", static_cast<double>(items_.revision())}});
  AnswerWaiting(true);
}

void PublishedFeed::Regain(TimePoint now) {
  lost_ = false;
  // Another host tells by itself whether the store was away.
  const bool from_store = std::holds_alternative<StoreSource>(source_);
  if (store_away_ && from_store) regained_at_ = now;
  store_away_ = false;
  context_->log.Write("store-regained",
                      {{"source", Describe(source_)},
                       {"revision", static_cast<double>(items_.revision())}});
}

void PublishedFeed::Merge(const FeedPage& page) {
  const std::vector<PublishedItem> changed = items_.Merge(page);
  if (changed.empty()) return;
  on_changed_(changed);
  AnswerWaiting(false);
}

FeedAnswer PublishedFeed::Answer(std::uint64_t after) const {
  const TimePoint now = SteadyClock::now();
  FeedAnswer answer;
  answer.page = items_.ChangesSince(after);
  answer.age = std::chrono::duration_cast<milliseconds>(Age(now));
  answer.hops = hops_;
  answer.store_was_away = StoreWasAway(now);
  answer.suspects = suspects_.Recent(now);
  return answer;
}

void PublishedFeed::AnswerPeer(const std::string& question,
                               PlainServer::Respond respond) {
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(asked, DecodeFeedQuestion(question));
        const TimePoint now = SteadyClock::now();
        choice_.OnAskedBy(asked.asker, now);
        Learn(asked.suspects);
        const bool waits = asked.wait > milliseconds(0) && !lost_ &&
                           asked.after >= items_.revision();
        if (!waits) {
          respond({kOk, Encode(Answer(asked.after))});
          return {};
        }
        waiting_.push_back({asked.after, now + asked.wait, respond});
        if (waiting_.size() == 1) ArmWaiting();
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

void PublishedFeed::Share(const SuspectNotice& notice) {
  if (!suspects_.Add(notice, SteadyClock::now())) return;
  AnswerWaiting(true);
  for (const Endpoint& reader : context_->settings.seeds) {
    if (reader != context_->settings.peer_listen) TellReader(reader, notice);
  }
}

void PublishedFeed::TellReader(const Endpoint& reader,
                               const SuspectNotice& notice) {
  FeedQuestion question;
  question.asker = context_->settings.peer_listen;
  question.after = items_.revision();
  question.suspects = {notice};
  const auto connection = ClientConnection::Open(context_->io, reader);
  connection->Call(
      PeerRequest(reader, question), false,
      [this, reader](const CallResult& result) {
        if (std::holds_alternative<ServerAnswer>(result)) return;
        context_->log.Write("suspect-not-told", {{"reader", ToString(reader)}});
      });
  const auto limit =
      std::make_shared<boost::asio::steady_timer>(*context_->io, kPeerLimit);
  limit->async_wait([connection, limit](const boost::system::error_code&) {
    connection->Cancel();
  });
}

void PublishedFeed::Learn(const std::vector<SuspectNotice>& notices) {
  const TimePoint now = SteadyClock::now();
  bool news = false;
  for (const SuspectNotice& notice : notices) {
    if (!suspects_.Add(notice, now)) continue;
    news = true;
    context_->suspects.Learn(notice, now);
    context_->log.Write("suspect-learnt",
                        {{"service", notice.service.str()},
                         {"digest", std::to_string(notice.digest)},
                         {"crashes", static_cast<double>(notice.crashes)},
                         {"age_ms", ToMilliseconds(notice.age)}});
  }
  if (news) AnswerWaiting(true);
}

void PublishedFeed::AnswerWaiting(bool all) {
  const TimePoint now = SteadyClock::now();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (!all && it->after >= items_.revision() && now < it->until) {
      ++it;
      continue;
    }
    it->respond({kOk, Encode(Answer(it->after))});
    it = waiting_.erase(it);
  }
}

void PublishedFeed::ArmWaiting() {
  if (waiting_.empty() || stopped_) return;
  TimePoint next = waiting_.front().until;
  for (const WaitingPeer& peer : waiting_) next = std::min(next, peer.until);
  waiting_timer_.expires_at(next);
  waiting_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    AnswerWaiting(false);
    ArmWaiting();
  });
}

}  // namespace heatherlatch
