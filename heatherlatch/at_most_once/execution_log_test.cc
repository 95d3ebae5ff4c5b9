#include "heatherlatch/at_most_once/execution_log.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <tuple>

#include "heatherlatch/at_most_once/internal/sequence_set.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDigest = 7;
const OrganisationName kShop("shop");

ExecutionLogOptions SmallOptions() {
  ExecutionLogOptions options;
  options.max_entries = 6;
  options.max_response_bytes = 4 * sizeof(StoredResponse);
  options.retention = seconds(10);
  options.ticket_lifetime = seconds(30);
  return options;
}

std::shared_ptr<const StoredResponse> ResponseOf(std::size_t body_bytes) {
  auto response = std::make_shared<StoredResponse>();
  response->status = 200;
  response->body.assign(body_bytes, 'a');
  return response;
}

template <typename T>
bool Is(const BeginResult& result) {
  return std::holds_alternative<T>(result);
}

// Applies random operations to a chain of logs, one for each incarnation of a
// host. Checks at every start that each earlier run of the same request ended
// as not run or, for a caller's key, is past its retention.
class LogHistory {
 public:
  LogHistory() { AddLog(); }

  void Step(int operation, int choice, int amount) {
    switch (operation) {
      case 0:
        tickets_.push_back(logs_.back().IssueTicket(now_));
        return;
      case 1:
      case 2:
        return BeginTicket(choice);
      case 3:
      case 4:
        return BeginKey(choice);
      case 5:
      case 6:
        return FinishRun(choice, amount);
      case 7:
        now_ += milliseconds(100) * amount;
        return;
      case 8:
        logs_.back().Expire(now_);
        return;
      case 9:
        return HandOver();
      default:
        return Restart();
    }
  }

  void CheckBounds() const {
    for (const ExecutionLog& log : logs_) {
      RC_ASSERT(log.size() <= SmallOptions().max_entries);
      RC_ASSERT(log.response_bytes() <= SmallOptions().max_response_bytes);
    }
  }

 private:
  struct Run {
    std::size_t log = 0;
    RequestKey key;
    bool running = true;
    bool not_run = false;
    TimePoint retained_from;  // Start of the retention.
  };

  void AddLog() {
    const HostIncarnation self{HostName("entry-1"), logs_.size() + 1};
    logs_.emplace_back(self, SmallOptions());
  }

  void BeginTicket(int choice) {
    if (tickets_.empty()) return;
    const Ticket ticket = tickets_[choice % tickets_.size()];
    Begin(ticket);
  }

  void BeginKey(int choice) {
    if (now_ < keys_blocked_until_) return;
    Begin(CallerKey{kShop, std::to_string(choice % 8)});
  }

  void Begin(const RequestKey& key) {
    const BeginResult result = logs_.back().Begin(key, kDigest, now_);
    if (!Is<StartRun>(result)) return;
    for (const Run& run : runs_) {
      if (!(run.key == key) || run.not_run) continue;
      RC_ASSERT(std::holds_alternative<CallerKey>(key));
      RC_ASSERT(!run.running || run.log + 1 != logs_.size());
      RC_ASSERT(now_ >= run.retained_from + SmallOptions().retention);
    }
    runs_.push_back({logs_.size() - 1, key, true, false, now_});
  }

  // Finishes a run, which may be finished already or belong to an earlier log.
  void FinishRun(int choice, int amount) {
    if (runs_.empty()) return;
    Run& run = runs_[choice % runs_.size()];
    if (!run.running && IsRunning(run.log, run.key)) return;
    const Outcome outcome = OutcomeOf(amount % 3);
    logs_[run.log].Finish(run.key, outcome, ResponseOf(amount), now_);
    if (!run.running) return;
    run.running = false;
    run.not_run = std::holds_alternative<NotRun>(outcome);
    // The next log does not receive the end of a run of this log; it counts the
    // retention from the handover.
    if (run.log + 1 == logs_.size()) run.retained_from = now_;
  }

  static Outcome OutcomeOf(int choice) {
    if (choice == 0) return NotRun{NotRunReason::kShedByServer};
    if (choice == 1) return Unknown{UnknownReason::kResponseLost};
    return Ran{};
  }

  bool IsRunning(std::size_t log, const RequestKey& key) const {
    for (const Run& run : runs_) {
      if (run.running && run.log == log && run.key == key) return true;
    }
    return false;
  }

