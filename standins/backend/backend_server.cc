#include "standins/backend/backend_server.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <nlohmann/json.hpp>
#include <utility>

namespace heatherlatch::standins {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHoldPollInterval(50);
constexpr milliseconds kQueuePollInterval(5);
constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

bool Contains(std::string_view text, const std::string& marker) {
  return text.find(marker) != std::string_view::npos;
}

bool IsLate(const HttpRequest& request) {
  const std::string text = request.Header("X-Deadline-At");
  std::int64_t deadline = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), deadline);
  if (text.empty() || parsed.ec != std::errc()) return false;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return now > milliseconds(deadline);
}

void EchoRequestId(const HttpRequest& request, HttpAnswer* answer) {
  const std::string request_id = request.Header("X-Request-Id");
  if (request_id.empty()) return;
  answer->headers.emplace_back("X-Request-Id", request_id);
}

// Writes a body of 'x' at a rate, and can stop half way.
class PacedBody {
 public:
  PacedBody(std::shared_ptr<Connection> connection, std::uint64_t length,
            std::uint64_t bytes_per_second, bool half)
      : connection_(std::move(connection)),
        length_(length),
        stop_at_(half ? length / 2 : length),
        bytes_per_second_(bytes_per_second),
        start_(SteadyClock::now()) {}

  std::optional<std::size_t> Write(char* out, std::size_t room) {
    if (written_ >= stop_at_ && stop_at_ < length_) return std::nullopt;
    const std::size_t size = std::min<std::uint64_t>(room, stop_at_ - written_);
    if (!connection_->WaitOpen(TimeUntilDue(size))) return std::nullopt;
    std::memset(out, 'x', size);
    written_ += size;
    return size;
  }

  bool complete() const { return written_ == length_; }

 private:
  Duration TimeUntilDue(std::size_t size) const {
    if (bytes_per_second_ == 0) return Duration::zero();
    const double seconds = static_cast<double>(written_ + size) /
                           static_cast<double>(bytes_per_second_);
    const auto due = start_ + std::chrono::duration_cast<Duration>(
                                  std::chrono::duration<double>(seconds));
    return std::max(due - SteadyClock::now(), Duration::zero());
  }

  std::shared_ptr<Connection> connection_;
  std::uint64_t length_;
  std::uint64_t stop_at_;
  std::uint64_t bytes_per_second_;
  TimePoint start_;
  std::uint64_t written_ = 0;
};

}  // namespace

BackendServer::BackendServer(BackendServerOptions options, RunLog* log,
                             std::function<void(BackendServer*)> on_crashed)
    : options_(std::move(options)),
      log_(log),
      on_crashed_(std::move(on_crashed)),
      random_(options_.seed),
      server_({options_.listen, options_.max_connections},
              [this](const HttpRequest& request) { return Handle(request); }) {
  // Boot ids of different servers and processes differ.
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  counts_.boot_id = std::chrono::duration_cast<milliseconds>(now).count() * 100;
}

bool BackendServer::Start() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    crashed_ = false;
    ++counts_.boot_id;
    cold_until_ = SteadyClock::now() + options_.cold_time;
  }
  return server_.Start();
}

void BackendServer::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    crashed_ = true;
  }
  server_.Stop();
}

bool BackendServer::Restart() { return Start(); }

void BackendServer::SetFault(const BackendFault& fault) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fault_ = fault;
}

BackendFault BackendServer::Fault() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return fault_;
}

void BackendServer::TurnCold(Duration cold_time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  cold_until_ = SteadyClock::now() + cold_time;
}

void BackendServer::Crash(Duration down) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (crashed_) return;
    crashed_ = true;
    restart_at_ = SteadyClock::now() + down;
    ++counts_.crashes;
  }
  server_.CutConnections();
  on_crashed_(this);
}

TimePoint BackendServer::RestartAt() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return restart_at_;
}

