// Runs requests that must not run twice.
//
// The executor of a request is the host incarnation that may run it: the issuer
// of its ticket, or the owner of the caller's key in the key ring of the
// region. Any other host forwards the request to it and passes its answer on.
// While an answer is lost or the executor is gone the outcome is `Unknown`; no
// other host runs the request in its place.
//
// Thread safety: every method may be called from any thread; `Execute` blocks.
#ifndef HEATHERLATCH_ENTRY_EXECUTOR_H_
#define HEATHERLATCH_ENTRY_EXECUTOR_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherlatch/at_most_once/execution_log.h"
#include "heatherlatch/at_most_once/key_ring.h"
#include "heatherlatch/entry/dispatcher.h"
#include "heatherlatch/entry/group_directory.h"
#include "heatherlatch/entry/host_snapshot.h"
#include "heatherlatch/entry/pending_calls.h"
#include "heatherlatch/peer/transport.h"

namespace heatherlatch {

// A request that must not run twice.
struct ExecutionRequest {
  RequestKey key;
  DispatchRequest dispatch;  // `request_key` is filled in by the executor.
  std::string body;
  std::function<bool()> cancelled;  // Whether the caller has gone.
};

struct ExecutionResult {
  Outcome outcome = Unknown{UnknownReason::kAnswerLost};
  std::shared_ptr<const StoredAnswer> response;  // Where the outcome is `Ran`.
  bool replayed = false;
  Duration backend_time{};
  std::optional<Duration> retry_after;
};

class Executor {
 public:
  // The pointers outlive the executor.
  Executor(HostDescription self, const SnapshotCell* snapshots,
           GroupDirectory* directory, Dispatcher* dispatcher,
           PeerTransport* transport, EventLog* log, Metrics* metrics);

  // Runs the request here or at its executor.
  ExecutionResult Execute(ExecutionRequest request);

  // Runs a request that a peer has forwarded. Never forwards it further.
  ExecutionResult ExecuteForwarded(ExecutionRequest request);

  // Issues tickets of this incarnation.
  std::vector<Ticket> IssueTickets(int count);

  // Delivers the answer of a peer to a forwarded request.
  void OnForwardReply(const HostIncarnation& peer, ForwardReply reply);
  void OnLinkDown(const HostIncarnation& peer);

  // Starts the key ring, or starts it anew where the period has changed.
  // @param quiet_period  see `KeyRingOptions`
  void ConfigureKeys(Duration quiet_period, TimePoint now);

  // State of the key ring, driven by the control thread.
  void SetRing(const std::vector<HostIncarnation>& members, TimePoint now);
  // @param listed    hosts of the region in the platform's list
  // @param asked_at  when the list was asked for
  void NoteListed(const std::vector<HostIncarnation>& listed,
                  TimePoint asked_at);
  void OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                 TimePoint asked_at);
  std::uint64_t SupportedRing(TimePoint now) const;
  bool HasMajority(TimePoint now);
  void Expire(TimePoint now);

  // Ends the right to run requests under callers' keys; they are forwarded from
  // now on.
  // @return after the runs in progress have ended, or `deadline`
  void StopKeys(TimePoint deadline);

  // @return hosts that have to get the records of this host
  std::vector<HostIncarnation> HandOverDue() const;
  // @return the records of callers' keys, for the next owners
  std::vector<KeyRecord> ExportKeys(TimePoint now) const;
  void OnHandOverAcked(const HostIncarnation& peer);

  // Takes over records of another host.
  // @return whether the hand-over is complete and counts
  bool OnHandOver(const KeyHandOver& message, TimePoint now);

 private:
  // What `TryBegin` decided: to forward, to wait for proof, or what the log of
  // executions says.
  using Decision = std::variant<BeginResult, ForwardTo, NotProven>;

  // A result, and when to try again for a better one, if that may come.
  struct TryResult {
    ExecutionResult result;
    std::optional<Duration> retry_in;
  };

  // Asks for the right to run a request. Judging a key and beginning its run
  // happen under one lock, so a hand-over cannot come between.
  Decision TryBegin(const ExecutionRequest& request, ContentDigest digest);
  KeyVerdict CheckKeyOwner(const CallerKey& key,
                           const std::vector<RegionName>& homes);
  ExecutionResult ExecuteOrForward(ExecutionRequest request, bool may_forward);
  TryResult TryOnce(const ExecutionRequest& request, ContentDigest digest,
                    bool may_forward);
  ExecutionResult Run(const ExecutionRequest& request);
  ExecutionResult Forward(const HostIncarnation& executor,
                          const ExecutionRequest& request);
  ExecutionResult ResultOf(const BeginResult& begun) const;
  void LogUnknown(const ExecutionRequest& request,
                  const ExecutionResult& result) const;

  const HostDescription self_;
  const SnapshotCell* const snapshots_;
  GroupDirectory* const directory_;
  Dispatcher* const dispatcher_;
  PeerTransport* const transport_;
  EventLog* const log_;
  Metrics* const metrics_;
  PendingCalls<ForwardReply> calls_;
  mutable std::mutex mutex_;  // Guards everything below.
  ExecutionLog executions_;
  std::optional<KeyRing> ring_;  // None before the first configuration.
  Duration quiet_period_{};
  std::vector<HostIncarnation> ring_members_;
  std::vector<HostIncarnation> listed_;
  TimePoint listed_at_;
  std::set<HostIncarnation> failed_imports_;
  bool keys_stopped_ = false;
  int key_runs_in_progress_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_EXECUTOR_H_
