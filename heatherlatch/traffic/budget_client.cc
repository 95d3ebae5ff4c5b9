#include "heatherlatch/traffic/budget_client.h"

#include <algorithm>
#include <string>
#include <utility>

#include "heatherlatch/traffic/peer_requests.h"
#include "heatherlatch/traffic/suspension.h"
#include "heatherlatch/traffic/traffic_context.h"

namespace heatherlatch {
namespace {

// How long an issuer may take to respond: two round trips between regions, of
// which one connects.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(200);

// @return the outcome of the counter, such as "allotment-granted"
std::string OutcomeOf(BudgetKind kind, std::string_view what) {
  switch (kind) {
    case BudgetKind::kColdStart:
      return "cold-start-" + std::string(what);
    case BudgetKind::kRetry:
      return "retry-" + std::string(what);
    case BudgetKind::kAllotment:
      return "allotment-" + std::string(what);
  }
  return std::string(what);
}

void Count(TrafficContext* context, BudgetKind kind, std::string_view what,
           std::size_t tokens) {
  if (tokens == 0) return;
  context->metrics.Count("budget_tokens", OutcomeOf(kind, what), tokens);
}

}  // namespace

BudgetClient::BudgetClient(TrafficContext* context)
    : context_(context),
      desk_([this](const BudgetKey& key, int wanted) {
        return IssueOne(key, wanted);
      }),
      timer_(*context->io) {
  UpdateReaders();
}

BudgetClient::~BudgetClient() {
  for (auto& [issuer, line] : lines_) {
    if (line.connection) line.connection->Cancel();
  }
}

TimePoint BudgetClient::Now() { return SteadyClock::now() + TotalSuspension(); }

bool BudgetClient::IsReader() const {
  const std::vector<Endpoint>& readers = context_->settings.seeds;
  return readers.empty() ||
         std::find(readers.begin(), readers.end(),
                   context_->settings.peer_listen) != readers.end();
}

void BudgetClient::UpdateReaders() {
  if (!IsReader()) {
    issuer_.reset();
  } else if (!issuer_) {
    issuer_.emplace(Now());
  }
  if (readers_ == context_->settings.seeds) return;
  readers_ = context_->settings.seeds;
  std::vector<Endpoint> others = readers_;
  others.erase(
      std::remove(others.begin(), others.end(), context_->settings.peer_listen),
      others.end());
  for (auto it = lines_.begin(); it != lines_.end();) {
    const bool kept =
        std::find(others.begin(), others.end(), it->first) != others.end();
    if (!kept && it->second.connection) it->second.connection->Cancel();
    it = kept ? std::next(it) : lines_.erase(it);
  }
  desk_.SetIssuers(others, Now());
}

std::optional<BudgetGrant> BudgetClient::IssueOne(const BudgetKey& key,
                                                  int wanted) {
  const auto terms = context_->TermsOf(key);
  if (!issuer_ || !terms) return std::nullopt;
  const TimePoint now = Now();
  const BudgetTerms part =
      PartOf(*terms, std::max<std::size_t>(readers_.size(), 1));
  const int issued = issuer_->Issue(key, part, wanted, now);
  Count(context_, key.kind, "issued", static_cast<std::size_t>(issued));
  Count(context_, key.kind, "denied",
        static_cast<std::size_t>(wanted - issued));
  return BudgetGrant{key, issued, issuer_->UntilNext(key, part, now)};
}

std::vector<BudgetGrant> BudgetClient::Issue(
    const std::vector<BudgetAsk>& asks) {
  UpdateReaders();
  std::vector<BudgetGrant> grants;
  for (const BudgetAsk& ask : asks) {
    auto grant = IssueOne(ask.key, ask.wanted);
    if (grant) grants.push_back(std::move(*grant));
  }
  return grants;
}

void BudgetClient::Acquire(const BudgetKey& key, Duration max_wait, Done done) {
  UpdateReaders();
  const auto terms = context_->TermsOf(key);
  if (!terms) {
    done(BudgetUnreachable());
    return;
  }
  const TimePoint now = Now();
  desk_.Acquire(key, terms->token_lifetime, now, now + max_wait,
                std::move(done));
  Poll();
}

std::optional<BudgetGranted> BudgetClient::TryAcquire(const BudgetKey& key) {
  UpdateReaders();
  const auto terms = context_->TermsOf(key);
  if (!terms) return std::nullopt;
  const auto token = desk_.TryAcquire(key, terms->token_lifetime, Now());
  Poll();
  return token;
}

bool BudgetClient::IsValid(const BudgetGranted& token) const {
  return Now() < token.valid_until;
}

void BudgetClient::Return(const BudgetKey& key, const BudgetGranted& token) {
  desk_.Return(key, token, Now());
}

void BudgetClient::RemoveExpired() {
  const TimePoint now = Now();
  if (issuer_) issuer_->RemoveFull(now);
  for (const auto& [kind, tokens] : desk_.RemoveExpired(now)) {
    Count(context_, kind, "expired", tokens);
  }
  UpdateReaders();
  Poll();
}

void BudgetClient::Poll() {
  // The desk has nothing to do before; each call of it sets this time anew.
  while (desk_.NextDue() <= Now()) {
    for (const BudgetQuestion& question : desk_.TakeQuestions(Now())) {
      Send(question);
    }
  }
  const TimePoint due = desk_.NextDue();
  if (due == due_ || due == TimePoint::max()) return;
  due_ = due;
  timer_.expires_after(due - Now());
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    due_ = TimePoint::max();
    Poll();
  });
}

