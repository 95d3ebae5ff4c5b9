#include "heatherlatch/at_most_once/execution_log.h"

#include <deque>
#include <set>
#include <unordered_map>

#include "heatherlatch/at_most_once/internal/sequence_set.h"

namespace heatherlatch {
namespace {

// Tickets issued within one interval expire together.
constexpr Duration kTicketBatchInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxRetiredTicketRanges = 100000;

std::size_t SizeInBytes(const StoredResponse& response) {
  std::size_t bytes = sizeof(StoredResponse) + response.body.size();
  for (const auto& [name, value] : response.headers) {
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
        retired_tickets_(kMaxRetiredTicketRanges) {}

  Ticket IssueTicket(TimePoint now);
  BeginResult Begin(const RequestKey& key, std::uint64_t digest, TimePoint now);
  void Finish(const RequestKey& key, const Outcome& outcome,
              std::shared_ptr<const StoredResponse> response, TimePoint now);
  void Expire(TimePoint now);
  std::vector<KeyRecord> ExportKeys(TimePoint now) const;
  bool ImportKeys(const std::vector<KeyRecord>& records, TimePoint now);
  std::size_t size() const { return entries_.size(); }
  std::size_t response_bytes() const { return response_bytes_; }

 private:
  enum class Phase { kRunning, kRan, kUnknown };

  struct Entry {
    RequestKey key;
    std::uint64_t digest = 0;
    Phase phase = Phase::kRunning;
    UnknownReason unknown_reason = UnknownReason::kResponseLost;
    std::shared_ptr<const StoredResponse> response;
    TimePoint began;
    TimePoint ended;
  };
  // Keyed by the text of the request key, which is unique.
  using Entries = std::unordered_map<std::string, Entry>;

  struct TicketBatch {
    TimePoint issued;
    std::uint64_t last_sequence = 0;
  };

  // @return why a ticket without an entry must not run; nullopt if it may
  std::optional<BeginResult> TicketRefusal(const Ticket& ticket) const;
  static BeginResult ResultOfRepeat(const Entry& entry, std::uint64_t digest);
  void RecordEnd(const std::string& id, Entry& entry,
                 std::shared_ptr<const StoredResponse> response, TimePoint now);
  void KeepResponse(const std::string& id, Entry& entry,
                    std::shared_ptr<const StoredResponse> response);
  void DropResponse(const std::string& id, Entry& entry);
  void DropOldest();
  void EraseEntry(Entries::iterator it);
  void ExpireTickets(TimePoint now);
  void ImportRecord(const KeyRecord& record, TimePoint now);

  HostIncarnation self_;
  ExecutionLogOptions options_;
  Entries entries_;
  // Ended entries, the earliest end first.
  std::set<std::pair<TimePoint, std::string>> ended_;
  // The entries of `ended_` that hold a response.
  std::set<std::pair<TimePoint, std::string>> ended_with_response_;
  std::size_t response_bytes_ = 0;
  std::uint64_t last_issued_ = 0;
  std::deque<TicketBatch> ticket_batches_;
  // Sequence numbers of tickets that must not run again: their entry has
  // expired or they are older than the lifetime of a ticket.
  SequenceSet retired_tickets_;
};

Ticket ExecutionLog::State::IssueTicket(TimePoint now) {
  ExpireTickets(now);
  ++last_issued_;
  if (ticket_batches_.empty() ||
      now - ticket_batches_.back().issued > kTicketBatchInterval) {
    ticket_batches_.push_back({now, last_issued_});
  }
  ticket_batches_.back().last_sequence = last_issued_;
  return {self_, last_issued_};
}

BeginResult ExecutionLog::State::Begin(const RequestKey& key,
                                       std::uint64_t digest, TimePoint now) {
  Expire(now);
  std::string id = ToString(key);
  const auto found = entries_.find(id);
  if (found != entries_.end()) return ResultOfRepeat(found->second, digest);
  if (const auto* ticket = std::get_if<Ticket>(&key)) {
    if (auto refusal = TicketRefusal(*ticket)) return *refusal;
  }
  if (entries_.size() >= options_.max_entries) return LogFull{};
  Entry entry;
  entry.key = key;
  entry.digest = digest;
  entry.began = now;
  entries_.emplace(std::move(id), std::move(entry));
  return StartRun{};
}

std::optional<BeginResult> ExecutionLog::State::TicketRefusal(
    const Ticket& ticket) const {
  const bool issued_here = ticket.issuer == self_ && ticket.sequence > 0 &&
                           ticket.sequence <= last_issued_;
  if (!issued_here) return NotIssuedHere{};
  if (retired_tickets_.Contains(ticket.sequence)) return RecordExpired{};
  return std::nullopt;
}

BeginResult ExecutionLog::State::ResultOfRepeat(const Entry& entry,
                                                std::uint64_t digest) {
  if (entry.digest != digest) return ContentMismatch{};
  switch (entry.phase) {
    case Phase::kRunning:
      return Running{};
    case Phase::kUnknown:
      return EndedUnknown{entry.unknown_reason};
    case Phase::kRan:
      break;
  }
  if (entry.response == nullptr) return RecordExpired{};
  return Replay{entry.response};
}

void ExecutionLog::State::Finish(const RequestKey& key, const Outcome& outcome,
                                 std::shared_ptr<const StoredResponse> response,
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
  RecordEnd(id, entry, std::move(response), now);
}

void ExecutionLog::State::RecordEnd(
    const std::string& id, Entry& entry,
    std::shared_ptr<const StoredResponse> response, TimePoint now) {
  entry.ended = now;
  ended_.emplace(now, id);
  if (entry.phase == Phase::kRan) KeepResponse(id, entry, std::move(response));
}

void ExecutionLog::State::KeepResponse(
    const std::string& id, Entry& entry,
    std::shared_ptr<const StoredResponse> response) {
  if (response == nullptr) return;
  const std::size_t bytes = SizeInBytes(*response);
  if (bytes > options_.max_response_bytes) return;
  while (response_bytes_ + bytes > options_.max_response_bytes) DropOldest();
  response_bytes_ += bytes;
  entry.response = std::move(response);
  ended_with_response_.emplace(entry.ended, id);
}

void ExecutionLog::State::DropResponse(const std::string& id, Entry& entry) {
  if (entry.response == nullptr) return;
  response_bytes_ -= SizeInBytes(*entry.response);
  ended_with_response_.erase({entry.ended, id});
  entry.response = nullptr;
}

void ExecutionLog::State::DropOldest() {
  const std::string id = ended_with_response_.begin()->second;
  DropResponse(id, entries_.at(id));
}

void ExecutionLog::State::EraseEntry(Entries::iterator it) {
  if (const auto* ticket = std::get_if<Ticket>(&it->second.key)) {
    retired_tickets_.Insert(ticket->sequence);
  }
  DropResponse(it->first, it->second);
  entries_.erase(it);
}

void ExecutionLog::State::Expire(TimePoint now) {
  while (!ended_.empty() && now - ended_.begin()->first >= options_.retention) {
    EraseEntry(entries_.find(ended_.begin()->second));
    ended_.erase(ended_.begin());
  }
  ExpireTickets(now);
}

void ExecutionLog::State::ExpireTickets(TimePoint now) {
  while (!ticket_batches_.empty() &&
         now - ticket_batches_.front().issued >=
             options_.ticket_lifetime + kTicketBatchInterval) {
    retired_tickets_.InsertUpTo(ticket_batches_.front().last_sequence);
    ticket_batches_.pop_front();
  }
}

std::vector<KeyRecord> ExecutionLog::State::ExportKeys(TimePoint now) const {
  std::vector<KeyRecord> records;
  for (const auto& [id, entry] : entries_) {
    const auto* key = std::get_if<CallerKey>(&entry.key);
    if (key == nullptr) continue;
    const bool running = entry.phase == Phase::kRunning;
    const Duration age = running ? Duration::zero() : now - entry.ended;
    records.push_back({*key, entry.digest, true, age, entry.response});
  }
  return records;
}

bool ExecutionLog::State::ImportKeys(const std::vector<KeyRecord>& records,
                                     TimePoint now) {
  Expire(now);
  for (const KeyRecord& record : records) {
    const bool retained =
        record.may_have_run && record.age < options_.retention;
    if (!retained || entries_.count(ToString(record.key)) > 0) continue;
    if (entries_.size() >= options_.max_entries) return false;
    ImportRecord(record, now);
  }
  return true;
}

void ExecutionLog::State::ImportRecord(const KeyRecord& record, TimePoint now) {
  const std::string id = ToString(record.key);
  Entry& entry = entries_[id];
  entry.key = record.key;
  entry.digest = record.digest;
  entry.phase = record.response == nullptr ? Phase::kUnknown : Phase::kRan;
  entry.unknown_reason = UnknownReason::kExecutorGone;
  RecordEnd(id, entry, record.response, now - record.age);
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
                          std::shared_ptr<const StoredResponse> response,
                          TimePoint now) {
  state_->Finish(key, outcome, std::move(response), now);
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

std::size_t ExecutionLog::response_bytes() const {
  return state_->response_bytes();
}

}  // namespace heatherlatch
