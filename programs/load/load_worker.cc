#include "programs/load/load_worker.h"

#include <curl/curl.h>

#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "programs/load/arrivals.h"
#include "programs/load/transfer_loop.h"

namespace heatherlatch::load {
namespace {

constexpr int kTicketsPerRequest = 200;
constexpr std::size_t kTicketRefillThreshold = 100;
constexpr std::chrono::milliseconds kMaxIdleWait(100);

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

std::string ReplacePlaceholder(std::string text, const std::string& number) {
  const std::string placeholder = "{n}";
  const auto at = text.find(placeholder);
  if (at != std::string::npos) text.replace(at, placeholder.size(), number);
  return text;
}

// One request with its resends, or a request for tickets.
struct Transfer {
  ~Transfer() { curl_slist_free_all(headers); }

  const RequestKind* kind = nullptr;  // Null for a request for tickets.
  Duration due{};                     // From the start of the run.
  std::string path;
  std::string body;
  std::string identity;  // Key or ticket.
  int attempts = 0;
  std::size_t target = 0;
  curl_slist* headers = nullptr;
  // Of the current attempt:
  std::string outcome;
  std::string reason;
  bool not_run = false;
  bool replayed = false;
  std::string response;  // Tickets only; other bodies are dropped.
};

using TransferPointer = std::unique_ptr<Transfer>;

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  std::string_view line(data, size * count);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  const auto colon = line.find(": ");
  if (colon == std::string_view::npos) return size * count;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = line.substr(colon + 2);
  if (EqualIgnoringCase(name, "Heatherlatch-Outcome")) {
    transfer->outcome = value;
  } else if (EqualIgnoringCase(name, "Heatherlatch-Reason")) {
    transfer->reason = value;
  } else if (EqualIgnoringCase(name, "X-Not-Run")) {
    transfer->not_run = true;
  } else if (EqualIgnoringCase(name, "Heatherlatch-Replayed")) {
    transfer->replayed = true;
  }
  return size * count;
}

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* user_data) {
  auto* transfer = static_cast<Transfer*>(user_data);
  if (transfer->kind == nullptr) transfer->response.append(data, size * count);
  return size * count;
}

std::string FailureOutcome(CURLcode code) {
  switch (code) {
    case CURLE_COULDNT_CONNECT:
      return "failed-connect";
    case CURLE_OPERATION_TIMEDOUT:
      return "failed-timeout";
    case CURLE_PARTIAL_FILE:
      return "failed-cut";
    default:
      return "failed-lost";
  }
}

}  // namespace

class LoadWorker::Impl {
 public:
  Impl(const LoadProfile& profile, int worker_index, TimePoint start,
       SharedProgress* progress);

  void Run();
  LoadReport TakeReport() { return std::move(report_); }

 private:
  struct Resend {
    TimePoint at;
    TransferPointer transfer;
  };

  void StartDueRequests(TimePoint now);
  void StartDueResends(TimePoint now);
  void StartRequest(Duration due);
  void RequestTickets();
  void Send(TransferPointer transfer);
  void ConfigureHandle(CURL* easy, Transfer* transfer);
  curl_slist* BuildHeaders(const Transfer& transfer) const;
  void ProcessEnded();
  void OnEnd(CURL* easy, CURLcode code);
  void OnTicketsEnd(const Transfer& transfer);
  void OnRequestEnd(TransferPointer transfer, CURLcode code, int status);
  TimePoint NextWakeTime(TimePoint now) const;
  bool MayStart() const;
  bool HasWork() const;

  const LoadProfile& profile_;
  const int worker_index_;
  const TimePoint start_;
  SharedProgress* const progress_;
  Arrivals arrivals_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> kind_distribution_;
  std::optional<Duration> next_due_;
  std::uint64_t sequence_ = 0;
  std::size_t next_target_;
  TransferLoop loop_;
  bool tickets_requested_ = false;
  std::deque<std::string> tickets_;
  std::deque<TransferPointer> waiting_for_ticket_;
  std::deque<Resend> resends_;  // By time: all have the same delay.
  LoadReport report_;
};

LoadWorker::Impl::Impl(const LoadProfile& profile, int worker_index,
                       TimePoint start, SharedProgress* progress)
    : profile_(profile),
      worker_index_(worker_index),
      start_(start),
      progress_(progress),
      arrivals_(profile.steps, 1.0 / profile.threads,
                profile.seed * LoadBounds::kMaxThreads +
                    static_cast<std::uint64_t>(worker_index)),
      random_(profile.seed + static_cast<std::uint64_t>(worker_index)),
      next_due_(arrivals_.Next()),
      next_target_(static_cast<std::size_t>(worker_index)) {
  std::vector<double> weights;
  for (const RequestKind& kind : profile.kinds) weights.push_back(kind.weight);
  kind_distribution_ = {weights.begin(), weights.end()};
}