BackendServerCounts BackendServer::Counts() const {
  const int connections = server_.OpenConnections();
  const std::lock_guard<std::mutex> lock(mutex_);
  BackendServerCounts counts = counts_;
  counts.connections = connections;
  return counts;
}

HttpAnswer BackendServer::Handle(const HttpRequest& request) {
  if (request.connection->TakeFirstUse()) {
    request.connection->WaitOpen(options_.connect_time);
  }
  if (Fault().black_hole && !HoldUntilAnswering(request)) {
    return {kStatusUnavailable, {}, "", nullptr};
  }
  if (request.path == "/health") return HandleHealth(request);
  const Admission admission = Admit(request);
  if (admission.crash) {
    Crash(options_.restart_time);
    return {kStatusUnavailable, {}, "", nullptr};
  }
  if (!admission.admitted) return Refuse(request, admission.refusal);
  return RunAdmitted(request, admission, Fault());
}

HttpAnswer BackendServer::HandleHealth(const HttpRequest& request) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.probes;
  }
  request.connection->WaitOpen(options_.health_time);
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint now = SteadyClock::now();
  if (now - health_.taken >= options_.health_lag) {
    health_ = {StateText(now), counts_.in_flight, now};
  }
  const HealthView view = fault_.lie ? HealthView{} : health_;
  const nlohmann::json json = {{"state", view.state},
                               {"boot_id", counts_.boot_id},
                               {"in_flight", view.in_flight}};
  return {
      kStatusOk, {{"Content-Type", "application/json"}}, json.dump(), nullptr};
}

BackendServer::Admission BackendServer::Admit(const HttpRequest& request) {
  std::unique_lock<std::mutex> lock(mutex_);
  Admission admission;
  ++counts_.requests;
  if (crashed_) {
    request.connection->Cut();
    return admission;
  }
  if (IsLate(request)) {
    ++counts_.refused_deadline;
    admission.refusal = "deadline";
    return admission;
  }
  if (fault_.draining) {
    ++counts_.refused_draining;
    admission.refusal = "draining";
    return admission;
  }
  const bool cold = SteadyClock::now() < cold_until_;
  if (cold && counts_.in_flight >= options_.cold_slots) {
    ++counts_.cold_overruns;
    admission.crash = true;
    return admission;
  }
  if (counts_.in_flight >= options_.slots) {
    ++counts_.overruns;
    const bool shed = options_.overload == OverloadPolicy::kShed;
    const bool queue = options_.overload == OverloadPolicy::kQueue;
    if (shed || (queue && !WaitForSlot(&lock, request))) {
      ++counts_.shed;
      admission.refusal = "shed";
      return admission;
    }
  }
  admission.admitted = true;
  admission.in_flight = ++counts_.in_flight;
  counts_.most_in_flight = std::max(counts_.most_in_flight, counts_.in_flight);
  admission.service_time =
      DrawServiceTime(admission.in_flight, SteadyClock::now());
  Run run;
  run.key = request.Header("Idempotency-Key");
  run.request_id = request.Header("X-Request-Id");
  run.server = options_.name;
  run.boot_id = counts_.boot_id;
  run.in_flight = admission.in_flight;
  admission.run = log_->Begin(std::move(run));
  return admission;
}

bool BackendServer::WaitForSlot(std::unique_lock<std::mutex>* lock,
                                const HttpRequest& request) {
  while (counts_.in_flight >= options_.slots) {
    slot_free_.wait_for(*lock, kQueuePollInterval);
    const bool open = request.connection->WaitOpen(Duration::zero());
    if (!open || crashed_ || IsLate(request)) return false;
  }
  return true;
}

Duration BackendServer::DrawServiceTime(int in_flight, TimePoint now) {
  // The mean over body and tail together is `service_mean`.
  const double tail_weight =
      1 - options_.tail_share + options_.tail_share * options_.tail_factor;
  std::uniform_real_distribution<double> body(0.5, 1.5);
  std::bernoulli_distribution is_tail(options_.tail_share);
  double factor = body(random_) / tail_weight * fault_.slow_factor;
  if (is_tail(random_)) factor *= options_.tail_factor;
  if (now < cold_until_) factor *= options_.cold_factor;
  if (in_flight > options_.slots) {
    factor *= static_cast<double>(in_flight) / options_.slots;
  }
  return Scale(options_.service_mean, factor);
}

