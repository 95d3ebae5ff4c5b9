#include "review/stage/stage.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <tuple>
#include <utility>

#include "platform/names.h"

namespace stage {
namespace {

namespace wire = heatherlatch::wire;
using Clock = std::chrono::steady_clock;

constexpr int kBacklog = 128;
constexpr std::size_t kReadBytes = 16384;
// Of a long body, what a worker that reads late reads before its work, and its
// receive buffer.
constexpr std::size_t kReadAtOnceBytes = 16384;
constexpr int kWindowBytes = 16384;
constexpr int kHostEndMilliseconds = 8000;
constexpr const char* kLineEnd = "\r\n";

Clock::time_point Began() {
  static const Clock::time_point began = Clock::now();
  return began;
}

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// @return a socket that is bound to a free port, and the port
std::pair<int, std::uint16_t> Bind() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    std::perror("bind");
    std::_Exit(2);
  }
  return {descriptor, ntohs(address.sin_port)};
}

std::string Base64(const std::string& bytes) {
  static constexpr char kAlphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j > bytes.size() ? '=' : kAlphabet[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

std::string JsonResponse(const std::string& body) {
  return std::string("HTTP/1.1 200 OK") + kLineEnd +
         "Content-Type: application/json" + kLineEnd +
         "Content-Length: " + std::to_string(body.size()) + kLineEnd +
         kLineEnd + body;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

std::string UnixMilliseconds() {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count());
}

}  // namespace

double Now() {
  return std::chrono::duration<double, std::milli>(Clock::now() - Began())
      .count();
}

void SleepUntil(double at_ms) {
  std::this_thread::sleep_until(
      Began() + std::chrono::duration_cast<Clock::duration>(
                    std::chrono::duration<double, std::milli>(at_ms)));
}

std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string place = "{{" + name + "}}";
    for (std::size_t at = text.find(place); at != std::string::npos;
         at = text.find(place, at + value.size())) {
      text.replace(at, place.size(), value);
    }
  }
  return text;
}

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::fprintf(stderr, "%s cannot be read\n", path.c_str());
    std::_Exit(2);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Record::Line(const std::string& text) {
  char at[32];
  std::snprintf(at, sizeof(at), "%10.1f ", Now());
  const std::lock_guard<std::mutex> lock(mutex_);
  out_ << at << text << std::endl;
}

Connection::~Connection() { Close(); }

std::unique_ptr<Connection> Connection::To(std::uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  auto connection = std::make_unique<Connection>(descriptor);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    connection->Close();
  } else {
    const int on = 1;
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  return connection;
}

void Connection::SetReadTimeout(int milliseconds) const {
  timeval time{};
  time.tv_sec = milliseconds / 1000;
  time.tv_usec = milliseconds % 1000 * 1000;
  (void)::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

bool Connection::Fetch() {
  char bytes[kReadBytes];
  const ssize_t size = ::recv(descriptor_, bytes, sizeof(bytes), 0);
  if (size <= 0) return false;
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool Connection::ReadHead(std::string* head) {
  static constexpr std::string_view kEnd = "\r\n\r\n";
  std::size_t at = std::string::npos;
  while ((at = buffer_.find(kEnd)) == std::string::npos) {
    if (!Fetch()) return false;
  }
  *head = buffer_.substr(0, at + kEnd.size());
  buffer_.erase(0, at + kEnd.size());
  return true;
}

bool Connection::ReadBytes(std::size_t count, std::string* bytes) {
  while (buffer_.size() < count) {
    if (!Fetch()) return false;
  }
  *bytes = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return true;
}

bool Connection::Write(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = ::send(descriptor_, bytes.data() + sent,
                                bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

void Connection::Cut() const { ::shutdown(descriptor_, SHUT_RDWR); }

void Connection::Close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

std::string FieldOf(const std::string& head, const std::string& name) {
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon != name.size()) continue;
    const bool is_same =
        std::equal(name.begin(), name.end(), line.begin(), [](char a, char b) {
          return std::tolower(static_cast<unsigned char>(a)) ==
                 std::tolower(static_cast<unsigned char>(b));
        });
    if (!is_same) continue;
    const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
    if (begin == std::string::npos || line[begin] == '\r') return "";
    return line.substr(begin, line.find_last_not_of(" \t\r") + 1 - begin);
  }
  return "";
}

int StatusOf(const std::string& head) {
  const std::size_t space = head.find(' ');
  return space == std::string::npos ? 0 : std::atoi(head.c_str() + space + 1);
}

std::string MethodOf(const std::string& head) {
  return head.substr(0, head.find(' '));
}

std::string TargetOf(const std::string& head) {
  const std::size_t begin = head.find(' ') + 1;
  return head.substr(begin, head.find(' ', begin) - begin);
}

Listener::Listener(Handler handler, int window_bytes)
    : handler_(std::move(handler)) {
  std::tie(descriptor_, port_) = Bind();
  if (window_bytes > 0) {
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &window_bytes,
                       sizeof(window_bytes));
  }
  ::listen(descriptor_, kBacklog);
  std::thread([this] { Accept(); }).detach();
}

void Listener::Accept() {
  while (!ended_) {
    const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) return;
    const int on = 1;
    (void)::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([this, accepted] {
      Connection connection(accepted);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (ended_) return;
        open_.push_back(&connection);
      }
      handler_(connection);
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.erase(std::find(open_.begin(), open_.end(), &connection));
    }).detach();
  }
}

