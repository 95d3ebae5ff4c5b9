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

constexpr int kTicketsForEachCall = 200;
constexpr std::size_t kTicketsLeftBeforeCall = 100;
constexpr std::chrono::milliseconds kIdleWait(100);

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

std::string Replaced(std::string text, const std::string& number) {
  const std::string placeholder = "{n}";
  const auto at = text.find(placeholder);
  if (at != std::string::npos) text.replace(at, placeholder.size(), number);
  return text;
}

// One request with its resends, or a call for tickets.
struct Transfer {
  ~Transfer() { curl_slist_free_all(headers); }

  const RequestKind* kind = nullptr;  // Null for a call for tickets.
  Duration due{};                     // From the start of the run.
  std::string path;
  std::string body;
  std::string identity;  // Key or ticket.
  int attempts = 0;
  std::size_t target = 0;
  curl_slist* headers = nullptr;
  // Of the present attempt:
  std::string outcome;
  std::string reason;
  bool not_run = false;
  bool replayed = false;
  std::string received;  // Tickets only; other bodies are dropped.
};

using TransferPointer = std::unique_ptr<Transfer>;

std::size_t TakeHeader(char* data, std::size_t size, std::size_t count,
                       void* user) {
  auto* transfer = static_cast<Transfer*>(user);
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

std::size_t TakeBody(char* data, std::size_t size, std::size_t count,
                     void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  if (transfer->kind == nullptr) transfer->received.append(data, size * count);
  return size * count;
}

std::string FailureText(CURLcode code) {
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
  Impl(const LoadProfile& profile, int number, TimePoint start,
       SharedProgress* progress);

  void Run();
  LoadReport TakeReport() { return std::move(report_); }

 private:
  struct Resend {
    TimePoint at;
    TransferPointer transfer;
  };

  void StartDue(TimePoint now);
  void StartResends(TimePoint now);
  void StartRequest(Duration due);
  void AskForTickets();
  void Send(TransferPointer transfer);
  void SetRequest(CURL* easy, Transfer* transfer);
  curl_slist* HeadersOf(const Transfer& transfer) const;
  void TakeEnded();
  void End(CURL* easy, CURLcode code);
  void EndTickets(const Transfer& transfer);
  void EndRequest(TransferPointer transfer, CURLcode code, int status);
  TimePoint NextWake(TimePoint now) const;
  bool MayStart() const;
  bool Working() const;

  const LoadProfile& profile_;
  const int number_;
  const TimePoint start_;
  SharedProgress* const progress_;
  Arrivals arrivals_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> kind_choice_;
  std::optional<Duration> next_due_;
  std::uint64_t sequence_ = 0;
  std::size_t next_target_;
  TransferLoop loop_;
  bool tickets_asked_ = false;
  std::deque<std::string> tickets_;
  std::deque<TransferPointer> without_ticket_;
  std::deque<Resend> resends_;  // By time: the wait is the same for all.
  LoadReport report_;
};

LoadWorker::Impl::Impl(const LoadProfile& profile, int number, TimePoint start,
                       SharedProgress* progress)
    : profile_(profile),
      number_(number),
      start_(start),
      progress_(progress),
      arrivals_(profile.steps, 1.0 / profile.threads,
                profile.seed * LoadBounds::kMaxThreads +
                    static_cast<std::uint64_t>(number)),
      random_(profile.seed + static_cast<std::uint64_t>(number)),
      next_due_(arrivals_.Next()),
      next_target_(static_cast<std::size_t>(number)) {
  std::vector<double> weights;
  for (const RequestKind& kind : profile.kinds) weights.push_back(kind.weight);
  kind_choice_ = {weights.begin(), weights.end()};
}

void LoadWorker::Impl::Run() {
  const bool wants_tickets = std::any_of(
      profile_.kinds.begin(), profile_.kinds.end(),
      [](const auto& kind) { return kind.identity == Identity::kTicket; });
  if (wants_tickets) AskForTickets();
  while (Working()) {
    const TimePoint now = SteadyClock::now();
    StartDue(now);
    StartResends(now);
    TakeEnded();  // A connection that is refused may end at once.
    loop_.Wait(NextWake(SteadyClock::now()));
    TakeEnded();
  }
}

bool LoadWorker::Impl::Working() const {
  const bool more_due = next_due_ && !progress_->stopping;
  return more_due || loop_.in_progress() > 0 || !resends_.empty();
}

bool LoadWorker::Impl::MayStart() const {
  return progress_->started < profile_.max_requests && !progress_->stopping;
}

void LoadWorker::Impl::StartDue(TimePoint now) {
  while (next_due_ && start_ + *next_due_ <= now) {
    if (MayStart()) {
      StartRequest(*next_due_);
    }
    next_due_ = arrivals_.Next();
  }
}

void LoadWorker::Impl::StartResends(TimePoint now) {
  while (!resends_.empty() && resends_.front().at <= now) {
    TransferPointer transfer = std::move(resends_.front().transfer);
    resends_.pop_front();
    report_.CountResend();
    Send(std::move(transfer));
  }
}

void LoadWorker::Impl::StartRequest(Duration due) {
  if (loop_.in_progress() >= profile_.max_in_progress / profile_.threads) {
    report_.CountDropped();
    return;
  }
  ++progress_->started;
  auto transfer = std::make_unique<Transfer>();
  const std::string id = std::to_string(profile_.seed) + "-" +
                         std::to_string(number_) + "-" +
                         std::to_string(++sequence_);
  transfer->kind = &profile_.kinds[kind_choice_(random_)];
  transfer->due = due;
  transfer->path = Replaced(transfer->kind->path, std::to_string(sequence_));
  transfer->body.assign(transfer->kind->body_bytes, 'x');
  transfer->target = next_target_++;
  if (transfer->kind->identity == Identity::kKey) transfer->identity = id;
  if (transfer->kind->identity == Identity::kTicket) {
    if (tickets_.size() < kTicketsLeftBeforeCall) AskForTickets();
    if (tickets_.empty()) {
      without_ticket_.push_back(std::move(transfer));
      return;
    }
    transfer->identity = std::move(tickets_.front());
    tickets_.pop_front();
  }
  Send(std::move(transfer));
}

void LoadWorker::Impl::AskForTickets() {
  if (tickets_asked_) return;
  tickets_asked_ = true;
  auto transfer = std::make_unique<Transfer>();
  transfer->path =
      "/heatherlatch/v1/tickets?count=" + std::to_string(kTicketsForEachCall);
  transfer->target = next_target_++;
  Send(std::move(transfer));
}

void LoadWorker::Impl::Send(TransferPointer transfer) {
  CURL* easy = loop_.TakeHandle();
  ++transfer->attempts;
  if (transfer->kind != nullptr && transfer->attempts == 1) {
    report_.AddLateness(SteadyClock::now() - start_ - transfer->due);
  }
  SetRequest(easy, transfer.get());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.release());
  loop_.Start(easy);
}

