// Matches the answers of peers to the threads that wait for them.
//
// An answer is matched by its call ID and by the peer it was asked of, so a
// late or crossed answer never reaches another request. An answer to a call
// that nobody waits for any more is reported as unmatched.
//
// Example:
//   PendingCalls<ForwardReply> calls;
//   auto call = calls.Open(peer);
//   transport.Send(peer, ForwardRequest{call.id(), ...});
//   std::optional<ForwardReply> reply = call.Wait(deadline, cancelled);
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

// How a wait for a peer's answer ended.
enum class WaitEnd { kAnswered, kTimedOut, kCancelled, kPeerLost };

template <typename Reply>
class PendingCalls {
  struct Slot {
    HostIncarnation peer;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<Reply> reply;
    bool peer_lost = false;
  };

 public:
  // One call that is waited for. Closing it (its destructor) makes a later
  // answer unmatched.
  class Call {
   public:
    Call(PendingCalls* calls, std::uint64_t id, std::shared_ptr<Slot> slot)
        : calls_(calls), id_(id), slot_(std::move(slot)) {}
    ~Call() { calls_->Close(id_); }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    std::uint64_t id() const { return id_; }

    // Waits for the answer.
    // @param deadline   when to give up
    // @param cancelled  polled every `kPollInterval`; may be empty
    WaitEnd Wait(TimePoint deadline, const std::function<bool()>& cancelled) {
      std::unique_lock lock(slot_->mutex);
      while (!slot_->reply && !slot_->peer_lost) {
        const TimePoint now = SteadyClock::now();
        if (now >= deadline) return WaitEnd::kTimedOut;
        if (cancelled && cancelled()) return WaitEnd::kCancelled;
        const TimePoint wake = std::min(deadline, now + kPollInterval);
        slot_->changed.wait_until(lock, wake);
      }
      return slot_->reply ? WaitEnd::kAnswered : WaitEnd::kPeerLost;
    }

    // @return the answer; only after `Wait` returned `kAnswered`
    Reply Take() {
      std::lock_guard lock(slot_->mutex);
      return std::move(*slot_->reply);
    }

   private:
    PendingCalls* calls_;
    std::uint64_t id_;
    std::shared_ptr<Slot> slot_;
  };

  // Opens a call to a peer.
  std::unique_ptr<Call> Open(const HostIncarnation& peer) {
    auto slot = std::make_shared<Slot>();
    slot->peer = peer;
    const std::uint64_t id = next_id_.fetch_add(1);
    std::lock_guard lock(mutex_);
    slots_.emplace(id, slot);
    return std::make_unique<Call>(this, id, std::move(slot));
  }

  // Delivers an answer.
  // @return whether a call to this peer waited for it
  bool Deliver(const HostIncarnation& peer, std::uint64_t id, Reply reply) {
    const std::shared_ptr<Slot> slot = Find(id);
    if (!slot || slot->peer != peer) return false;
    std::lock_guard lock(slot->mutex);
    if (slot->reply) return false;
    slot->reply = std::move(reply);
    slot->changed.notify_all();
    return true;
  }

  // Ends the wait of every call to a peer whose link was lost.
  void LosePeer(const HostIncarnation& peer) {
    std::lock_guard lock(mutex_);
    for (auto& [id, slot] : slots_) {
      if (slot->peer != peer) continue;
      std::lock_guard slot_lock(slot->mutex);
      slot->peer_lost = true;
      slot->changed.notify_all();
    }
  }

  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return slots_.size();
  }

 private:
  // How often a waiting thread looks whether its caller has gone.
  static constexpr auto kPollInterval = std::chrono::milliseconds(20);

  std::shared_ptr<Slot> Find(std::uint64_t id) const {
    std::lock_guard lock(mutex_);
    const auto found = slots_.find(id);
    return found == slots_.end() ? nullptr : found->second;
  }

  void Close(std::uint64_t id) {
    std::lock_guard lock(mutex_);
    slots_.erase(id);
  }

  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Slot>> slots_;
  std::atomic<std::uint64_t> next_id_{1};
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_PENDING_CALLS_H_