void Listener::End() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ended_ = true;
  ::shutdown(descriptor_, SHUT_RDWR);
  ::close(descriptor_);
  for (const Connection* connection : open_) connection->Cut();
}

std::uint16_t FreePort() {
  const auto [descriptor, port] = Bind();
  ::close(descriptor);
  return port;
}

Store::Store()
    : listener_([this](Connection& connection) { Serve(connection); }) {}

std::uint64_t Store::Put(const std::string& key, const std::string& value,
                         const std::string& essence) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Item& item = items_[key];
  const bool is_new = item.revision == 0;
  if (!is_new && item.essence == essence) return item.revision;
  item.value = value;
  item.essence = essence;
  item.revision = ++revision_;
  if (is_new) item.created = revision_;
  std::ostringstream json;
  json << R"({"key":")" << key << R"(","value":")" << Base64(value)
       << R"(","revision":)" << revision_ << R"(,"created":)" << item.created
       << R"(,"lease":0})";
  events_.push_back({revision_, json.str()});
  changed_.notify_all();
  return revision_;
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (items_.erase(key) == 0) return;
  std::ostringstream json;
  json << R"({"key":")" << key << R"(","revision":)" << ++revision_
       << R"(,"deleted":true})";
  events_.push_back({revision_, json.str()});
  changed_.notify_all();
}

std::vector<double> Store::TakenAt(std::uint64_t revision) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<const Connection*, double> first;
  for (const Taken& taken : taken_) {
    if (taken.revision >= revision) first.emplace(taken.by, taken.at);
  }
  std::vector<double> times;
  for (const auto& [by, at] : first) times.push_back(at);
  return times;
}

void Store::NoteTaken(const Connection& connection, std::uint64_t revision) {
  const std::lock_guard<std::mutex> lock(mutex_);
  taken_.push_back({&connection, revision, Now()});
}

void Store::Serve(Connection& connection) {
  std::string head;
  while (connection.ReadHead(&head)) {
    const std::string target = TargetOf(head);
    const std::string wait = QueryValue(target, "waitMs");
    const std::uint64_t after =
        std::strtoull(QueryValue(target, "after").c_str(), nullptr, 10);
    if (!wait.empty()) NoteTaken(connection, after);
    const std::string body =
        wait.empty() ? List() : Watch(after, std::atoi(wait.c_str()));
    if (!connection.Write(JsonResponse(body))) return;
  }
}

std::string Store::List() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream json;
  json << R"({"asOf":)" << revision_ << R"(,"hasMore":false,"items":[)";
  const char* separator = "";
  for (const auto& [key, item] : items_) {
    json << separator << R"({"key":")" << key << R"(","value":")"
         << Base64(item.value) << R"(","revision":)" << item.revision
         << R"(,"created":)" << item.created << R"(,"lease":0})";
    separator = ",";
  }
  json << "]}";
  return json.str();
}

std::string Store::Watch(std::uint64_t after, int wait_ms) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                    [&] { return revision_ > after; });
  std::ostringstream json;
  json << R"({"asOf":)" << revision_ << R"(,"events":[)";
  const char* separator = "";
  for (const Event& event : events_) {
    if (event.revision <= after) continue;
    json << separator << event.json;
    separator = ",";
  }
  json << "]}";
  return json.str();
}

Worker::Worker(Store* store, Record* record, Options options)
    : store_(store),
      record_(record),
      options_(std::move(options)),
      born_(UnixMilliseconds()),
      listener_([this](Connection& connection) { Serve(connection); },
                options_.reads_late ? kWindowBytes : 0) {}

