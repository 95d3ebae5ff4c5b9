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

bool Contains(std::string_view text, const std::string& part) {
  return text.find(part) != std::string_view::npos;
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

void EchoRequestId(const HttpRequest& request, HttpResponse* response) {
  const std::string request_id = request.Header("X-Request-Id");
  if (request_id.empty()) return;
  response->headers.emplace_back("X-Request-Id", request_id);
}

// Writes a body of 'x' characters at a limited rate; with `truncated`, fails
// after half of the declared length.
class PacedBody {
 public:
  PacedBody(std::shared_ptr<Connection> connection, std::uint64_t length,
            std::uint64_t bytes_per_second, bool truncated)
      : connection_(std::move(connection)),
        length_(length),
        stop_at_(truncated ? length / 2 : length),
        bytes_per_second_(bytes_per_second),
        start_(SteadyClock::now()) {}

  std::optional<std::size_t> Write(char* out, std::size_t capacity) {
    if (written_ >= stop_at_ && stop_at_ < length_) return std::nullopt;
    const std::size_t size =
        std::min<std::uint64_t>(capacity, stop_at_ - written_);
    if (!connection_->WaitWhileOpen(TimeUntilDue(size))) return std::nullopt;
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
  // The wall clock in ms keeps the boot ids of successive processes apart. The
  // factor leaves room for restarts, each of which adds one.
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
  server_.CloseConnections();
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

HttpResponse BackendServer::Handle(const HttpRequest& request) {
  if (request.connection->TakeFirstUse()) {
    request.connection->WaitWhileOpen(options_.connect_time);
  }
  if (Fault().black_hole && !HoldWhileBlackHole(request)) {
    return {kStatusUnavailable, {}, "", nullptr};
  }
  if (request.path == "/health") return HandleHealth(request);
  const Admission admission = Admit(request);
  if (admission.crash) {
    Crash(options_.restart_time);
    return {kStatusUnavailable, {}, "", nullptr};
  }
  if (!admission.admitted) return Refuse(request, admission.not_run_reason);
  return RunAdmitted(request, admission, Fault());
}

HttpResponse BackendServer::HandleHealth(const HttpRequest& request) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.probes;
  }
  request.connection->WaitWhileOpen(options_.health_time);
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint now = SteadyClock::now();
  if (now - health_.sampled_at >= options_.health_lag) {
    health_ = {StateText(now), counts_.in_flight, now};
  }
  const HealthStatus status = fault_.report_idle ? HealthStatus{} : health_;
  const nlohmann::json json = {{"state", status.state},
                               {"boot_id", counts_.boot_id},
                               {"in_flight", status.in_flight}};
  return {
      kStatusOk, {{"Content-Type", "application/json"}}, json.dump(), nullptr};
}

BackendServer::Admission BackendServer::Admit(const HttpRequest& request) {
  std::unique_lock<std::mutex> lock(mutex_);
  Admission admission;
  ++counts_.requests;
  if (crashed_) {
    request.connection->Close();
    return admission;
  }
  if (IsLate(request)) {
    ++counts_.refused_deadline;
    admission.not_run_reason = "deadline";
    return admission;
  }
  if (fault_.draining) {
    ++counts_.refused_draining;
    admission.not_run_reason = "draining";
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
      admission.not_run_reason = "shed";
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
    const bool open = request.connection->WaitWhileOpen(Duration::zero());
    if (!open || crashed_ || IsLate(request)) return false;
  }
  return true;
}

Duration BackendServer::DrawServiceTime(int in_flight, TimePoint now) {
  // Divides by `tail_weight`, so that the mean over body and tail is
  // `service_mean`.
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

HttpResponse BackendServer::RunAdmitted(const HttpRequest& request,
                                        const Admission& admission,
                                        const BackendFault& fault) {
  const bool has_crash_marker = !fault.crash_marker.empty() &&
                                (Contains(request.path, fault.crash_marker) ||
                                 Contains(request.body, fault.crash_marker));
  if (has_crash_marker) {
    EndRun(admission.run, RunEnd::kCrashed);
    Crash(options_.restart_time);
    return {kStatusUnavailable, {}, "", nullptr};
  }
  if (!request.connection->WaitWhileOpen(admission.service_time)) {
    EndRun(admission.run, RunEnd::kCancelled);
    return {kStatusUnavailable, {}, "", nullptr};
  }
  return StreamResponse(request, admission.run, fault);
}

HttpResponse BackendServer::StreamResponse(const HttpRequest& request,
                                           RunId run,
                                           const BackendFault& fault) {
  HttpResponse response;
  response.headers.emplace_back("Content-Type", "application/octet-stream");
  EchoRequestId(request, &response);
  const bool complete_at_once =
      options_.bytes_per_second == 0 && !fault.truncate_bodies;
  if (complete_at_once || options_.response_bytes == 0) {
    response.body.assign(options_.response_bytes, 'x');
    EndRun(run, RunEnd::kCompleted);
    return WithStatusHeaders(std::move(response));
  }
  const auto body = std::make_shared<PacedBody>(
      request.connection, options_.response_bytes, options_.bytes_per_second,
      fault.truncate_bodies);
  response.stream = std::make_shared<StreamedBody>();
  response.stream->length = options_.response_bytes;
  response.stream->write = [body](char* out, std::size_t capacity) {
    return body->Write(out, capacity);
  };
  response.stream->finished = [this, run, body] {
    EndRun(run, body->complete() ? RunEnd::kCompleted : RunEnd::kCancelled);
  };
  return WithStatusHeaders(std::move(response));
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

HttpResponse BackendServer::Refuse(const HttpRequest& request,
                                   const std::string& reason) const {
  HttpResponse response{kStatusUnavailable, {}, "", nullptr};
  if (!reason.empty()) response.headers.emplace_back("X-Not-Run", reason);
  EchoRequestId(request, &response);
  return WithStatusHeaders(std::move(response));
}

HttpResponse BackendServer::WithStatusHeaders(HttpResponse response) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (fault_.omit_status_headers) return response;
  const int in_flight = fault_.report_idle ? 0 : counts_.in_flight;
  const std::string state =
      fault_.report_idle ? "ready" : StateText(SteadyClock::now());
  response.headers.emplace_back("X-Boot-Id", std::to_string(counts_.boot_id));
  response.headers.emplace_back("X-In-Flight", std::to_string(in_flight));
  response.headers.emplace_back("X-Server-State", state);
  return response;
}

std::string BackendServer::StateText(TimePoint now) const {
  if (fault_.draining) return "draining";
  return now < cold_until_ ? "cold" : "ready";
}

bool BackendServer::HoldWhileBlackHole(const HttpRequest& request) const {
  while (Fault().black_hole) {
    if (!request.connection->WaitWhileOpen(kHoldPollInterval)) return false;
  }
  return true;
}

}  // namespace heatherlatch::standins
