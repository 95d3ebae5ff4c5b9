// Runs requests that must not run twice.
//
// The executor of a request is the only host incarnation that may run it: the
// issuer of its ticket, or the owner of the caller's key in the key ring of the
// region. Any other host forwards the request to the executor and returns its
// response. If the response is lost or the executor is unavailable, the outcome
// is `Unknown`; no other host runs the request instead.
//
// Example:
//   ExecutionRequest request;
//   request.key = ticket;
//   request.dispatch = ...;
//   request.body = body;
//   const ExecutionResult result = executor.Execute(std::move(request));
//
// Thread safety: every method may be called from any thread. `Execute`,
// `ExecuteForwarded` and `StopKeyedRuns` block.
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
  std::function<bool()> cancelled;  // True once the caller disconnects.
};

struct ExecutionResult {
  Outcome outcome = Unknown{UnknownReason::kResponseLost};
  std::shared_ptr<const StoredResponse> response;  // Set for outcome `Ran`.
  bool replayed = false;  // The response is that of an earlier run.
  Duration backend_time{};
  std::optional<Duration> retry_after;  // When the caller may retry.
};

class Executor {
 public:
  // The pointers must outlive the executor.
  Executor(HostDescription self, const SnapshotCell* snapshots,
           GroupDirectory* directory, Dispatcher* dispatcher,
           PeerTransport* transport, EventLog* log, Metrics* metrics);

  // Runs the request on this host if it is the executor, else forwards it.
  // Retries within the deadline while the right to run a key is not proven or
  // another run of the same request is in progress.
  ExecutionResult Execute(ExecutionRequest request);

  // Runs a request that a peer has forwarded. Never forwards it further.
  ExecutionResult ExecuteForwarded(ExecutionRequest request);

  // Issues tickets; requests under them run on this incarnation only.
  std::vector<Ticket> IssueTickets(int count);

  // Delivers a peer's response to a forwarded request.
  void OnForwardResponse(const HostIncarnation& peer, ForwardResponse reply);
  // Ends the wait of every request that was forwarded to the peer.
  void OnLinkDown(const HostIncarnation& peer);

  // Starts the key ring, or restarts it if the grace period has changed.
  // @param grace_period  see `KeyRingOptions`
  void ConfigureKeyRing(Duration grace_period, TimePoint now);

  // Inputs and state of the key ring; called by the control thread. See
  // `KeyRing` for the methods of the same name.
  void SetRingMembers(const std::vector<HostIncarnation>& members,
                      TimePoint now);
  // @param listed        hosts of the region in the platform's list
  // @param requested_at  when the list was requested
  void OnHostList(const std::vector<HostIncarnation>& listed,
                  TimePoint requested_at);
  void OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                 TimePoint requested_at);
  std::uint64_t SupportedRing(TimePoint now) const;
  bool HasMajority(TimePoint now);
  // Removes expired records of executions.
  void Expire(TimePoint now);

  // Stops running requests under callers' keys; they are forwarded from now on.
  // Blocks until the runs in progress have ended, at most until `deadline`.
  void StopKeyedRuns(TimePoint deadline);

  // @return the hosts that this host still has to send its records to
  std::vector<HostIncarnation> PendingHandovers() const;
  // @return the records of callers' keys, for their new owners
  std::vector<KeyRecord> ExportKeys(TimePoint now) const;
  void OnHandoverAcked(const HostIncarnation& peer);

  // Imports records that another host has sent.
  // @return whether this was the last message of a handover whose records were
  //         all imported, and the key ring accepted it
  bool OnHandover(const KeyHandover& message, TimePoint now);

 private:
  // Result of `TryBegin`: the entry of the execution log, the executor to
  // forward the request to, or that the ownership of the key is not proven.
  using Decision = std::variant<BeginResult, ForwardTo, NotProven>;

  // A result, and the delay before the next try if the result may change.
  struct Attempt {
    ExecutionResult result;
    std::optional<Duration> retry_in;
  };

  // Decides whether this host may run a request, and begins its run if so. The
  // ownership of a key is checked and its run begun under one lock, so that no
  // handover can happen in between.
  Decision TryBegin(const ExecutionRequest& request, ContentDigest digest);
  KeyOwnership CheckKeyOwner(const CallerKey& key,
                             const std::vector<RegionName>& home_regions);
  ExecutionResult ExecuteOrForward(ExecutionRequest request, bool may_forward);
  Attempt TryOnce(const ExecutionRequest& request, ContentDigest digest,
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
  PendingCalls<ForwardResponse> calls_;
  mutable std::mutex mutex_;  // Guards everything below.
  ExecutionLog executions_;
  std::optional<KeyRing> ring_;  // None before `ConfigureKeyRing`.
  Duration grace_period_{};
  std::vector<HostIncarnation> ring_members_;
  std::vector<HostIncarnation> listed_;
  TimePoint listed_at_;
  std::set<HostIncarnation> failed_imports_;
  bool keys_stopped_ = false;
  int key_runs_in_progress_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_EXECUTOR_H_