std::string Worker::key() const { return wire::kServersPrefix + name(); }

std::pair<std::string, std::string> Worker::NextEntry() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string value =
      Fill(options_.entry,
           {{"address", "127.0.0.1:" + std::to_string(listener_.port())},
            {"service", options_.service},
            {"zone", options_.zone},
            {"slots", std::to_string(options_.slots)},
            {"state", state_},
            {"sequence", std::to_string(++sequence_)},
            {"born", born_}});
  return {value, state_};
}

std::uint64_t Worker::Beat() {
  const auto [value, essence] = NextEntry();
  return store_->Put(key(), value, essence);
}

void Worker::SetState(const std::string& state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  state_ = state;
}

std::vector<Arrival> Worker::arrivals() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return arrivals_;
}

std::string Worker::LoadFields() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::string(wire::kServerNameField) + ": " + name() + kLineEnd +
         wire::kLoadField + ": " + std::to_string(running_) + ",0," +
         std::to_string(options_.slots) + ",100" + kLineEnd;
}

void Worker::Serve(Connection& connection) {
  std::string head;
  while (connection.ReadHead(&head)) {
    const std::size_t length =
        std::strtoull(FieldOf(head, "Content-Length").c_str(), nullptr, 10);
    std::string body;
    const bool reads_on = options_.reads_late && length > kReadAtOnceBytes;
    if (!connection.ReadBytes(reads_on ? kReadAtOnceBytes : length, &body)) {
      return;
    }
    if (!Run(connection, head, reads_on ? length - body.size() : 0)) return;
  }
}

bool Worker::Run(Connection& connection, const std::string& head,
                 std::size_t unread) {
  const std::string id = FieldOf(head, wire::kRequestIdField);
  if (id.empty()) {
    bool is_leaving = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      is_leaving = state_ != "ready";
    }
    return connection.Write((is_leaving ? std::string("HTTP/1.1 503 Leaving")
                                        : std::string("HTTP/1.1 200 OK")) +
                            kLineEnd + LoadFields() + "Content-Length: 0" +
                            kLineEnd + kLineEnd);
  }
  if (FieldOf(head, wire::kExpectedServerField) != name()) {
    return connection.Write(std::string("HTTP/1.1 421 Misdirected Request") +
                            kLineEnd + wire::kRequestIdField + ": " + id +
                            kLineEnd + LoadFields() + "Content-Length: 0" +
                            kLineEnd + kLineEnd);
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++running_;
    arrivals_.push_back({Now(), id, MethodOf(head)});
  }
  record_->Line("worker " + name() + " runs " + id + " " + MethodOf(head));
  std::this_thread::sleep_for(std::chrono::milliseconds(options_.work_ms));
  std::string rest;
  const bool is_read = connection.ReadBytes(unread, &rest);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
  }
  if (!is_read) {
    record_->Line("worker " + name() + " can't read the rest of " + id);
    return false;
  }
  const std::string body = "done " + id + " by " + name();
  return connection.Write(
      std::string("HTTP/1.1 200 OK") + kLineEnd + wire::kRequestIdField + ": " +
      id + kLineEnd + wire::kSignatureField + ": s." + id + kLineEnd +
      LoadFields() + "Content-Length: " + std::to_string(body.size()) +
      kLineEnd + kLineEnd + body);
}

