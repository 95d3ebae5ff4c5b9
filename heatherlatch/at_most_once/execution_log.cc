#include "heatherlatch/at_most_once/execution_log.h"

#include <deque>
#include <set>
#include <unordered_map>

#include "heatherlatch/at_most_once/internal/sequence_set.h"

namespace heatherlatch {
namespace {

// Tickets issued within one interval pass their lifetime together.
constexpr Duration kTicketBatchInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxSpentTicketRanges = 100000;

std::size_t BytesOf(const StoredAnswer& answer) {
  std::size_t bytes = sizeof(StoredAnswer) + answer.body.size();
  for (const auto& [name, value] : answer.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

}  // namespace

class ExecutionLog::State {
 public:
  State(HostIncarnation self, ExecutionLogOptions options)
      : self_(std::move(self)),
        options_(options),
        spent_tickets_(kMaxSpentTicketRanges) {}

  Ticket IssueTicket(TimePoint now);
  BeginResult Begin(const RequestKey& key, std::uint64_t digest, TimePoint now);
  void Finish(const RequestKey& key, const Outcome& outcome,
              std::shared_ptr<const StoredAnswer> answer, TimePoint now);
  void Expire(TimePoint now);
  std::vector<KeyRecord> ExportKeys(TimePoint now) const;
  bool ImportKeys(const std::vector<KeyRecord>& records, TimePoint now);
  std::size_t size() const { return entries_.size(); }
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  enum class Phase { kRunning, kRan, kUnknown };

  struct Entry {
    RequestKey key;
    std::uint64_t digest = 0;
    Phase phase = Phase::kRunning;
    UnknownReason unknown_reason = UnknownReason::kAnswerLost;
    std::shared_ptr<const StoredAnswer> answer;
    TimePoint began;
    TimePoint ended;
  };
  // Keyed by the text of the request key, which is unique.
  using Entries = std::unordered_map<std::string, Entry>;

  struct TicketBatch {
    TimePoint issued;
    std::uint64_t last_sequence = 0;
  };

  // @return why a ticket without an entry cannot run, if it cannot
  std::optional<BeginResult> RefuseTicket(const Ticket& ticket) const;
  static BeginResult Repeat(const Entry& entry, std::uint64_t digest);
  void End(const std::string& id, Entry& entry,
           std::shared_ptr<const StoredAnswer> answer, TimePoint now);
  void KeepAnswer(const std::string& id, Entry& entry,
                  std::shared_ptr<const StoredAnswer> answer);
  void DropAnswer(const std::string& id, Entry& entry);
  void DropOldestAnswer();
  void Forget(Entries::iterator it);
  void ExpireTickets(TimePoint now);
  void Import(const KeyRecord& record, TimePoint now);

  HostIncarnation self_;
  ExecutionLogOptions options_;
  Entries entries_;
  // Ended entries, the earliest end first.
  std::set<std::pair<TimePoint, std::string>> ended_;
  // The entries of `ended_` that hold an answer.
  std::set<std::pair<TimePoint, std::string>> answered_;
  std::size_t answer_bytes_ = 0;
  std::uint64_t last_issued_ = 0;
  std::deque<TicketBatch> batches_;
  // Tickets that never run here again: their entry is gone or they are older
  // than the lifetime of a ticket.
  SequenceSet spent_tickets_;
};

Ticket ExecutionLog::State::IssueTicket(TimePoint now) {
  ExpireTickets(now);
  ++last_issued_;
  if (batches_.empty() || now - batches_.back().issued > kTicketBatchInterval) {
    batches_.push_back({now, last_issued_});
  }
  batches_.back().last_sequence = last_issued_;
  return {self_, last_issued_};
}

BeginResult ExecutionLog::State::Begin(const RequestKey& key,
                                       std::uint64_t digest, TimePoint now) {
  Expire(now);
  std::string id = ToString(key);
  const auto found = entries_.find(id);
  if (found != entries_.end()) return Repeat(found->second, digest);
  if (const auto* ticket = std::get_if<Ticket>(&key)) {
    if (auto refusal = RefuseTicket(*ticket)) return *refusal;
  }
  if (entries_.size() >= options_.max_entries) return LogFull{};
  Entry entry;
  entry.key = key;
  entry.digest = digest;
  entry.began = now;
  entries_.emplace(std::move(id), std::move(entry));
  return StartRun{};
}

std::optional<BeginResult> ExecutionLog::State::RefuseTicket(
    const Ticket& ticket) const {
  const bool issued_here = ticket.issuer == self_ && ticket.sequence > 0 &&
                           ticket.sequence <= last_issued_;
  if (!issued_here) return NotIssuedHere{};
  if (spent_tickets_.Contains(ticket.sequence)) return Forgotten{};
  return std::nullopt;
}

BeginResult ExecutionLog::State::Repeat(const Entry& entry,
                                        std::uint64_t digest) {
  if (entry.digest != digest) return OtherContent{};
  switch (entry.phase) {
    case Phase::kRunning:
      return Running{};
    case Phase::kUnknown:
      return EndedUnknown{entry.unknown_reason};
    case Phase::kRan:
      break;
  }
  if (entry.answer == nullptr) return Forgotten{};
  return Replay{entry.answer};
}

void ExecutionLog::State::Finish(const RequestKey& key, const Outcome& outcome,
                                 std::shared_ptr<const StoredAnswer> answer,
                                 TimePoint now) {
  const std::string id = ToString(key);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (entry.phase != Phase::kRunning) return;
  if (std::holds_alternative<NotRun>(outcome)) {
    entries_.erase(found);
    return;
  }
  if (const auto* unknown = std::get_if<Unknown>(&outcome)) {
    entry.phase = Phase::kUnknown;
    entry.unknown_reason = unknown->reason;
  } else {
    entry.phase = Phase::kRan;
  }
  End(id, entry, std::move(answer), now);
}

void ExecutionLog::State::End(const std::string& id, Entry& entry,
                              std::shared_ptr<const StoredAnswer> answer,
                              TimePoint now) {
  entry.ended = now;
  ended_.emplace(now, id);
  if (entry.phase == Phase::kRan) KeepAnswer(id, entry, std::move(answer));
}

void ExecutionLog::State::KeepAnswer(
    const std::string& id, Entry& entry,
    std::shared_ptr<const StoredAnswer> answer) {
  if (answer == nullptr) return;
  const std::size_t bytes = BytesOf(*answer);
  if (bytes > options_.max_answer_bytes) return;
  while (answer_bytes_ + bytes > options_.max_answer_bytes) DropOldestAnswer();
  answer_bytes_ += bytes;
  entry.answer = std::move(answer);
  answered_.emplace(entry.ended, id);
}

void ExecutionLog::State::DropAnswer(const std::string& id, Entry& entry) {
  if (entry.answer == nullptr) return;
  answer_bytes_ -= BytesOf(*entry.answer);
  answered_.erase({entry.ended, id});
  entry.answer = nullptr;
}

void ExecutionLog::State::DropOldestAnswer() {
  const std::string id = answered_.begin()->second;
  DropAnswer(id, entries_.at(id));
}

void ExecutionLog::State::Forget(Entries::iterator it) {
  if (const auto* ticket = std::get_if<Ticket>(&it->second.key)) {
    spent_tickets_.Insert(ticket->sequence);
  }
  DropAnswer(it->first, it->second);
  entries_.erase(it);
}

void ExecutionLog::State::Expire(TimePoint now) {
  while (!ended_.empty() && now - ended_.begin()->first >= options_.retention) {
    Forget(entries_.find(ended_.begin()->second));
    ended_.erase(ended_.begin());
  }
  ExpireTickets(now);
}

void ExecutionLog::State::ExpireTickets(TimePoint now) {
  while (!batches_.empty() &&
         now - batches_.front().issued >=
             options_.ticket_lifetime + kTicketBatchInterval) {
    spent_tickets_.InsertUpTo(batches_.front().last_sequence);
    batches_.pop_front();
  }
}

std::vector<KeyRecord> ExecutionLog::State::ExportKeys(TimePoint now) const {
  std::vector<KeyRecord> records;
  for (const auto& [id, entry] : entries_) {
    const auto* key = std::get_if<CallerKey>(&entry.key);
    if (key == nullptr) continue;
    const bool running = entry.phase == Phase::kRunning;
    const Duration age = running ? Duration::zero() : now - entry.ended;
    records.push_back({*key, entry.digest, true, age, entry.answer});
  }
  return records;
}

bool ExecutionLog::State::ImportKeys(const std::vector<KeyRecord>& records,
                                     TimePoint now) {
  Expire(now);
  for (const KeyRecord& record : records) {
    const bool matters = record.may_have_run && record.age < options_.retention;
    if (!matters || entries_.count(ToString(record.key)) > 0) continue;
    if (entries_.size() >= options_.max_entries) return false;
    Import(record, now);
  }
  return true;
}

void ExecutionLog::State::Import(const KeyRecord& record, TimePoint now) {
  const std::string id = ToString(record.key);
  Entry& entry = entries_[id];
  entry.key = record.key;
  entry.digest = record.digest;
  entry.phase = record.answer == nullptr ? Phase::kUnknown : Phase::kRan;
  entry.unknown_reason = UnknownReason::kExecutorGone;
  End(id, entry, record.answer, now - record.age);
}

ExecutionLog::ExecutionLog(HostIncarnation self, ExecutionLogOptions options)
    : state_(std::make_unique<State>(std::move(self), options)) {}
ExecutionLog::~ExecutionLog() = default;
ExecutionLog::ExecutionLog(ExecutionLog&&) noexcept = default;
ExecutionLog& ExecutionLog::operator=(ExecutionLog&&) noexcept = default;

Ticket ExecutionLog::IssueTicket(TimePoint now) {
  return state_->IssueTicket(now);
}

BeginResult ExecutionLog::Begin(const RequestKey& key, std::uint64_t digest,
                                TimePoint now) {
  return state_->Begin(key, digest, now);
}

void ExecutionLog::Finish(const RequestKey& key, const Outcome& outcome,
                          std::shared_ptr<const StoredAnswer> answer,
                          TimePoint now) {
  state_->Finish(key, outcome, std::move(answer), now);
}

void ExecutionLog::Expire(TimePoint now) { state_->Expire(now); }

std::vector<KeyRecord> ExecutionLog::ExportKeys(TimePoint now) const {
  return state_->ExportKeys(now);
}

bool ExecutionLog::ImportKeys(const std::vector<KeyRecord>& records,
                              TimePoint now) {
  return state_->ImportKeys(records, now);
}

std::size_t ExecutionLog::size() const { return state_->size(); }

std::size_t ExecutionLog::answer_bytes() const {
  return state_->answer_bytes();
}

}  // namespace heatherlatch
