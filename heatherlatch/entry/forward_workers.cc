#include "heatherlatch/entry/forward_workers.h"

namespace heatherlatch {
namespace {

// Forwarded requests that may be queued for a thread.
constexpr std::size_t kMaxQueuedRequests = 512;

}  // namespace

ForwardWorkers::ForwardWorkers(RequestPipeline* pipeline,
                               PeerTransport* transport, int threads)
    : pipeline_(pipeline), transport_(transport), thread_count_(threads) {}

ForwardWorkers::~ForwardWorkers() { Stop(); }

void ForwardWorkers::Start() {
  for (int i = 0; i < thread_count_; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

void ForwardWorkers::Stop() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void ForwardWorkers::Add(const HostIncarnation& peer, ForwardRequest request) {
  const TimePoint deadline = SteadyClock::now() + request.time_left;
  const CallId call = request.call;
  {
    std::lock_guard lock(mutex_);
    if (jobs_.size() < kMaxQueuedRequests && !stopping_) {
      jobs_.push_back(Job{peer, std::move(request), deadline});
      wake_.notify_one();
      return;
    }
  }
  // The record of the key was not checked, so an earlier send may have run.
  ForwardResponse response;
  response.call = call;
  response.outcome = Unknown{UnknownReason::kRefusedUnchecked};
  transport_->Send(peer, response);
}

void ForwardWorkers::Run() {
  while (true) {
    Job job;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    Serve(std::move(job));
  }
}

void ForwardWorkers::Serve(Job job) {
  job.request.time_left = job.deadline - SteadyClock::now();
  const ExecutionResult result = pipeline_->ServeForwarded(job.request);
  ForwardResponse response;
  response.call = job.request.call;
  response.outcome = result.outcome;
  response.response = result.response;
  transport_->Send(job.peer, response);
}

}  // namespace heatherlatch
