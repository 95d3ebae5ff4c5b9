// Runs many libcurl transfers in one thread. Uses epoll, so that the cost of an
// event does not grow with the number of transfers in progress.
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

  // @return a handle without options, for `Start`; may reuse a returned one
  CURL* TakeHandle();

  // Starts a transfer.
  void Start(CURL* easy);

  // Blocks until a socket event, a libcurl timeout or `until`, and processes
  // what is due.
  void Wait(TimePoint until);

  // @return a transfer that has ended; the caller passes its handle to
  //     `ReturnHandle`
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
  // Wakes `Wait`; epoll_wait alone has a resolution of a millisecond.
  int timer_fd_;
  std::optional<TimePoint> timeout_at_;  // Due time of libcurl.
  std::vector<CURL*> idle_handles_;
  int in_progress_ = 0;
};

}  // namespace heatherlatch::load

#endif  // PROGRAMS_LOAD_TRANSFER_LOOP_H_
