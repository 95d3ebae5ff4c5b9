#include "heatherlatch/fleet_budget/budget_desk.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <memory>
#include <queue>
#include <random>

namespace heatherlatch {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const BudgetKey kKey{BudgetKind::kAllotment, "member-shops"};
const TimePoint kStart = TimePoint(seconds(100));
constexpr std::size_t kReaders = 3;
constexpr Duration kWindow = seconds(5);
constexpr Duration kAnswerTimeout = milliseconds(200);

struct Conditions {
  double rate = 0;
  double burst = 0;
  double allowance = 0;
  std::size_t hosts = 1;
  Duration delay = milliseconds(1);  // One way, at most.
  double lost = 0;                   // Share of the messages.
  double restarts = 0;               // Of readers, a second.
  double pauses = 0;                 // Of hosts, a second, for up to a second.
};

// Hosts, of which the first are readers, that ask each other in virtual time.
class Fleet {
 public:
  Fleet(const Conditions& conditions, unsigned seed)
      : conditions_(conditions),
        terms_(TermsWithin(conditions.rate, conditions.burst, kWindow,
                           conditions.allowance, kReaders)),
        rng_(seed) {
    for (std::size_t i = 0; i < conditions.hosts + kReaders; ++i) AddHost(i);
  }

  // Lets callers send `per_second` requests to random hosts, the first ones
  // more often.
  void Run(double per_second, Duration duration) {
    const TimePoint end = now_ + duration;
    for (TimePoint at = now_; at < end; at += Exponential(per_second)) {
      Schedule(at, [this] { Request(Draw(Draw(hosts_.size()) + 1)); });
    }
    for (TimePoint at = now_; at < end; at += milliseconds(50)) {
      Schedule(at, [this] { Disturb(); });
    }
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }

  void CutOff(std::size_t host) { hosts_[host].cut_off = true; }

