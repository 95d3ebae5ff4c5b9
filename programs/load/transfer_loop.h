// Runs many libcurl transfers in one thread, with a cost for each event that
// does not grow with the number of transfers in progress (epoll).
//
// Thread safety: none.
#ifndef PROGRAMS_LOAD_TRANSFER_LOOP_H_
#define PROGRAMS_LOAD_TRANSFER_LOOP_H_

#include <curl/curl.h>

#include <optional>
#include <vector>

#include "heatherlatch/base/time.h"

namespace heatherlatch::load {

struct EndedTransfer {
  CURL* easy = nullptr;
  CURLcode code = CURLE_OK;
};

class TransferLoop {
 public:
  TransferLoop();
  ~TransferLoop();
  TransferLoop(const TransferLoop&) = delete;
  TransferLoop& operator=(const TransferLoop&) = delete;

  // @return a handle without options, to be given to `Start`
  CURL* TakeHandle();

  // Starts a transfer.
  void Start(CURL* easy);

  // Moves transfers on until `until`, or until something has happened.
  void Wait(TimePoint until);

  // @return a transfer that has ended; its handle goes back by `ReturnHandle`
  std::optional<EndedTransfer> TakeEnded();

  void ReturnHandle(CURL* easy);

  // @return the number of transfers that were started and not yet taken
  int in_progress() const { return in_progress_; }

 private:
  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* loop,
                      void* socket_data);
  // NOLINTNEXTLINE(google-runtime-int)
  static int OnTimeout(CURLM* multi, long milliseconds, void* loop);

  void RunDueTimeout();
  void SetTimer(Duration delay) const;

  CURLM* multi_;
  int epoll_fd_;
  int timer_fd_;  // Wakes `Wait` with more than the millisecond of epoll_wait.
  std::optional<TimePoint> timeout_at_;  // When libcurl wants to be called.
  std::vector<CURL*> idle_handles_;
  int in_progress_ = 0;
};

}  // namespace heatherlatch::load

#endif  // PROGRAMS_LOAD_TRANSFER_LOOP_H_
