// Threads that run the requests which peers forward to this host.
//
// The number of threads and of waiting requests is bounded; above it a request
// is answered as unknown, because its record was not looked at.
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
  // The pointers outlive the workers.
  ForwardWorkers(RequestPipeline* pipeline, PeerTransport* transport,
                 int threads);
  ~ForwardWorkers();
  ForwardWorkers(const ForwardWorkers&) = delete;
  ForwardWorkers& operator=(const ForwardWorkers&) = delete;

  void Start();
  // Ends the threads after what waits has been served.
  void Stop();

  // Queues a request; its reply goes to `peer`.
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