  // @return the most tokens used in any window
  std::size_t MostInWindow() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < used_.size(); ++last) {
      while (used_[last] - used_[first] > kWindow) ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  std::size_t used() const { return used_.size(); }
  int exhausted = 0;
  int unreachable = 0;
  std::vector<Duration> retry_after;
  int questions = 0;
  Duration longest_wait{};

 private:
  struct Event {
    TimePoint at;
    std::function<void()> run;
    bool operator<(const Event& other) const { return at > other.at; }
  };
  struct Host {
    std::unique_ptr<BudgetDesk> desk;
    std::optional<BudgetIssuer> issuer;
    TimePoint paused_until;
    bool cut_off = false;
    std::map<Endpoint, int> answered;  // Number of the last question.
  };

  static Endpoint At(std::size_t host) {
    return {"10.0.0.1", static_cast<std::uint16_t>(1 + host)};
  }

  void AddHost(std::size_t index) {
    Host& host = hosts_.emplace_back();
    if (index < kReaders) host.issuer.emplace(kStart);
    host.desk = std::make_unique<BudgetDesk>(
        [this, index](const BudgetKey&, int wanted) {
          return Issue(index, wanted);
        });
    std::vector<Endpoint> others;
    for (std::size_t i = 0; i < kReaders; ++i) {
      if (i != index) others.push_back(At(i));
    }
    host.desk->SetIssuers(others, kStart);
  }

  std::optional<BudgetGrant> Issue(std::size_t index, int wanted) {
    std::optional<BudgetIssuer>& issuer = hosts_[index].issuer;
    if (!issuer) return std::nullopt;
    const BudgetTerms part = PartOf(terms_, kReaders);
    const int issued = issuer->Issue(kKey, part, wanted, now_);
    return BudgetGrant{kKey, issued, issuer->UntilNext(kKey, part, now_)};
  }

  void Schedule(TimePoint at, std::function<void()> run) {
    events_.push({at, std::move(run)});
  }
  // Runs it at a host, after its pause.
  void ScheduleAt(std::size_t host, TimePoint at, std::function<void()> run) {
    Schedule(at, [this, host, run = std::move(run)] {
      const TimePoint resumes = hosts_[host].paused_until;
      if (now_ < resumes) {
        ScheduleAt(host, resumes, run);
      } else {
        run();
      }
    });
  }

  void Request(std::size_t index) {
    ScheduleAt(index, now_, [this, index] {
      const TimePoint asked_at = now_;
      hosts_[index].desk->Acquire(
          kKey, terms_.token_lifetime, now_, now_ + seconds(1),
          [this, asked_at](const BudgetAnswer& answer) {
            longest_wait = std::max(longest_wait, now_ - asked_at);
            if (std::holds_alternative<BudgetGranted>(answer)) {
              used_.push_back(now_);
            } else if (auto* none = std::get_if<BudgetExhausted>(&answer)) {
              ++exhausted;
              retry_after.push_back(none->retry_after);
            } else {
              ++unreachable;
            }
          });
      Poll(index);
    });
  }

  void Poll(std::size_t index) {
    BudgetDesk& desk = *hosts_[index].desk;
    for (const BudgetQuestion& question : desk.TakeQuestions(now_)) {
      Ask(index, question);
    }
    if (desk.NextDue() == TimePoint::max()) return;
    ScheduleAt(index, std::max(desk.NextDue(), now_ + microseconds(1)),
               [this, index] {
                 if (hosts_[index].desk->NextDue() <= now_) Poll(index);
               });
  }

  void Ask(std::size_t index, const BudgetQuestion& question) {
    const int number = ++questions;
    const std::size_t reader = question.issuer.port - 1U;
    const auto answer = [this, index, number,
                         question](const std::vector<BudgetGrant>& grants) {
      if (hosts_[index].answered[question.issuer] >= number) return;
      hosts_[index].answered[question.issuer] = number;
      if (grants.empty()) {
        hosts_[index].desk->OnFailure(question.issuer, now_);
      } else {
        hosts_[index].desk->OnGrants(question.issuer, grants, now_);
      }
      Poll(index);
    };
    ScheduleAt(index, now_ + kAnswerTimeout, [answer] { answer({}); });
    if (IsLost(index, reader)) return;
    ScheduleAt(reader, now_ + Delay(), [this, index, reader, question, answer] {
      const auto grant = Issue(reader, question.asks.at(0).wanted);
      if (IsLost(index, reader)) return;
      ScheduleAt(index, now_ + Delay(), [grant, answer] { answer({*grant}); });
    });
  }

  void Disturb() {
    const auto happens = [this](double per_second) {
      return std::bernoulli_distribution(per_second * 0.05)(rng_);
    };
    if (happens(conditions_.restarts)) {
      hosts_[Draw(kReaders)].issuer.emplace(now_);
    }
    if (happens(conditions_.pauses)) {
      hosts_[Draw(hosts_.size())].paused_until =
          now_ + milliseconds(Draw(1000));
    }
    for (Host& host : hosts_) host.desk->RemoveExpired(now_);
  }

  bool IsLost(std::size_t a, std::size_t b) {
    return hosts_[a].cut_off || hosts_[b].cut_off ||
           std::bernoulli_distribution(conditions_.lost)(rng_);
  }
  std::size_t Draw(std::size_t end) {
    return std::uniform_int_distribution<std::size_t>(0, end - 1)(rng_);
  }
  Duration Delay() {
    const auto most =
        std::chrono::duration_cast<microseconds>(conditions_.delay).count();
    return microseconds(
        std::uniform_int_distribution<std::int64_t>(0, most)(rng_));
  }
  Duration Exponential(double per_second) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::exponential_distribution<double>(per_second)(rng_)));
  }

  Conditions conditions_;
  BudgetTerms terms_;
  std::mt19937 rng_;
  std::vector<Host> hosts_;
  std::priority_queue<Event> events_;
  std::vector<TimePoint> used_;
  TimePoint now_ = kStart;
};

double InWindow(const Conditions& conditions) {
  return 5 * conditions.rate + conditions.burst;
}

Conditions Calm(double rate) {
  Conditions calm{rate, rate / 2, 0, 20};
  calm.allowance = 0.25 * InWindow(calm) + 20;
  return calm;
}

TEST_CASE("what hosts use stays within the bound, whatever happens") {
  rc::prop("delays, losses, restarts, pauses and cut-offs", [] {
    Conditions any{*rc::gen::inRange(1, 200) * 1.0,
                   *rc::gen::inRange(0, 200) * 1.0, 0,
                   *rc::gen::inRange<std::size_t>(1, 30)};
    any.allowance = 0.01 * *rc::gen::inRange(10, 50) * InWindow(any) + 10;
    any.delay = milliseconds(*rc::gen::inRange(0, 300));
    any.lost = 0.01 * *rc::gen::inRange(0, 30);
    any.restarts = 0.1 * *rc::gen::inRange(0, 20);
    any.pauses = 0.1 * *rc::gen::inRange(0, 20);
    Fleet fleet(any, *rc::gen::arbitrary<unsigned>());
    const double demand = 0.1 * *rc::gen::inRange(5, 40) * any.rate;
    fleet.Run(demand, seconds(4));
    if (*rc::gen::arbitrary<bool>()) fleet.CutOff(0);
    fleet.CutOff(*rc::gen::inRange<std::size_t>(kReaders, any.hosts + 3));
    fleet.Run(demand, seconds(5));
    RC_ASSERT(static_cast<double>(fleet.MostInWindow()) <=
              InWindow(any) + any.allowance);
  });
}