HttpAnswer BackendServer::RunAdmitted(const HttpRequest& request,
                                      const Admission& admission,
                                      const BackendFault& fault) {
  const bool poisoned = !fault.crash_marker.empty() &&
                        (Contains(request.path, fault.crash_marker) ||
                         Contains(request.body, fault.crash_marker));
  if (poisoned) {
    EndRun(admission.run, RunEnd::kCrashed);
    Crash(options_.restart_time);
    return {kStatusUnavailable, {}, "", nullptr};
  }
  if (!request.connection->WaitOpen(admission.service_time)) {
    EndRun(admission.run, RunEnd::kCancelled);
    return {kStatusUnavailable, {}, "", nullptr};
  }
  return StreamAnswer(request, admission.run, fault);
}

HttpAnswer BackendServer::StreamAnswer(const HttpRequest& request, RunId run,
                                       const BackendFault& fault) {
  HttpAnswer answer;
  answer.headers.emplace_back("Content-Type", "application/octet-stream");
  EchoRequestId(request, &answer);
  const bool whole_at_once =
      options_.bytes_per_second == 0 && !fault.half_bodies;
  if (whole_at_once || options_.answer_bytes == 0) {
    answer.body.assign(options_.answer_bytes, 'x');
    EndRun(run, RunEnd::kCompleted);
    return WithSigns(std::move(answer));
  }
  const auto body =
      std::make_shared<PacedBody>(request.connection, options_.answer_bytes,
                                  options_.bytes_per_second, fault.half_bodies);
  answer.stream = std::make_shared<StreamedBody>();
  answer.stream->length = options_.answer_bytes;
  answer.stream->write = [body](char* out, std::size_t room) {
    return body->Write(out, room);
  };
  answer.stream->finished = [this, run, body] {
    EndRun(run, body->complete() ? RunEnd::kCompleted : RunEnd::kCancelled);
  };
  return WithSigns(std::move(answer));
}

void BackendServer::EndRun(RunId run, RunEnd end) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    --counts_.in_flight;
    if (end == RunEnd::kCancelled && crashed_) end = RunEnd::kCrashed;
    if (end == RunEnd::kCompleted) ++counts_.completed;
    if (end == RunEnd::kCancelled) ++counts_.cancelled;
  }
  slot_free_.notify_one();
  log_->End(run, end);
}

HttpAnswer BackendServer::Refuse(const HttpRequest& request,
                                 const std::string& sign) const {
  HttpAnswer answer{kStatusUnavailable, {}, "", nullptr};
  if (!sign.empty()) answer.headers.emplace_back("X-Not-Run", sign);
  EchoRequestId(request, &answer);
  return WithSigns(std::move(answer));
}

HttpAnswer BackendServer::WithSigns(HttpAnswer answer) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (fault_.no_signs) return answer;
  const int in_flight = fault_.lie ? 0 : counts_.in_flight;
  const std::string state =
      fault_.lie ? "ready" : StateText(SteadyClock::now());
  answer.headers.emplace_back("X-Boot-Id", std::to_string(counts_.boot_id));
  answer.headers.emplace_back("X-In-Flight", std::to_string(in_flight));
  answer.headers.emplace_back("X-Server-State", state);
  return answer;
}

std::string BackendServer::StateText(TimePoint now) const {
  if (fault_.draining) return "draining";
  return now < cold_until_ ? "cold" : "ready";
}

bool BackendServer::HoldUntilAnswering(const HttpRequest& request) const {
  while (Fault().black_hole) {
    if (!request.connection->WaitOpen(kHoldPollInterval)) return false;
  }
  return true;
}

}  // namespace heatherlatch::standins
