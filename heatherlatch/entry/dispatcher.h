// Runs one request on a backend server: acquires a slot, calls the server,
// reports the result of the call with the release of the slot, and retries.
//
// A call is retried only if the request is known not to have run, or if its
// route is idempotent and no part of a response has reached the caller. Every
// retry excludes the servers already tried and spends from the retry budget.
//
// Thread safety: every method may be called from any thread; `Dispatch` blocks.
#ifndef HEATHERLATCH_ENTRY_DISPATCHER_H_
#define HEATHERLATCH_ENTRY_DISPATCHER_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "heatherlatch/admission/crash_suspects.h"
#include "heatherlatch/admission/token_bucket.h"
#include "heatherlatch/backend/backend_client.h"
#include "heatherlatch/base/outcome.h"
#include "heatherlatch/entry/cross_region_budgets.h"
#include "heatherlatch/entry/slot_client.h"
#include "heatherlatch/telemetry/event_log.h"
#include "heatherlatch/telemetry/metrics.h"

namespace heatherlatch {

// A request that is ready to run, with the home regions that it may run in.
struct DispatchRequest {
  std::string request_id;
  std::string request_key;  // Empty for an idempotent request.
  std::string method;
  std::string target;
  HeaderList headers;
  std::string_view body;  // Must outlive the dispatch.
  RouteName route;
  const Service* service = nullptr;  // Kept alive by the caller's snapshot.
  std::vector<RegionName> home_regions;
  OrganisationName organisation;
  int weight = 1;
  bool idempotent = false;
  TimePoint deadline;
};

struct DispatchResult {
  Outcome outcome = NotRun{NotRunReason::kNoServer};
  int status = 0;           // HTTP status; set if the outcome is `Ran`.
  Duration backend_time{};  // Total time of all calls to backend servers.
  int attempts = 0;
};

class Dispatcher {
 public:
  using ShareSuspect =
      std::function<void(const SuspectNotice& notice,
                         const std::vector<RegionName>& home_regions)>;

  // The pointers must outlive the dispatcher.
  // @param share_suspect  called when the content of a request has become a
  //                       crash suspect, to notify the peers
  Dispatcher(const SnapshotCell* snapshots, SlotClient* slots,
             BackendClient* backend, CrossRegionBudgets* budgets, EventLog* log,
             Metrics* metrics, ShareSuspect share_suspect);

  // Runs a request, with up to four attempts.
  // @param sink  receives the response, with added headers that name the
  //              backend server and its zone
  // @return the outcome; `Unknown` if an earlier attempt may have run and a
  //         later one is known not to have run
  DispatchResult Dispatch(const DispatchRequest& request,
                          const ResponseSink& sink);

  // Records a crash suspect that a peer has reported.
  void OnSuspectNotice(const SuspectNotice& notice);

  // Sets the retry budget and starts it anew.
  // @param share  retries per successful request, from the published limits
  void SetRetryShare(double share);

  // Removes expired crash suspects.
  void Expire(TimePoint now);

 private:
  struct Attempt {
    Outcome outcome = NotRun{NotRunReason::kNoServer};
    bool may_retry = false;
  };

  // Blocks while another request with the same suspected content is running.
  // @param isolated  receives whether the request must run alone on its server
  // @return the reason if the request must not run; none if it may run
  std::optional<NotRunReason> WaitForAdmission(const DispatchRequest& request,
                                               ContentDigest digest,
                                               const ResponseSink& sink,
                                               bool* isolated);
  Attempt RunAttempt(const DispatchRequest& request, ContentDigest digest,
                     const ResponseSink& sink, bool isolated,
                     std::vector<BackendServerName>* excluded,
                     DispatchResult* result);
  BackendResult CallServer(const DispatchRequest& request,
                           const ResponseSink& sink, const SlotLease& lease);
  // @return whether the call may still be made: the lease has not expired, the
  //         newest configuration has the zone in service, and the snapshot is
  //         recent (an old one means that this process was paused)
  bool MayStillCall(const SlotLease& lease) const;
  // Records the end of a run that got a response or lost its server. Shares the
  // content with the peers if it has become a crash suspect.
  void RecordRunEnd(const DispatchRequest& request, ContentDigest digest,
                    bool server_lost);
  // Records the end of a run that shows nothing about the content.
  void RecordEndWithoutResponse(const DispatchRequest& request,
                                ContentDigest digest);
  // @return whether the retry budget had a retry left, which is now spent
  bool SpendRetry();
  void LogRefusal(const DispatchRequest& request, NotRunReason reason);

  const SnapshotCell* const snapshots_;
  SlotClient* const slots_;
  BackendClient* const backend_;
  CrossRegionBudgets* const budgets_;
  EventLog* const log_;
  Metrics* const metrics_;
  const ShareSuspect share_suspect_;
  std::mutex mutex_;  // Guards suspects_ and retries_.
  CrashSuspects suspects_;
  RetryBudget retries_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_DISPATCHER_H_
