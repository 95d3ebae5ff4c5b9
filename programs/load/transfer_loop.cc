#include "programs/load/transfer_loop.h"

#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace heatherlatch::load {
namespace {

constexpr int kMaxEvents = 64;

int ActionOf(std::uint32_t events) {
  int action = 0;
  if ((events & EPOLLIN) != 0) action |= CURL_CSELECT_IN;
  if ((events & EPOLLOUT) != 0) action |= CURL_CSELECT_OUT;
  if ((events & (EPOLLERR | EPOLLHUP)) != 0) action |= CURL_CSELECT_ERR;
  return action;
}

std::uint32_t EventsOf(int what) {
  std::uint32_t events = 0;
  if ((what & CURL_POLL_IN) != 0) events |= EPOLLIN;
  if ((what & CURL_POLL_OUT) != 0) events |= EPOLLOUT;
  return events;
}

}  // namespace

TransferLoop::TransferLoop()
    : multi_(curl_multi_init()),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      timer_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimeout);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.fd = timer_;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, timer_, &event);
}

TransferLoop::~TransferLoop() {
  for (CURL* easy : idle_) curl_easy_cleanup(easy);
  curl_multi_cleanup(multi_);
  close(timer_);
  close(epoll_);
}

CURL* TransferLoop::TakeHandle() {
  if (idle_.empty()) return curl_easy_init();
  CURL* easy = idle_.back();
  idle_.pop_back();
  curl_easy_reset(easy);
  return easy;
}

void TransferLoop::Start(CURL* easy) {
  ++in_progress_;
  curl_multi_add_handle(multi_, easy);
  RunDueTimeout();
}

void TransferLoop::Wait(TimePoint until) {
  const TimePoint wake = std::min(until, timeout_at_.value_or(until));
  SetTimer(wake - SteadyClock::now());
  std::array<epoll_event, kMaxEvents> events = {};
  const int count = epoll_wait(epoll_, events.data(), kMaxEvents, -1);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events.at(static_cast<std::size_t>(i));
    if (event.data.fd == timer_) continue;
    int running = 0;
    curl_multi_socket_action(multi_, event.data.fd, ActionOf(event.events),
                             &running);
  }
  RunDueTimeout();
}

std::optional<EndedTransfer> TransferLoop::TakeEnded() {
  int left = 0;
  const CURLMsg* message = curl_multi_info_read(multi_, &left);
  if (message == nullptr) return std::nullopt;
  const EndedTransfer ended{message->easy_handle, message->data.result};
  curl_multi_remove_handle(multi_, ended.easy);
  --in_progress_;
  return ended;
}

void TransferLoop::ReturnHandle(CURL* easy) { idle_.push_back(easy); }

int TransferLoop::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what,
                           void* loop, void* /*socket_data*/) {
  const int epoll = static_cast<TransferLoop*>(loop)->epoll_;
  if (what == CURL_POLL_REMOVE) {
    epoll_ctl(epoll, EPOLL_CTL_DEL, socket, nullptr);
    return 0;
  }
  epoll_event event = {};
  event.events = EventsOf(what);
  event.data.fd = socket;
  if (epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event) != 0 && errno == EEXIST) {
    epoll_ctl(epoll, EPOLL_CTL_MOD, socket, &event);
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

void TransferLoop::SetTimer(Duration wait) const {
  const Duration positive = std::max(wait, Duration(1));
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(positive);
  const itimerspec timer = {
      {0, 0},
      {static_cast<time_t>(seconds.count()), (positive - seconds).count()}};
  timerfd_settime(timer_, 0, &timer, nullptr);
}

}  // namespace heatherlatch::load
