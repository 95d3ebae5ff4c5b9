// Thread pool for the requests that peers forward to this host.
//
// The numbers of threads and of queued requests are limited. While the queue is
// full, a request gets the outcome `Unknown`, because its record was not
// checked and an earlier send may have run.
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_ENTRY_FORWARD_WORKERS_H_
#define HEATHERLATCH_ENTRY_FORWARD_WORKERS_H_

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "heatherlatch/entry/request_pipeline.h"
#include "heatherlatch/peer/transport.h"

namespace heatherlatch {

class ForwardWorkers {
 public:
  // The pointers must outlive the workers.
  // @param threads  number of threads
  ForwardWorkers(RequestPipeline* pipeline, PeerTransport* transport,
                 int threads);
  ~ForwardWorkers();
  ForwardWorkers(const ForwardWorkers&) = delete;
  ForwardWorkers& operator=(const ForwardWorkers&) = delete;

  void Start();
  // Serves the queued requests, then ends the threads; blocks until then.
  void Stop();

  // Queues a request. Its response, or the refusal if the queue is full, is
  // sent to `peer`.
  void Add(const HostIncarnation& peer, ForwardRequest request);

 private:
  struct Job {
    HostIncarnation peer;
    ForwardRequest request;
    TimePoint deadline;
  };

  void Run();
  void Serve(Job job);

  RequestPipeline* const pipeline_;
  PeerTransport* const transport_;
  const int thread_count_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_FORWARD_WORKERS_H_
