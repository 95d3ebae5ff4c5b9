#include "review/lab-3/lab.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "platform/names.h"
#include "platform/testing/raw_caller.h"

namespace heatherlatch::review {
namespace {

using std::chrono::steady_clock;

constexpr char kHostProgram[] = "target/bin/heatherlatch-host";
constexpr char kDataFolder[] = "review/lab-3/";
constexpr char kHostSettingsVariable[] = "HEATHERLATCH_NODE_FILE";
// A little longer than the time after which a calm machine is in touch.
constexpr double kInTouchSeconds = 4.5;
constexpr double kStartSeconds = 20;
constexpr std::size_t kMaxSeeds = 3;
// Misses of the readiness question after which a host gets no connections.
constexpr int kMaxMisses = 2;
constexpr int kMaxWaiting = 12;
constexpr unsigned kMaxSeconds = 110;  // Of a case.

std::string ReadAll(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// @return the text of a file with each @NAME@ replaced
std::string Fill(const std::string& name,
                 const std::map<std::string, std::string>& values) {
  std::string text = ReadAll(kDataFolder + name);
  for (const auto& [key, value] : values) {
    const std::string mark = "@" + key + "@";
    for (std::size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + value.size())) {
      text.replace(at, mark.size(), value);
    }
  }
  return text;
}

std::string Field(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string Line(const std::string& name, const std::string& value) {
  return name + ": " + value + "\r\n";
}

// The hosts that run, for `EndHosts`; 0: none.
constexpr std::size_t kMaxHosts = 16;
std::array<std::atomic<pid_t>, kMaxHosts> host_processes;

// Ends all hosts at once, because this program is ended or took too long.
void EndHosts(int) {
  for (const std::atomic<pid_t>& process : host_processes) {
    if (process > 0) kill(process, SIGKILL);
  }
  _exit(kCouldNotRun);
}

double SecondsSince(steady_clock::time_point start) {
  return std::chrono::duration<double>(steady_clock::now() - start).count();
}

}  // namespace

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

Lab::Lab(const std::string& folder, std::size_t hosts)
    : began_at_(steady_clock::now()),
      temporary_(
          (std::filesystem::temp_directory_path() / "review-lab-3-XXXXXX")
              .string()),
      record_(folder + "/record.txt") {
  for (const int signal : {SIGTERM, SIGINT, SIGALRM}) {
    std::signal(signal, EndHosts);
  }
  alarm(kMaxSeconds);
  if (mkdtemp(temporary_.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  Publish("config.json");
  // Addresses of their own, so that no other process has their ports.
  const int process = getpid();
  const std::string network = "127." + std::to_string(1 + process / 250 % 250) +
                              "." + std::to_string(process % 250) + ".";
  for (std::size_t i = 0; i < hosts; ++i) {
    hosts_.push_back(std::make_unique<Host>());
    hosts_.back()->ip = network + std::to_string(10 + i);
    hosts_.back()->zone = i % 2 == 0 ? "utara-a" : "utara-b";
    hosts_.back()->settings = temporary_ + "/" + std::to_string(i) + ".yaml";
  }
}

Lab::~Lab() {
  stopping_ = true;
  if (balancer_.joinable()) balancer_.join();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    host_processes.at(i) = 0;
    hosts_[i]->process.reset();
  }
  std::error_code ignored;  // The folder is temporary in any case.
  std::filesystem::remove_all(temporary_, ignored);
}

void Lab::WriteSettings(std::size_t host) const {
  std::string seeds;
  for (std::size_t i = 0; i < hosts_.size() && i < kMaxSeeds; ++i) {
    seeds += (i > 0 ? ", \"" : "\"") + hosts_[i]->ip + ":8544\"";
  }
  std::ofstream(hosts_[host]->settings)
      << Fill("host.yaml", {{"ZONE", hosts_[host]->zone},
                            {"NUMBER", std::to_string(host + 1)},
                            {"IP", hosts_[host]->ip},
                            {"STORE", ToString(store_.endpoint())},
                            {"SEEDS", seeds}});
}

void Lab::Start(std::size_t host) {
  setenv(kHostSettingsVariable, hosts_[host]->settings.c_str(), 1);
  hosts_[host]->process = std::make_unique<testing::ChildProcess>(
      std::vector<std::string>{kHostProgram},
      temporary_ + "/" + std::to_string(host) + ".log");
  host_processes.at(host) = hosts_[host]->process->pid();
}

void Lab::StartHosts() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    WriteSettings(i);
    Start(i);
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    for (const double until = Now() + kStartSeconds; !IsReady(i);) {
      if (Now() > until) throw std::runtime_error("a host is not ready");
      Sleep(0.05);
    }
  }
  Sleep(kInTouchSeconds);
  balancer_ = std::thread([this] { Balance(); });
  Record("all hosts are ready and in touch");
}

void Lab::Terminate(std::size_t host) {
  Record("SIGTERM to host " + std::to_string(host));
  hosts_[host]->process->Signal(SIGTERM);
}

bool Lab::IsReady(std::size_t host) const {
  testing::RawCaller caller({hosts_[host]->ip, 8542});
  caller.Send("GET " + std::string(wire::kReadinessPath) +
              " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  return caller.ReadResponse().status == 200;
}

void Lab::Balance() {
  while (!stopping_) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i]->misses = IsReady(i) ? 0 : hosts_[i]->misses + 1;
    }
    Sleep(1);
  }
}

