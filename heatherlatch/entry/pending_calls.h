// Matches the responses of peers to the threads that wait for them.
//
// A response is matched by its call ID and by the peer that the call was sent
// to, so a late or misdirected response never reaches another request. A
// response to a call that has been closed is reported as unmatched.
//
// Example:
//   PendingCalls<ForwardResponse> calls;
//   auto call = calls.Open(peer);
//   transport.Send(peer, ForwardRequest{call->id(), ...});
//   if (call->Wait(deadline, cancelled) == WaitEnd::kReceived) {
//     ForwardResponse response = call->Take();
//   }
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_ENTRY_PENDING_CALLS_H_
#define HEATHERLATCH_ENTRY_PENDING_CALLS_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// Result of a wait for a peer's response.
enum class WaitEnd { kReceived, kTimedOut, kCancelled, kLinkDown };

template <typename Response>
class PendingCalls {
  struct CallState {
    HostIncarnation peer;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<Response> response;
    bool link_down = false;
  };

 public:
  // An open call. Its destructor closes it; a later response is unmatched. Must
  // not outlive the `PendingCalls`.
  class Call {
   public:
    Call(PendingCalls* calls, std::uint64_t id,
         std::shared_ptr<CallState> state)
        : calls_(calls), id_(id), state_(std::move(state)) {}
    ~Call() { calls_->Close(id_); }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    std::uint64_t id() const { return id_; }

    // Blocks until the response has arrived, the deadline has passed, the wait
    // is cancelled, or the link to the peer is lost.
    // @param deadline   end of the wait
    // @param cancelled  polled every `kPollInterval`; may be empty
    WaitEnd Wait(TimePoint deadline, const std::function<bool()>& cancelled) {
      std::unique_lock lock(state_->mutex);
      while (!state_->response && !state_->link_down) {
        const TimePoint now = SteadyClock::now();
        if (now >= deadline) return WaitEnd::kTimedOut;
        if (cancelled && cancelled()) return WaitEnd::kCancelled;
        const TimePoint wake = std::min(deadline, now + kPollInterval);
        state_->changed.wait_until(lock, wake);
      }
      return state_->response ? WaitEnd::kReceived : WaitEnd::kLinkDown;
    }

    // @return the response; call only once, after `Wait` returned `kReceived`
    Response Take() {
      std::lock_guard lock(state_->mutex);
      return std::move(*state_->response);
    }

   private:
    PendingCalls* calls_;
    std::uint64_t id_;
    std::shared_ptr<CallState> state_;
  };

  // Opens a call to a peer.
  std::unique_ptr<Call> Open(const HostIncarnation& peer) {
    auto state = std::make_shared<CallState>();
    state->peer = peer;
    const std::uint64_t id = next_id_.fetch_add(1);
    std::lock_guard lock(mutex_);
    open_calls_.emplace(id, state);
    return std::make_unique<Call>(this, id, std::move(state));
  }

  // Delivers a response.
  // @return whether it matched an open call to this peer that had no response
  bool Deliver(const HostIncarnation& peer, std::uint64_t id,
               Response response) {
    const std::shared_ptr<CallState> state = Find(id);
    if (!state || state->peer != peer) return false;
    std::lock_guard lock(state->mutex);
    if (state->response) return false;
    state->response = std::move(response);
    state->changed.notify_all();
    return true;
  }

  // Ends the waits of all open calls to a peer whose link was lost.
  void FailCallsTo(const HostIncarnation& peer) {
    std::lock_guard lock(mutex_);
    for (auto& [id, state] : open_calls_) {
      if (state->peer != peer) continue;
      std::lock_guard state_lock(state->mutex);
      state->link_down = true;
      state->changed.notify_all();
    }
  }

  // @return the number of open calls
  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return open_calls_.size();
  }

 private:
  // Interval at which a waiting thread polls `cancelled`.
  static constexpr auto kPollInterval = std::chrono::milliseconds(20);

  std::shared_ptr<CallState> Find(std::uint64_t id) const {
    std::lock_guard lock(mutex_);
    const auto found = open_calls_.find(id);
    return found == open_calls_.end() ? nullptr : found->second;
  }

  void Close(std::uint64_t id) {
    std::lock_guard lock(mutex_);
    open_calls_.erase(id);
  }

  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallState>> open_calls_;
  std::atomic<std::uint64_t> next_id_{1};
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_PENDING_CALLS_H_
