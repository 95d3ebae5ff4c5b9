// Records which requests one host incarnation has begun to run.
//
// The log enforces at-most-once execution inside a host: `Begin` returns
// `StartRun` at most once for a key unless the run ended as not run. The log is
// bounded in entries, response bytes and time:
//   - A response is kept for `retention` and then dropped; a repeat then gets
//     `RecordExpired`.
//   - When the responses together exceed `max_response_bytes`, the earliest are
//     dropped first; a repeat then gets `RecordExpired` too.
//   - Tickets whose entry has expired, or that are older than
//     `ticket_lifetime`, are kept as ranges of sequence numbers, so they never
//     run again.
//   - The entry of a caller's key is dropped after `retention`, which therefore
//     must be longer than the resend window of the published limits.
//   - When the log is full, new requests are refused as not run; entries within
//     their retention are never dropped to make room.
//
// Example:
//   BeginResult begun = log.Begin(key, digest, now);
//   if (std::holds_alternative<StartRun>(begun)) {
//     Outcome outcome = Dispatch(...);
//     log.Finish(key, outcome, response, now);
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

// The complete response of a backend server, kept for repeats of the request.
struct StoredResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct StartRun {};  // The caller of `Begin` now runs the request.
struct Running {};   // Another thread runs it.
struct Replay {      // It ran; this is its response.
  std::shared_ptr<const StoredResponse> response;
};
struct EndedUnknown {  // It may have run; it will not run again.
  UnknownReason reason = UnknownReason::kResponseLost;
};
// No response is kept, or the ticket has expired; it will not run again.
struct RecordExpired {};
struct LogFull {};  // Not run.
// The key was used for a request with a different digest.
struct ContentMismatch {};
// The ticket is of another incarnation or was never issued.
struct NotIssuedHere {};

using BeginResult =
    std::variant<StartRun, Running, Replay, EndedUnknown, RecordExpired,
                 LogFull, ContentMismatch, NotIssuedHere>;

struct ExecutionLogOptions {
  std::size_t max_entries = 200000;
  std::size_t max_response_bytes =
      std::size_t{8} * 1024 * 1024;  // Of all kept responses together.
  Duration retention = std::chrono::seconds(60);
  Duration ticket_lifetime = std::chrono::minutes(10);
};

// A record that is handed over to the next owner of a key.
struct KeyRecord {
  CallerKey key;
  std::uint64_t digest = 0;
  bool may_have_run = true;
  Duration age{};
  std::shared_ptr<const StoredResponse> response;  // Null where not kept.
};

class ExecutionLog {
 public:
  // @param self     the incarnation whose tickets are accepted
  // @param options  bounds on entries, bytes and time
  ExecutionLog(HostIncarnation self, ExecutionLogOptions options);
  ~ExecutionLog();
  ExecutionLog(ExecutionLog&&) noexcept;
  ExecutionLog& operator=(ExecutionLog&&) noexcept;

  // Issues a ticket for one later request.
  Ticket IssueTicket(TimePoint now);

  // Requests the right to run a request.
  // @param digest  hash of method, path and body; a repeat must have the same
  // @return `StartRun` where the caller must now run the request and then call
  //     `Finish`; any other alternative where it must not run the request
  BeginResult Begin(const RequestKey& key, std::uint64_t digest, TimePoint now);

  // Records how a run ended. `NotRun` frees the key to run again. Called once
  // for each `StartRun`; a later call for the same run changes nothing unless
  // the key has been started again.
  // @param response  the complete response where the outcome is `Ran`, or null
  void Finish(const RequestKey& key, const Outcome& outcome,
              std::shared_ptr<const StoredResponse> response, TimePoint now);

  // Drops entries that are past their retention. A run that has not ended is
  // kept.
  void Expire(TimePoint now);

  // @return records of callers' keys, for the next owner
  std::vector<KeyRecord> ExportKeys(TimePoint now) const;

  // Imports the records of a former owner. A key that already has an entry
  // keeps that entry.
  // @return false where the log is too full for all records; the keys of the
  //     former owner then must not run here without a grace period
  bool ImportKeys(const std::vector<KeyRecord>& records, TimePoint now);

  std::size_t size() const;

  // @return bytes of all kept responses
  std::size_t response_bytes() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_EXECUTION_LOG_H_