bool Lab::IsInRotation(std::size_t host) const {
  return hosts_[host]->misses < kMaxMisses;
}

std::string Lab::Head(const std::string& method, const std::string& path,
                      const std::string& id, int deadline_ms,
                      const std::string& more_fields) {
  return method + " " + path + " HTTP/1.1\r\nHost: counts.example\r\n" +
         Line(wire::kRequestIdField, id) +
         Line(wire::kDeadlineField, std::to_string(deadline_ms)) + more_fields +
         "\r\n";
}

Answer Lab::Send(std::size_t host, const std::string& method,
                 const std::string& path, const std::string& id,
                 const std::string& body, int deadline_ms) {
  testing::RawCaller caller(callers(host));
  const std::string length =
      body.empty() ? "" : Line("Content-Length", std::to_string(body.size()));
  caller.Send(Head(method, path, id, deadline_ms, length) + body);
  const testing::RawResponse response = caller.ReadResponse();
  return {response.status,
          !Field(response.head, wire::kSignatureField).empty()};
}

void Lab::Freeze(std::size_t host, double seconds) {
  Record("host " + std::to_string(host) + " freezes");
  hosts_[host]->process->Signal(SIGSTOP);
  Sleep(seconds);
  hosts_[host]->process->Signal(SIGCONT);
  Record("host " + std::to_string(host) + " wakes");
}

void Lab::Publish(const std::string& file) {
  store_.Put(wire::kRouteTableKey, ReadAll(kDataFolder + file));
}

double Lab::Now() const { return SecondsSince(began_at_); }

void Lab::Record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(record_mutex_);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f s  ", Now());
  record_ << time << line << std::endl;
}

Server::Server(Lab* lab, ServerOptions options, Work work)
    : lab_(lab),
      options_(std::move(options)),
      work_(std::move(work)),
      born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
      server_(std::make_unique<RawServer>(
          [this](RawConnection& connection) { Serve(connection); })) {
  Beat();
}

void Server::Beat() {
  lab_->store().Put(
      std::string(wire::kServersPrefix) + options_.id,
      Fill("server.json", {{"ADDRESS", ToString(server_->endpoint())},
                           {"BORN", std::to_string(born_ms_)},
                           {"SERVICE", options_.service},
                           {"ZONE", options_.zone},
                           {"SLOTS", std::to_string(options_.slots)}}));
}

std::string Server::StatusFields() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return Line(wire::kLoadField, std::to_string(running_) + "," +
                                    std::to_string(waiting_) + "," +
                                    std::to_string(options_.slots) + ",100");
}

void Server::RespondToProbe(const RawConnection& connection) {
  connection.Send("HTTP/1.1 200 OK\r\n" +
                  Line(wire::kServerNameField, options_.id) + StatusFields() +
                  Line(wire::kColdRemainingField, "0") +
                  "Content-Length: 0\r\n\r\n");
}

void Server::Respond(const RawConnection& connection,
                     const ServerRequest& request, const std::string& status,
                     const std::string& body) {
  connection.Send(
      "HTTP/1.1 " + status + "\r\n" + Line(wire::kRequestIdField, request.id) +
      Line(wire::kSignatureField, "3e1b.07." + request.id) + StatusFields() +
      Line("Content-Length", std::to_string(body.size())) + "\r\n" + body);
}

bool Server::TakeSlot() {
  std::unique_lock<std::mutex> lock(mutex_);
  if (waiting_ >= kMaxWaiting) return false;
  ++waiting_;
  freed_.wait(lock, [this] { return running_ < options_.slots; });
  --waiting_;
  ++running_;
  return true;
}

void Server::FreeSlot() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
  }
  freed_.notify_one();
}

void Server::Serve(RawConnection& connection) {
  while (true) {
    const std::string head = connection.ReadRequest();
    if (head.empty()) return;
    if (head.rfind("GET /health ", 0) == 0) {
      RespondToProbe(connection);
      continue;
    }
    ServerRequest request;
    request.head = head;
    request.id = Field(head, wire::kRequestIdField);
    const std::size_t path = head.find(' ') + 1;
    request.path = head.substr(path, head.find(' ', path) - path);
    const std::string length = Field(head, "Content-Length");
    if (!length.empty()) request.length = std::stoul(length);
    const bool is_meant =
        Field(head, wire::kExpectedServerField) == options_.id;
    if (!is_meant || !TakeSlot()) {
      connection.ReadBytes(request.length);
      connection.Send((is_meant
                           ? "HTTP/1.1 503 Service Unavailable\r\n" +
                                 Line(wire::kNotRunField, "1")
                           : "HTTP/1.1 421 Misdirected Request\r\n" +
                                 Line(wire::kServerNameField, options_.id)) +
                      Line(wire::kRequestIdField, request.id) + StatusFields() +
                      "Content-Length: 0\r\n\r\n");
      continue;
    }
    work_(*this, connection, request);
    FreeSlot();
  }
}

}  // namespace heatherlatch::review
