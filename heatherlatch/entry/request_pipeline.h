// Serves a caller's request from its head to its whole answer.
//
// Thread safety: every method may be called from any thread; serving blocks.
#ifndef HEATHERLATCH_ENTRY_REQUEST_PIPELINE_H_
#define HEATHERLATCH_ENTRY_REQUEST_PIPELINE_H_

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <variant>

#include "heatherlatch/entry/answer_pipe.h"
#include "heatherlatch/entry/caller_request.h"
#include "heatherlatch/entry/executor.h"
#include "heatherlatch/entry/request_routing.h"

namespace heatherlatch {

// Counts a request as in progress while it lives.
class ProgressGuard {
 public:
  // @param count  the counter; outlives the guard
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
  // The pointers outlive the pipeline.
  // @param max_in_progress  requests that this host serves at a time
  RequestPipeline(HostDescription self, const SnapshotCell* snapshots,
                  Dispatcher* dispatcher, Executor* executor, EventLog* log,
                  Metrics* metrics, int max_in_progress);

  // What a request became: a stream to be run by `Stream`, or its answer.
  using StreamOrResponse = std::variant<RoutedRequest, CallerResponse>;

  // Routes a request. A request that is not a long download is served at once.
  StreamOrResponse Begin(const CallerRequest& request);

  // Refuses a request that never reached the pipeline.
  CallerResponse Refuse(const CallerRequest& request, NotRunReason reason,
                        const std::string& explanation);

  // Serves a long download into a pipe. Ends the pipe in every case.
  void Stream(const RoutedRequest& routed, const CallerRequest& request,
              AnswerPipe* pipe);

  // Serves a request that a peer forwarded to this host as its executor.
  ExecutionResult ServeForwarded(const ForwardRequest& message);

  // @return requests in progress, forwarded ones included
  int InProgress() const { return in_progress_.load(); }

 private:
  CallerResponse ServeBuffered(const RoutedRequest& routed,
                               const CallerRequest& request);
  CallerResponse ServeAtMostOnce(const RoutedRequest& routed,
                                 const CallerRequest& request);
  DispatchRequest DispatchOf(const RoutedRequest& routed,
                             const CallerRequest& request) const;
  CallerResponse RefusalResponse(const RoutingRefusal& refusal,
                                 const CallerRequest& request) const;
  // Builds the answer to a request that has no answer of a server.
  CallerResponse ErrorResponse(const Outcome& outcome,
                               const std::string& explanation) const;
  // Builds the refusal of a request whose key was not looked up: where it has a
  // key, an earlier send may have run, so the outcome is `Unknown`.
  CallerResponse RefuseUnchecked(NotRunReason reason,
                                 const std::string& explanation,
                                 const CallerRequest& request) const;
  // @param outcome  what the caller is told about the run
  // @param cause    gives the status and the reason of the answer
  CallerResponse BuildErrorResponse(const Outcome& outcome,
                                    const Outcome& cause,
                                    const std::string& explanation) const;
  void AddOutcomeHeaders(HeaderList* headers, const Outcome& outcome) const;
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

// @return the HTTP status that stands for an outcome other than `Ran`
int StatusOf(const Outcome& outcome);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_REQUEST_PIPELINE_H_