void BudgetClient::Send(const BudgetQuestion& question) {
  Line& line = lines_[question.issuer];
  if (!line.connection || !line.connection->IsReusable()) {
    line.connection = context_->connections.Open(question.issuer);
  }
  if (!line.timeout) {
    line.timeout = std::make_unique<boost::asio::steady_timer>(*context_->io);
  }
  FeedRequest request;
  request.requester = context_->settings.peer_listen;
  request.budget_asks = question.asks;
  for (const BudgetAsk& ask : question.asks) {
    Count(context_, ask.key.kind, "asked",
          static_cast<std::size_t>(ask.wanted));
  }
  context_->metrics.Count("budget_questions", "sent");
  const Endpoint issuer = question.issuer;
  line.timeout->expires_after(kAnswerTimeout);
  line.timeout->async_wait([this, issuer](const boost::system::error_code& e) {
    if (!e) OnResult(issuer, NoResponse{"no response in time"});
  });
  line.connection->Call(
      {BuildPeerRequest(issuer, request)}, ResponseBounds(),
      [this, issuer](const CallResult& result) { OnResult(issuer, result); });
}

void BudgetClient::OnResult(const Endpoint& issuer, const CallResult& result) {
  const auto line = lines_.find(issuer);
  if (line == lines_.end()) return;
  line->second.timeout->cancel();
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(answer, ReadPeerResponse(result));
        Record(issuer, answer.budget_grants);
        desk_.OnGrants(issuer, answer.budget_grants, Now());
        return {};
      },
      [&](const PeerMessageError& error) {
        context_->metrics.Count("budget_questions", "failed");
        context_->log.Write(
            "budget-issuer-not-reached",
            {{"reader", ToString(issuer)}, {"problem", error.problem}});
        line->second.connection->Cancel();
        desk_.OnFailure(issuer, Now());
      },
      [] {});
  // Keys that waited for the end of the question.
  for (const BudgetQuestion& question : desk_.TakeQuestions(Now())) {
    Send(question);
  }
  Poll();
}

void BudgetClient::Record(const Endpoint& issuer,
                          const std::vector<BudgetGrant>& grants) {
  for (const BudgetGrant& grant : grants) {
    Count(context_, grant.key.kind, "granted",
          static_cast<std::size_t>(grant.granted));
    if (grant.granted > 0) continue;
    Count(context_, grant.key.kind, "refused", 1);
    context_->log.Write("budget-refused",
                        {{"reader", ToString(issuer)},
                         {"subject", grant.key.subject},
                         {"until_next_ms", ToMilliseconds(grant.until_next)}});
  }
}

}  // namespace heatherlatch