void LoadWorker::Impl::Run() {
  const bool needs_tickets = std::any_of(
      profile_.kinds.begin(), profile_.kinds.end(),
      [](const auto& kind) { return kind.identity == Identity::kTicket; });
  if (needs_tickets) RequestTickets();
  while (HasWork()) {
    const TimePoint now = SteadyClock::now();
    StartDueRequests(now);
    StartDueResends(now);
    ProcessEnded();  // A refused connection may end immediately.
    loop_.Wait(NextWakeTime(SteadyClock::now()));
    ProcessEnded();
  }
}

bool LoadWorker::Impl::HasWork() const {
  const bool more_due = next_due_ && !progress_->stopping;
  return more_due || loop_.in_progress() > 0 || !resends_.empty();
}

bool LoadWorker::Impl::MayStart() const {
  return progress_->started < profile_.max_requests && !progress_->stopping;
}

void LoadWorker::Impl::StartDueRequests(TimePoint now) {
  while (next_due_ && start_ + *next_due_ <= now) {
    if (MayStart()) {
      StartRequest(*next_due_);
    }
    next_due_ = arrivals_.Next();
  }
}

void LoadWorker::Impl::StartDueResends(TimePoint now) {
  while (!resends_.empty() && resends_.front().at <= now) {
    TransferPointer transfer = std::move(resends_.front().transfer);
    resends_.pop_front();
    report_.CountResend();
    Send(std::move(transfer));
  }
}

void LoadWorker::Impl::StartRequest(Duration due) {
  if (loop_.in_progress() >= profile_.max_in_progress / profile_.threads) {
    report_.CountNotSent();
    return;
  }
  ++progress_->started;
  auto transfer = std::make_unique<Transfer>();
  const std::string key = std::to_string(profile_.seed) + "-" +
                          std::to_string(worker_index_) + "-" +
                          std::to_string(++sequence_);
  transfer->kind = &profile_.kinds[kind_distribution_(random_)];
  transfer->due = due;
  transfer->path =
      ReplacePlaceholder(transfer->kind->path, std::to_string(sequence_));
  transfer->body.assign(transfer->kind->body_bytes, 'x');
  transfer->target = next_target_++;
  if (transfer->kind->identity == Identity::kKey) transfer->identity = key;
  if (transfer->kind->identity == Identity::kTicket) {
    if (tickets_.size() < kTicketRefillThreshold) RequestTickets();
    if (tickets_.empty()) {
      waiting_for_ticket_.push_back(std::move(transfer));
      return;
    }
    transfer->identity = std::move(tickets_.front());
    tickets_.pop_front();
  }
  Send(std::move(transfer));
}

void LoadWorker::Impl::RequestTickets() {
  if (tickets_requested_) return;
  tickets_requested_ = true;
  auto transfer = std::make_unique<Transfer>();
  transfer->path =
      "/heatherlatch/v1/tickets?count=" + std::to_string(kTicketsPerRequest);
  transfer->target = next_target_++;
  Send(std::move(transfer));
}

void LoadWorker::Impl::Send(TransferPointer transfer) {
  CURL* easy = loop_.TakeHandle();
  ++transfer->attempts;
  if (transfer->kind != nullptr && transfer->attempts == 1) {
    report_.AddLateness(SteadyClock::now() - start_ - transfer->due);
  }
  ConfigureHandle(easy, transfer.get());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.release());
  loop_.Start(easy);
}

void LoadWorker::Impl::ConfigureHandle(CURL* easy, Transfer* transfer) {
  const Endpoint& target =
      profile_.targets[transfer->target % profile_.targets.size()];
  const bool tickets = transfer->kind == nullptr;
  const std::string method = tickets ? "POST" : transfer->kind->method;
  const std::string url = "http://" + ToString(target) + transfer->path;
  const auto timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(profile_.timeout);
  transfer->outcome.clear();
  transfer->reason.clear();
  transfer->response.clear();
  transfer->not_run = false;
  transfer->replayed = false;
  if (transfer->headers == nullptr) transfer->headers = BuildHeaders(*transfer);
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                   static_cast<std::int64_t>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<std::int64_t>(timeout.count()));
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
  if (method == "POST" || method == "PUT" || !transfer->body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(transfer->body.size()));
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