TEST_CASE("within the bound next to nothing is refused, however uneven") {
  for (const double rate : {4.0, 40.0, 400.0}) {
    Fleet fleet(Calm(rate), 7);
    fleet.Run(0.1, seconds(20));  // The buckets fill.
    const double before = static_cast<double>(fleet.used());
    fleet.Run(0.9 * rate, seconds(60));
    const int refused = fleet.exhausted + fleet.unreachable;
    INFO("rate " << rate << ", refused " << refused);
    CHECK(refused <= 0.005 * 0.9 * rate * 60);
    CHECK(static_cast<double>(fleet.used()) - before >= 0.85 * rate * 60);
    CHECK(fleet.longest_wait <= milliseconds(200));
  }
}

TEST_CASE("beyond the bound nearly all of it is used, at a bounded cost") {
  for (const double rate : {4.0, 40.0, 400.0}) {
    const Conditions calm = Calm(rate);
    Fleet fleet(calm, 8);
    fleet.Run(5 * rate, seconds(60));
    INFO("rate " << rate);
    CHECK(static_cast<double>(fleet.used()) >= 0.95 * rate * 60);
    CHECK(static_cast<double>(fleet.MostInWindow()) <=
          InWindow(calm) + calm.allowance);
    CHECK(fleet.questions <= 21 * 60 * (20 + static_cast<int>(kReaders)));
    for (const Duration retry : fleet.retry_after) {
      CHECK(retry > Duration::zero());
      CHECK(retry <= seconds(6));
    }
  }
}

TEST_CASE("a host that reaches no issuer gets no tokens, and says so") {
  Fleet fleet(Calm(40), 9);
  fleet.Run(20, seconds(10));
  const std::size_t before = fleet.used();
  for (std::size_t i = 0; i < kReaders; ++i) fleet.CutOff(i);
  fleet.Run(40, seconds(10));
  CHECK(fleet.unreachable > 0);
  CHECK(fleet.used() < before + 300);  // Of the readers themselves.
  CHECK(fleet.longest_wait <= seconds(1));
}

TEST_CASE("a token that is given back can be used again") {
  BudgetDesk desk([](const BudgetKey&, int) { return std::nullopt; });
  desk.Return(kKey, {kStart + seconds(1)}, kStart);
  CHECK_FALSE(desk.TryAcquire(kKey, seconds(1), kStart + seconds(1)));
  const auto token = desk.TryAcquire(kKey, seconds(1), kStart);
  REQUIRE(token);
  CHECK(token->valid_until == kStart + seconds(1));
  CHECK_FALSE(desk.TryAcquire(kKey, seconds(1), kStart));
}

// Guards against a host that spends in one moment what it gathered over time.
TEST_CASE("tokens held for demand that ended expire with their lifetime") {
  BudgetDesk desk([](const BudgetKey&, int) { return std::nullopt; });
  const Endpoint issuer{"10.0.0.1", 1};
  desk.SetIssuers({issuer}, kStart);
  TimePoint now = kStart;
  int granted = 0;
  for (int i = 0; i < 100; ++i, now += milliseconds(10)) {
    desk.Acquire(kKey, seconds(1), now, now + seconds(1),
                 [](const BudgetAnswer&) {});
    for (const BudgetQuestion& question : desk.TakeQuestions(now)) {
      const int wanted = question.asks.at(0).wanted;
      granted += wanted;
      desk.OnGrants(issuer, {{kKey, wanted, {}}}, now);
    }
  }
  REQUIRE(granted > 110);
  CHECK(desk.TryAcquire(kKey, seconds(1), now));
  CHECK_FALSE(desk.TryAcquire(kKey, seconds(1), now + seconds(1)));
  CHECK(desk.RemoveExpired(now + seconds(1))[BudgetKind::kAllotment] > 5);
}

TEST_CASE("an issuer that does not know a key is not one that denied it") {
  BudgetDesk desk([](const BudgetKey&, int) { return std::nullopt; });
  const Endpoint issuer{"10.0.0.1", 1};
  desk.SetIssuers({issuer}, kStart);
  std::optional<BudgetAnswer> answer;
  desk.Acquire(kKey, seconds(1), kStart, kStart + seconds(1),
               [&](const BudgetAnswer& given) { answer = given; });
  REQUIRE(desk.TakeQuestions(kStart).size() == 1);
  desk.OnGrants(issuer, {}, kStart + milliseconds(2));
  REQUIRE(answer);
  CHECK(std::holds_alternative<BudgetUnreachable>(*answer));
}

}  // namespace
}  // namespace heatherlatch
