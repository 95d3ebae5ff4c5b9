// Remembers, in one host incarnation, which requests it has begun to run.
//
// The log is the judge of "at most once" inside a host: `Begin` answers
// `StartRun` at most once for a key unless the run ended as not run. Memory is
// bounded in entries, answer bytes and time:
//   - An answer is kept for `retention` and then dropped; a repeat is answered
//     `Forgotten`.
//   - Answers above `max_answer_bytes` are dropped, the earliest first; a
//   repeat
//     is then answered `Forgotten` too.
//   - Tickets whose entry is gone, or that are older than `ticket_lifetime`,
//     are kept as ranges of sequences, so they never run again.
//   - A caller's key is forgotten after `retention`, which is why the retention
//     must be longer than the resend window of the published limits.
//   - When the log is full, new requests are refused as not run; entries within
//     their retention are never dropped to make room.
//
// Example:
//   BeginResult begun = log.Begin(key, digest, now);
//   if (std::holds_alternative<StartRun>(begun)) {
//     Outcome outcome = Dispatch(...);
//     log.Finish(key, outcome, answer, now);
//   }
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_AT_MOST_ONCE_EXECUTION_LOG_H_
#define HEATHERLATCH_AT_MOST_ONCE_EXECUTION_LOG_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "heatherlatch/at_most_once/request_key.h"
#include "heatherlatch/base/outcome.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// The whole answer of a backend server, kept for a repeated request.
struct StoredAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct StartRun {};  // The caller of `Begin` now runs the request.
struct Running {};   // Another thread runs it.
struct Replay {      // It ran; this is its answer.
  std::shared_ptr<const StoredAnswer> answer;
};
struct EndedUnknown {  // It may have run; it will not run again.
  UnknownReason reason = UnknownReason::kAnswerLost;
};
struct Forgotten {};      // The record is gone; it will not run again.
struct LogFull {};        // Not run.
struct OtherContent {};   // The key was used for a request with other content.
struct NotIssuedHere {};  // A ticket of another incarnation or never issued.

using BeginResult =
    std::variant<StartRun, Running, Replay, EndedUnknown, Forgotten, LogFull,
                 OtherContent, NotIssuedHere>;

struct ExecutionLogOptions {
  std::size_t max_entries = 200000;
  std::size_t max_answer_bytes =
      std::size_t{8} * 1024 * 1024;  // Of all kept answers.
  Duration retention = std::chrono::seconds(60);
  Duration ticket_lifetime = std::chrono::minutes(10);
};

// One record handed to the next owner of a key on a planned stop.
struct KeyRecord {
  CallerKey key;
  std::uint64_t digest = 0;
  bool may_have_run = true;
  Duration age{};
  std::shared_ptr<const StoredAnswer> answer;  // Null where not kept.
};

class ExecutionLog {
 public:
  // @param self     the incarnation whose tickets are accepted
  // @param options  bounds of the memory
  ExecutionLog(HostIncarnation self, ExecutionLogOptions options);
  ~ExecutionLog();
  ExecutionLog(ExecutionLog&&) noexcept;
  ExecutionLog& operator=(ExecutionLog&&) noexcept;

  // Issues a ticket for one later request.
  Ticket IssueTicket(TimePoint now);

  // Asks for the right to run a request.
  // @param digest  hash of method, path and body; a repeat must match it
  BeginResult Begin(const RequestKey& key, std::uint64_t digest, TimePoint now);

  // Records how a run ended. `NotRun` frees the key to run again. Called once
  // for each `StartRun`; a later call for the same run changes nothing unless
  // the key has been started again.
  // @param answer  the whole answer where the outcome is `Ran`, or null
  void Finish(const RequestKey& key, const Outcome& outcome,
              std::shared_ptr<const StoredAnswer> answer, TimePoint now);

  // Drops what is past its retention. A run that has not ended is kept.
  void Expire(TimePoint now);

  // @return records of callers' keys, for the next owner
  std::vector<KeyRecord> ExportKeys(TimePoint now) const;

  // Takes over records of a former owner. A key that is known here is kept.
  // @return false where the log is too full to hold them all; the keys of the
  //     former owner then must not run here without a quiet period
  bool ImportKeys(const std::vector<KeyRecord>& records, TimePoint now);

  std::size_t size() const;

  // @return bytes of all kept answers
  std::size_t answer_bytes() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_EXECUTION_LOG_H_