void LoadWorker::Impl::SetRequest(CURL* easy, Transfer* transfer) {
  const Endpoint& target =
      profile_.targets[transfer->target % profile_.targets.size()];
  const bool tickets = transfer->kind == nullptr;
  const std::string method = tickets ? "POST" : transfer->kind->method;
  const std::string url = "http://" + ToString(target) + transfer->path;
  const auto timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(profile_.timeout);
  transfer->outcome.clear();
  transfer->reason.clear();
  transfer->received.clear();
  transfer->not_run = false;
  transfer->replayed = false;
  if (transfer->headers == nullptr) transfer->headers = HeadersOf(*transfer);
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                   static_cast<std::int64_t>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<std::int64_t>(timeout.count()));
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &TakeHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &TakeBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
  if (method == "POST" || method == "PUT" || !transfer->body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(transfer->body.size()));
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

curl_slist* LoadWorker::Impl::HeadersOf(const Transfer& transfer) const {
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  if (transfer.kind == nullptr) {
    // An organisation is required; that of any kind will do.
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

void LoadWorker::Impl::TakeEnded() {
  while (const auto ended = loop_.TakeEnded()) End(ended->easy, ended->code);
}

void LoadWorker::Impl::End(CURL* easy, CURLcode code) {
  char* user = nullptr;
  long status = 0;  // NOLINT(google-runtime-int)
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user);
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  loop_.ReturnHandle(easy);
  TransferPointer transfer(reinterpret_cast<Transfer*>(user));
  if (transfer->kind == nullptr) {
    EndTickets(*transfer);
    return;
  }
  EndRequest(std::move(transfer), code, static_cast<int>(status));
}

void LoadWorker::Impl::EndTickets(const Transfer& transfer) {
  tickets_asked_ = false;
  const auto json = nlohmann::json::parse(transfer.received, nullptr, false);
  if (json.is_object() && json.contains("tickets")) {
    for (const auto& ticket : json["tickets"]) {
      tickets_.push_back(ticket.get<std::string>());
    }
  }
  while (!without_ticket_.empty()) {
    TransferPointer waiting = std::move(without_ticket_.front());
    without_ticket_.pop_front();
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

void LoadWorker::Impl::EndRequest(TransferPointer transfer, CURLcode code,
                                  int status) {
  const TimePoint now = SteadyClock::now();
  const bool lost = code != CURLE_OK || transfer->outcome == "unknown";
  if (lost && transfer->attempts <= profile_.resends) {
    ++transfer->target;  // Another entry host.
    resends_.push_back({now + profile_.resend_wait, std::move(transfer)});
    return;
  }
  RequestEnd end;
  end.kind = transfer->kind->name;
  end.latency = now - start_ - transfer->due;
  end.started = transfer->due;
  if (code != CURLE_OK) {
    end.outcome = FailureText(code);
  } else if (!transfer->outcome.empty()) {
    end.outcome = transfer->outcome;
    if (!transfer->reason.empty()) end.outcome += " " + transfer->reason;
  } else {
    end.outcome = transfer->not_run ? "not-run" : "answered";
  }
  const bool ran = end.outcome == "ran" || end.outcome == "answered";
  if (ran && status >= 400) end.outcome += " " + std::to_string(status);
  end.good = ran && status < 400;
  if (transfer->replayed) report_.CountReplay();
  report_.Add(end);
  ++progress_->ended;
  if (end.good) ++progress_->good;
}

TimePoint LoadWorker::Impl::NextWake(TimePoint now) const {
  TimePoint wake = now + kIdleWait;
  if (next_due_) wake = std::min(wake, start_ + *next_due_);
  if (!resends_.empty()) wake = std::min(wake, resends_.front().at);
  return wake;
}

LoadWorker::LoadWorker(const LoadProfile& profile, int number, TimePoint start,
                       SharedProgress* progress)
    : impl_(std::make_unique<Impl>(profile, number, start, progress)) {}

LoadWorker::~LoadWorker() = default;

void LoadWorker::Run() { impl_->Run(); }

LoadReport LoadWorker::TakeReport() { return impl_->TakeReport(); }

}  // namespace heatherlatch::load
