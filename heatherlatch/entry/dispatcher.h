// Runs one request on a backend server: slot, call, report, retry.
//
// A call is tried again only while the request provably did not run, or where
// its route is idempotent and no part of an answer has reached the caller.
// Every retry excludes the servers already tried and spends from the retry
// budget.
//
// Thread safety: may be used from any thread; `Dispatch` blocks.
#ifndef HEATHERLATCH_ENTRY_DISPATCHER_H_
#define HEATHERLATCH_ENTRY_DISPATCHER_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "heatherlatch/admission/crash_suspects.h"
#include "heatherlatch/admission/token_budget.h"
#include "heatherlatch/backend/backend_client.h"
#include "heatherlatch/base/outcome.h"
#include "heatherlatch/entry/slot_client.h"
#include "heatherlatch/entry/traffic_accounts.h"
#include "heatherlatch/telemetry/event_log.h"
#include "heatherlatch/telemetry/metrics.h"

namespace heatherlatch {

// A request that is ready to run, inside its home regions.
struct DispatchRequest {
  std::string request_id;
  std::string request_key;  // Empty for an idempotent request.
  std::string method;
  std::string target;
  HeaderList headers;
  std::string_view body;  // Must outlive the dispatch.
  RouteName route;
  const Service* service = nullptr;  // Kept alive by the caller's snapshot.
  std::vector<RegionName> homes;
  OrganisationName organisation;
  int weight = 1;
  bool idempotent = false;
  TimePoint deadline;
};

struct DispatchResult {
  Outcome outcome = NotRun{NotRunReason::kNoServer};
  int status = 0;           // Where the outcome is `Ran`.
  Duration backend_time{};  // Spent waiting for backend servers.
  int attempts = 0;
};

class Dispatcher {
 public:
  using ShareSuspect = std::function<void(
      const SuspectNotice& notice, const std::vector<RegionName>& homes)>;

  // The pointers outlive the dispatcher.
  // @param share_suspect  called when a request has become a suspect
  Dispatcher(const SnapshotCell* snapshots, SlotClient* slots,
             BackendClient* backend, TrafficAccounts* accounts, EventLog* log,
             Metrics* metrics, ShareSuspect share_suspect);

  // Runs a request.
  // @param sink  receives the answer of the attempt that answers, with headers
  //              that name its backend server and zone
  DispatchResult Dispatch(const DispatchRequest& request,
                          const AnswerSink& sink);

  // Takes over what a peer found out about a request that crashes servers.
  void OnSuspect(const SuspectNotice& notice);

  // Sets the share of retries that the published limits allow.
  void SetRetryShare(double share);

  void Expire(TimePoint now);

 private:
  struct Attempt {
    Outcome outcome = NotRun{NotRunReason::kNoServer};
    bool may_retry = false;
  };

  std::optional<NotRunReason> WaitForAdmission(const DispatchRequest& request,
                                               ContentDigest digest,
                                               const AnswerSink& sink,
                                               bool* isolated);
  Attempt RunAttempt(const DispatchRequest& request, ContentDigest digest,
                     const AnswerSink& sink, bool isolated,
                     std::vector<BackendServerName>* excluded,
                     DispatchResult* result);
  BackendResult CallServer(const DispatchRequest& request,
                           const AnswerSink& sink, const SlotLease& lease);
  // Whether the call may still be made: the lease holds, the zone is in service
  // by the newest configuration, and this process was not paused meanwhile.
  bool MayStillCall(const SlotLease& lease) const;
  void RecordRunEnd(const DispatchRequest& request, ContentDigest digest,
                    bool server_lost);
  void RecordEndWithoutResponse(const DispatchRequest& request,
                                ContentDigest digest);
  bool SpendRetry();
  void LogRefusal(const DispatchRequest& request, NotRunReason reason);

  const SnapshotCell* const snapshots_;
  SlotClient* const slots_;
  BackendClient* const backend_;
  TrafficAccounts* const accounts_;
  EventLog* const log_;
  Metrics* const metrics_;
  const ShareSuspect share_suspect_;
  std::mutex mutex_;  // Guards the two below.
  CrashSuspects suspects_;
  RetryBudget retries_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_DISPATCHER_H_