curl_slist* LoadWorker::Impl::BuildHeaders(const Transfer& transfer) const {
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  if (transfer.kind == nullptr) {
    // An organisation is required; that of any kind of request is accepted.
    for (const auto& [name, value] : profile_.kinds.front().headers) {
      list = curl_slist_append(list, (name + ": " + value).c_str());
    }
    return list;
  }
  for (const auto& [name, value] : transfer.kind->headers) {
    list = curl_slist_append(list, (name + ": " + value).c_str());
  }
  const std::string& identity = transfer.identity;
  if (transfer.kind->identity == Identity::kKey) {
    list = curl_slist_append(list, ("Idempotency-Key: " + identity).c_str());
  } else if (transfer.kind->identity == Identity::kTicket) {
    list =
        curl_slist_append(list, ("Heatherlatch-Ticket: " + identity).c_str());
  }
  return list;
}

void LoadWorker::Impl::ProcessEnded() {
  while (const auto ended = loop_.TakeEnded()) OnEnd(ended->easy, ended->code);
}

void LoadWorker::Impl::OnEnd(CURL* easy, CURLcode code) {
  char* user_data = nullptr;
  long status = 0;  // NOLINT(google-runtime-int)
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user_data);
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  loop_.ReturnHandle(easy);
  TransferPointer transfer(reinterpret_cast<Transfer*>(user_data));
  if (transfer->kind == nullptr) {
    OnTicketsEnd(*transfer);
    return;
  }
  OnRequestEnd(std::move(transfer), code, static_cast<int>(status));
}

void LoadWorker::Impl::OnTicketsEnd(const Transfer& transfer) {
  tickets_requested_ = false;
  const auto json = nlohmann::json::parse(transfer.response, nullptr, false);
  if (json.is_object() && json.contains("tickets")) {
    for (const auto& ticket : json["tickets"]) {
      tickets_.push_back(ticket.get<std::string>());
    }
  }
  while (!waiting_for_ticket_.empty()) {
    TransferPointer waiting = std::move(waiting_for_ticket_.front());
    waiting_for_ticket_.pop_front();
    if (!tickets_.empty()) {
      waiting->identity = std::move(tickets_.front());
      tickets_.pop_front();
      Send(std::move(waiting));
      continue;
    }
    report_.Add({waiting->kind->name, "failed-no-ticket",
                 SteadyClock::now() - start_ - waiting->due, waiting->due,
                 false});
    ++progress_->ended;
  }
}

void LoadWorker::Impl::OnRequestEnd(TransferPointer transfer, CURLcode code,
                                    int status) {
  const TimePoint now = SteadyClock::now();
  const bool result_unknown =
      code != CURLE_OK || transfer->outcome == "unknown";
  if (result_unknown && transfer->attempts <= profile_.resends) {
    ++transfer->target;  // Another entry host.
    resends_.push_back({now + profile_.resend_wait, std::move(transfer)});
    return;
  }
  RequestResult result;
  result.kind = transfer->kind->name;
  result.latency = now - start_ - transfer->due;
  result.due = transfer->due;
  if (code != CURLE_OK) {
    result.outcome = FailureOutcome(code);
  } else if (!transfer->outcome.empty()) {
    result.outcome = transfer->outcome;
    if (!transfer->reason.empty()) result.outcome += " " + transfer->reason;
  } else {
    result.outcome = transfer->not_run ? "not-run" : "answered";
  }
  const bool ran = result.outcome == "ran" || result.outcome == "answered";
  if (ran && status >= 400) result.outcome += " " + std::to_string(status);
  result.good = ran && status < 400;
  if (transfer->replayed) report_.CountReplay();
  report_.Add(result);
  ++progress_->ended;
  if (result.good) ++progress_->good;
}

TimePoint LoadWorker::Impl::NextWakeTime(TimePoint now) const {
  TimePoint wake_time = now + kMaxIdleWait;
  if (next_due_) wake_time = std::min(wake_time, start_ + *next_due_);
  if (!resends_.empty()) wake_time = std::min(wake_time, resends_.front().at);
  return wake_time;
}

LoadWorker::LoadWorker(const LoadProfile& profile, int worker_index,
                       TimePoint start, SharedProgress* progress)
    : impl_(std::make_unique<Impl>(profile, worker_index, start, progress)) {}

LoadWorker::~LoadWorker() = default;

void LoadWorker::Run() { impl_->Run(); }

LoadReport LoadWorker::TakeReport() { return impl_->TakeReport(); }

}  // namespace heatherlatch::load