Host::Host(const std::string& name, const std::string& program,
           const std::string& settings, const std::string& folder,
           std::map<std::string, std::string> values,
           const std::map<std::string, std::uint16_t>& ports) {
  for (const auto& [use, port] : ports) values[use] = std::to_string(port);
  values["name"] = name;
  caller_port_ = ports.at("caller_port");
  readiness_port_ = ports.at("readiness_port");
  const std::string path = folder + "/" + name + ".yaml";
  std::ofstream(path) << Fill(settings, values);
  const std::string log = folder + "/" + name + ".log";
  process_ = ::fork();
  if (process_ != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // It ends with the case.
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::execl(program.c_str(), program.c_str(), "--settings", path.c_str(),
          static_cast<char*>(nullptr));
  std::_Exit(2);
}

Host::~Host() { End(); }

bool Host::IsReady() const {
  const auto connection = Connection::To(readiness_port_);
  if (!connection->is_open()) return false;
  connection->SetReadTimeout(1000);
  std::string head;
  return connection->Write(std::string("GET ") + wire::kReadinessPath +
                           " HTTP/1.1" + kLineEnd + "Host: h" + kLineEnd +
                           kLineEnd) &&
         connection->ReadHead(&head) && StatusOf(head) == 200;
}

bool Host::WaitUntilReady(double until_ms) const {
  while (Now() < until_ms) {
    if (IsReady()) return true;
    SleepUntil(Now() + 50);
  }
  return false;
}

void Host::Signal(int signal) const {
  if (process_ > 0) ::kill(process_, signal);
}

void Host::End() {
  if (process_ <= 0) return;
  Signal(SIGCONT);
  Signal(SIGTERM);
  const double until = Now() + kHostEndMilliseconds;
  while (::waitpid(process_, nullptr, WNOHANG) == 0) {
    if (Now() > until) Signal(SIGKILL);
    SleepUntil(Now() + 20);
  }
  process_ = -1;
}

std::string RequestHead(const std::string& method, const std::string& authority,
                        const std::string& target, const std::string& id,
                        int budget_ms) {
  return method + " " + target + " HTTP/1.1" + kLineEnd + "Host: " + authority +
         kLineEnd + wire::kRequestIdField + ": " + id + kLineEnd +
         wire::kDeadlineField + ": " + std::to_string(budget_ms) + kLineEnd;
}

Answer Consumer::Send(const std::string& method, const std::string& authority,
                      const std::string& target, const std::string& id,
                      int budget_ms) {
  if (!connection_ || !connection_->is_open()) {
    connection_ = Connection::To(port_);
  }
  Answer answer;
  connection_->SetReadTimeout(budget_ms + 1000);
  const std::string body = method == "GET" ? "" : "count=1";
  std::string request = RequestHead(method, authority, target, id, budget_ms);
  if (!body.empty()) {
    request += "Content-Length: " + std::to_string(body.size()) + kLineEnd;
  }
  std::string head;
  if (!connection_->Write(request + kLineEnd + body) ||
      !connection_->ReadHead(&head) ||
      !connection_->ReadBytes(
          std::strtoull(FieldOf(head, "Content-Length").c_str(), nullptr, 10),
          &answer.body)) {
    connection_->Close();
    return answer;
  }
  answer.status = StatusOf(head);
  answer.is_signed = !FieldOf(head, wire::kSignatureField).empty();
  if (FieldOf(head, "Connection") == "close") connection_->Close();
  return answer;
}

void Schedule::At(double at_ms, std::function<void()> action) {
  actions_.emplace(at_ms, std::move(action));
}

void Schedule::Every(double from_ms, double until_ms, double interval_ms,
                     const std::function<void()>& action) {
  for (double at = from_ms; at < until_ms; at += interval_ms) At(at, action);
}

void Schedule::Run() {
  while (!actions_.empty()) {
    const auto next = actions_.begin();
    SleepUntil(next->first);
    const std::function<void()> action = std::move(next->second);
    actions_.erase(next);
    action();
  }
}

void PublishConfig(const Setup& setup, Store* store) {
  const std::string config =
      Fill(ReadText(setup.data + "/config.json"), {{"version", "r7"}});
  store->Put(wire::kRouteTableKey, config, config);
}

Deployment::Deployment(const Setup& setup, Record* record, Store* store,
                       const std::vector<std::string>& zones) {
  const std::string settings = ReadText(setup.data + "/host.yaml");
  std::vector<std::uint16_t> peer_ports;
  std::string seeds;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    peer_ports.push_back(FreePort());
    if (i > 0) seeds += ",";
    seeds += "\"127.0.0.1:" + std::to_string(peer_ports.back()) + "\"";
  }
  for (std::size_t i = 0; i < zones.size(); ++i) {
    hosts_.push_back(std::make_unique<Host>(
        "host-" + zones[i], setup.program, settings, setup.folder,
        std::map<std::string, std::string>{
            {"zone", zones[i]},
            {"region", zones[i].substr(0, zones[i].find('-'))},
            {"seeds", seeds}},
        std::map<std::string, std::uint16_t>{{"caller_port", FreePort()},
                                             {"readiness_port", FreePort()},
                                             {"peer_port", peer_ports[i]},
                                             {"metrics_port", FreePort()},
                                             {"store_port", store->port()}}));
  }
  for (const auto& host : hosts_) {
    if (host->WaitUntilReady(Now() + 20000)) continue;
    record->Line("a host did not become ready");
    throw std::runtime_error("a host did not become ready");
  }
  record->Line("the hosts are ready");
}

}  // namespace stage
