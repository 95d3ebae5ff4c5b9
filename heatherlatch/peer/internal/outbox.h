// Queue that passes frames from any thread to the I/O thread in batches.
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_PEER_INTERNAL_OUTBOX_H_
#define HEATHERLATCH_PEER_INTERNAL_OUTBOX_H_

#include <mutex>
#include <utility>
#include <vector>

#include "heatherlatch/peer/internal/link.h"

namespace heatherlatch::peer_internal {

struct OutgoingFrame {
  LinkPtr link;
  WebsocketMessagePtr frame;
};

class Outbox {
 public:
  // @return whether the I/O thread must be woken: the queue was empty before
  bool Push(OutgoingFrame frame) {
    const std::lock_guard<std::mutex> lock(mutex_);
    frames_.push_back(std::move(frame));
    return frames_.size() == 1;
  }

  // @return the frames pushed since the last call, in order
  std::vector<OutgoingFrame> TakeAll() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(frames_, {});
  }

 private:
  std::mutex mutex_;
  std::vector<OutgoingFrame> frames_;
};

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_OUTBOX_H_