  void HandOver() {
    const std::vector<KeyRecord> records = logs_.back().ExportKeys(now_);
    for (Run& run : runs_) {
      if (run.running && run.log + 1 == logs_.size()) {
        run.retained_from = now_;
      }
    }
    AddLog();
    const bool imported = logs_.back().ImportKeys(records, now_);
    if (!imported) keys_blocked_until_ = now_ + SmallOptions().retention;
  }

  // Starts an incarnation with an empty log; the key ring lets it run no
  // callers' keys for a grace period.
  void Restart() {
    AddLog();
    keys_blocked_until_ = now_ + SmallOptions().retention;
  }

  TimePoint now_{};
  TimePoint keys_blocked_until_{};
  std::deque<ExecutionLog> logs_;
  std::vector<Ticket> tickets_;
  std::vector<Run> runs_;
};

TEST_CASE("no sequence of operations restarts a request that may have run",
          "[promise-07]") {
  CHECK(rc::check("at most once in a log", [] {
    const auto steps = *rc::gen::scale(
        4.0,
        rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 11), rc::gen::inRange(0, 16),
                           rc::gen::inRange(0, 120))));
    LogHistory history;
    for (const auto& [operation, choice, amount] : steps) {
      history.Step(operation, choice, amount);
      history.CheckBounds();
    }
  }));
}

TEST_CASE("a full log refuses new requests and keeps its entries",
          "[promise-06][promise-07]") {
  const TimePoint now{};
  ExecutionLog log({HostName("entry-1"), 1}, SmallOptions());
  for (int i = 0; i < 6; ++i) {
    const CallerKey key{kShop, std::to_string(i)};
    REQUIRE(Is<StartRun>(log.Begin(key, kDigest, now)));
    log.Finish(key, Ran{}, ResponseOf(0), now);
  }
  CHECK(Is<LogFull>(log.Begin(CallerKey{kShop, "new"}, kDigest, now)));
  // Four responses fit, so the two that ended first were dropped.
  CHECK(Is<RecordExpired>(log.Begin(CallerKey{kShop, "0"}, kDigest, now)));
  CHECK(Is<Replay>(log.Begin(CallerKey{kShop, "5"}, kDigest, now)));
  CHECK(Is<ContentMismatch>(log.Begin(CallerKey{kShop, "5"}, 8, now)));
}

TEST_CASE("a ticket never runs after its record or lifetime has expired",
          "[promise-07]") {
  TimePoint now{};
  ExecutionLog log({HostName("entry-1"), 1}, SmallOptions());
  const Ticket used = log.IssueTicket(now);
  const Ticket unused = log.IssueTicket(now);
  REQUIRE(Is<StartRun>(log.Begin(used, kDigest, now)));
  log.Finish(used, Unknown{UnknownReason::kResponseLost}, nullptr, now);
  CHECK(Is<EndedUnknown>(log.Begin(used, kDigest, now)));
  now += SmallOptions().retention;
  CHECK(Is<RecordExpired>(log.Begin(used, kDigest, now)));
  now += SmallOptions().ticket_lifetime;
  CHECK(Is<RecordExpired>(log.Begin(unused, kDigest, now)));
  CHECK(log.size() == 0);
  const Ticket never_issued{unused.issuer, unused.sequence + 1};
  CHECK(Is<NotIssuedHere>(log.Begin(never_issued, kDigest, now)));
}

TEST_CASE("a ticket can run again after its run ended as not run",
          "[promise-06]") {
  const TimePoint now{};
  ExecutionLog log({HostName("entry-1"), 1}, SmallOptions());
  const Ticket ticket = log.IssueTicket(now);
  REQUIRE(Is<StartRun>(log.Begin(ticket, kDigest, now)));
  CHECK(Is<Running>(log.Begin(ticket, kDigest, now)));
  log.Finish(ticket, NotRun{NotRunReason::kShedByServer}, nullptr, now);
  CHECK(Is<StartRun>(log.Begin(ticket, kDigest, now)));
}

TEST_CASE("a sequence set stays within its bound and keeps every number") {
  CHECK(rc::check("sequence set", [] {
    const auto inserted = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 60));
    SequenceSet set(4);
    for (const std::uint64_t sequence : inserted) {
      set.Insert(sequence);
      RC_ASSERT(set.range_count() <= 4U);
    }
    for (const std::uint64_t sequence : inserted) {
      RC_ASSERT(set.Contains(sequence));
    }
  }));
}

}  // namespace
}  // namespace heatherlatch
