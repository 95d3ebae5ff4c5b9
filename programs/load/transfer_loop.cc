#include "programs/load/transfer_loop.h"

#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace heatherlatch::load {
namespace {

constexpr int kMaxEventsPerWait = 64;

int CurlEventMask(std::uint32_t events) {
  int mask = 0;
  if ((events & EPOLLIN) != 0) mask |= CURL_CSELECT_IN;
  if ((events & EPOLLOUT) != 0) mask |= CURL_CSELECT_OUT;
  if ((events & (EPOLLERR | EPOLLHUP)) != 0) mask |= CURL_CSELECT_ERR;
  return mask;
}

std::uint32_t EpollEventMask(int what) {
  std::uint32_t events = 0;
  if ((what & CURL_POLL_IN) != 0) events |= EPOLLIN;
  if ((what & CURL_POLL_OUT) != 0) events |= EPOLLOUT;
  return events;
}

}  // namespace

TransferLoop::TransferLoop()
    : multi_(curl_multi_init()),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      timer_fd_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimeout);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.fd = timer_fd_;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, timer_fd_, &event);
}

TransferLoop::~TransferLoop() {
  for (CURL* easy : idle_handles_) curl_easy_cleanup(easy);
  curl_multi_cleanup(multi_);
  close(timer_fd_);
  close(epoll_fd_);
}

CURL* TransferLoop::TakeHandle() {
  if (idle_handles_.empty()) return curl_easy_init();
  CURL* easy = idle_handles_.back();
  idle_handles_.pop_back();
  curl_easy_reset(easy);
  return easy;
}

void TransferLoop::Start(CURL* easy) {
  ++in_progress_;
  curl_multi_add_handle(multi_, easy);
  RunDueTimeout();
}

void TransferLoop::Wait(TimePoint until) {
  const TimePoint wake_time = std::min(until, timeout_at_.value_or(until));
  SetTimer(wake_time - SteadyClock::now());
  std::array<epoll_event, kMaxEventsPerWait> events = {};
  const int count = epoll_wait(epoll_fd_, events.data(), kMaxEventsPerWait, -1);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events.at(static_cast<std::size_t>(i));
    if (event.data.fd == timer_fd_) continue;
    int running = 0;
    curl_multi_socket_action(multi_, event.data.fd, CurlEventMask(event.events),
                             &running);
  }
  RunDueTimeout();
}

std::optional<EndedTransfer> TransferLoop::TakeEnded() {
  int remaining_messages = 0;
  const CURLMsg* message = curl_multi_info_read(multi_, &remaining_messages);
  if (message == nullptr) return std::nullopt;
  const EndedTransfer ended{message->easy_handle, message->data.result};
  curl_multi_remove_handle(multi_, ended.easy);
  --in_progress_;
  return ended;
}

void TransferLoop::ReturnHandle(CURL* easy) { idle_handles_.push_back(easy); }

int TransferLoop::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what,
                           void* loop, void* /*socket_data*/) {
  const int epoll_fd = static_cast<TransferLoop*>(loop)->epoll_fd_;
  if (what == CURL_POLL_REMOVE) {
    epoll_ctl(epoll_fd, EPOLL_CTL_DEL, socket, nullptr);
    return 0;
  }
  epoll_event event = {};
  event.events = EpollEventMask(what);
  event.data.fd = socket;
  if (epoll_ctl(epoll_fd, EPOLL_CTL_ADD, socket, &event) != 0 &&
      errno == EEXIST) {
    epoll_ctl(epoll_fd, EPOLL_CTL_MOD, socket, &event);
  }
  return 0;
}

// NOLINTNEXTLINE(google-runtime-int)
int TransferLoop::OnTimeout(CURLM* /*multi*/, long milliseconds, void* loop) {
  auto* self = static_cast<TransferLoop*>(loop);
  self->timeout_at_.reset();
  if (milliseconds >= 0) {
    self->timeout_at_ =
        SteadyClock::now() + std::chrono::milliseconds(milliseconds);
  }
  return 0;
}

void TransferLoop::RunDueTimeout() {
  if (!timeout_at_ || *timeout_at_ > SteadyClock::now()) return;
  timeout_at_.reset();
  int running = 0;
  curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
}

void TransferLoop::SetTimer(Duration delay) const {
  const Duration positive_delay = std::max(delay, Duration(1));
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(positive_delay);
  const itimerspec timer = {{0, 0},
                            {static_cast<time_t>(seconds.count()),
                             (positive_delay - seconds).count()}};
  timerfd_settime(timer_fd_, 0, &timer, nullptr);
}

}  // namespace heatherlatch::load
