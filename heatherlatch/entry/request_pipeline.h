// Serves a caller's request: routes it, runs it on this host or through its
// executor, and builds the response.
//
// Example:
//   RequestPipeline::StreamOrResponse start = pipeline.Begin(request);
//   if (auto* routed = std::get_if<RoutedRequest>(&start)) {
//     // On a thread of its own, while this thread reads the pipe:
//     pipeline.Stream(*routed, request, &pipe);
//   }
//
// Thread safety: every method may be called from any thread. `Begin`, `Stream`
// and `ServeForwarded` block while they serve a request.
#ifndef HEATHERLATCH_ENTRY_REQUEST_PIPELINE_H_
#define HEATHERLATCH_ENTRY_REQUEST_PIPELINE_H_

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <variant>

#include "heatherlatch/entry/caller_request.h"
#include "heatherlatch/entry/executor.h"
#include "heatherlatch/entry/request_routing.h"
#include "heatherlatch/entry/response_pipe.h"

namespace heatherlatch {

// Counts a request as in progress for the lifetime of the guard.
class ProgressGuard {
 public:
  // @param count  the counter; must outlive the guard
  explicit ProgressGuard(std::atomic<int>* count) : count_(count) {
    count_->fetch_add(1);
  }
  ~ProgressGuard() { count_->fetch_sub(1); }
  ProgressGuard(const ProgressGuard&) = delete;
  ProgressGuard& operator=(const ProgressGuard&) = delete;

 private:
  std::atomic<int>* count_;
};

class RequestPipeline {
 public:
  // The pointers must outlive the pipeline.
  // @param max_in_progress  limit of the requests that are served at a time
  RequestPipeline(HostDescription self, const SnapshotCell* snapshots,
                  Dispatcher* dispatcher, Executor* executor, EventLog* log,
                  Metrics* metrics, int max_in_progress);

  // Result of `Begin`: a request to be streamed by `Stream`, or the response.
  using StreamOrResponse = std::variant<RoutedRequest, CallerResponse>;

  // Routes a request, and serves it unless its response is to be streamed: that
  // of an idempotent route to a service of class `heavy`.
  StreamOrResponse Begin(const CallerRequest& request);

  // Refuses a request that was rejected before `Begin`: counts and logs it and
  // builds the response.
  // @param explanation  sent to the caller
  CallerResponse Refuse(const CallerRequest& request, NotRunReason reason,
                        const std::string& explanation);

  // Streams the response of a request into a pipe. Always ends the pipe.
  void Stream(const RoutedRequest& routed, const CallerRequest& request,
              ResponsePipe* pipe);

  // Serves a request that a peer has forwarded to this host as its executor.
  ExecutionResult ServeForwarded(const ForwardRequest& message);

  // @return the number of requests in progress, including forwarded ones
  int InProgress() const { return in_progress_.load(); }

 private:
  // Serves a request whose response is collected in memory.
  CallerResponse ServeBuffered(const RoutedRequest& routed,
                               const CallerRequest& request);
  // Serves a request that must not run twice, through its executor.
  CallerResponse ServeAtMostOnce(const RoutedRequest& routed,
                                 const CallerRequest& request);
  DispatchRequest DispatchOf(const RoutedRequest& routed,
                             const CallerRequest& request) const;
  CallerResponse RefusalResponse(const RoutingRefusal& refusal,
                                 const CallerRequest& request) const;
  // Builds the response to a request that has no response of a backend server.
  CallerResponse ErrorResponse(const Outcome& outcome,
                               const std::string& explanation) const;
  // Builds the refusal of a request whose key was not looked up. If it has a
  // key or ticket, an earlier send may have run, so the outcome is `Unknown`.
  CallerResponse RefuseUnchecked(NotRunReason reason,
                                 const std::string& explanation,
                                 const CallerRequest& request) const;
  // @param outcome  sent to the caller as the outcome
  // @param cause    determines the status and the reason of the response
  CallerResponse BuildErrorResponse(const Outcome& outcome,
                                    const Outcome& cause,
                                    const std::string& explanation) const;
  // Adds the headers with the outcome and the name of this host.
  void AddOutcomeHeaders(HeaderList* headers, const Outcome& outcome) const;
  // Updates the metrics and writes the log events of a request that has ended.
  // @param backend_time  total time of the calls to backend servers
  void Record(const RoutedRequest& routed, const CallerRequest& request,
              const Outcome& outcome, Duration backend_time);
  std::string NewRequestId();

  const HostDescription self_;
  const SnapshotCell* const snapshots_;
  Dispatcher* const dispatcher_;
  Executor* const executor_;
  EventLog* const log_;
  Metrics* const metrics_;
  const int max_in_progress_;
  std::atomic<int> in_progress_{0};
  std::atomic<int> streams_in_progress_{0};
  std::atomic<std::uint64_t> next_request_{1};
};

// @return the HTTP status for an outcome; 200 for `Ran`
int StatusOf(const Outcome& outcome);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_REQUEST_PIPELINE_H_
