#include "review/lab-2/lab.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sstream>
#include <thread>

#include "platform/names.h"

namespace heatherlatch::review {
namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 3;
constexpr char kDataFolder[] = "review/lab-2/data/";
// The command of the deploy file, and the variable with the settings file.
constexpr char kHostProgram[] = "target/bin/heatherlatch-host";
constexpr char kSettingsVariable[] = "HEATHERLATCH_NODE_FILE";

std::mt19937_64& Random() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return generator;
}

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// @return a socket that is bound to the port; -1 if that is not possible
int Bind(std::uint16_t port, int reuse) {
  const int bound = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(bound, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  const sockaddr_in address = Loopback(port);
  if (bind(bound, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0) {
    return bound;
  }
  close(bound);
  return -1;
}

// @return a free port below those of outgoing connections. A socket stays bound
//     to it without listening, so that no other script takes it; a host sets
//     SO_REUSEADDR and can listen there.
std::uint16_t FreePort() {
  std::uniform_int_distribution<int> ports(15000, 32000);
  while (true) {
    const auto port = static_cast<std::uint16_t>(ports(Random()));
    const int probe = Bind(port, 0);
    if (probe < 0) continue;
    close(probe);
    if (Bind(port, 1) >= 0) return port;
  }
}

std::string LocalEndpoint(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

// @return the value of a field of a head; empty if it is missing
std::string FieldOf(const std::string& head, const std::string& name) {
  const std::string wanted = "\r\n" + LowerCase(name) + ":";
  const std::size_t at = LowerCase(head).find(wanted);
  if (at == std::string::npos) return "";
  std::size_t begin = at + wanted.size();
  while (begin < head.size() && head[begin] == ' ') ++begin;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string HexId() {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << Random()();
  return text.str();
}

std::string Response(const std::string& status, const std::string& fields,
                     const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Field(const std::string& name, const std::string& value) {
  return name + ": " + value + "\r\n";
}

}  // namespace

Record::Record(const std::string& path) : file_(path) {}

double Record::Now() const {
  return std::chrono::duration<double>(Clock::now() - start_).count();
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << std::fixed << std::setprecision(3) << Now() << " " << text
        << std::endl;
}

std::string ReadData(const std::string& name) {
  std::ifstream file(kDataFolder + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Fill(
    std::string text,
    const std::vector<std::pair<std::string, std::string>>& values) {
  for (const auto& [name, value] : values) {
    const std::string mark = "@" + name + "@";
    std::size_t at = text.find(mark);
    for (; at != std::string::npos; at = text.find(mark, at + value.size())) {
      text.replace(at, mark.size(), value);
    }
  }
  return text;
}

bool IsTroubled() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string RandomId() { return HexId(); }

Worker::Worker(Options options)
    : options_(std::move(options)), name_("i-" + HexId().substr(0, 8)) {
  server_ = std::make_unique<RawServer>(
      [this](RawConnection& connection) { Serve(connection); });
}

void Worker::Publish(testing::PlatformStore* store) const {
  const auto now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  store->Put(
      wire::kServersPrefix + name_,
      Fill(ReadData("server.json"), {{"ADDRESS", ToString(server_->endpoint())},
                                     {"BORN", std::to_string(now.count())},
                                     {"SERVICE", options_.service}}));
}

void Worker::Crash() {
  crashed_ = true;
  server_->Crash();
}

std::string Worker::LoadField() const {
  return Field(wire::kLoadField, std::to_string(running_) + ",0," +
                                     std::to_string(kSlots) + ",100");
}

milliseconds Worker::DrawWork() {
  std::normal_distribution<double> factor(1, options_.spread);
  return milliseconds(
      static_cast<int>(std::max(0.2, factor(Random())) *
                       static_cast<double>(options_.work.count())));
}

void Worker::Serve(RawConnection& connection) {
  while (!crashed_) {
    const std::string head = connection.ReadRequest();
    if (head.empty() || crashed_) return;
    ServerRequest request;
    request.method = head.substr(0, head.find(' '));
    const std::size_t target = request.method.size() + 1;
    request.target = head.substr(target, head.find(' ', target) - target);
    request.id = FieldOf(head, wire::kRequestIdField);
    const std::string length = FieldOf(head, "Content-Length");
    if (!length.empty()) {
      request.body_bytes = connection.ReadBytes(std::stoul(length)).size();
      if (request.body_bytes != std::stoul(length)) return;
    }
    if (request.target == "/health") {
      connection.Send(Response(
          "200 OK", Field(wire::kServerNameField, name_) + LoadField(), ""));
      continue;
    }
    const std::string echo = Field(wire::kRequestIdField, request.id);
    const std::string refusal = echo + Field(wire::kNotRunField, "1");
    if (FieldOf(head, wire::kExpectedServerField) != name_) {
      connection.Send(Response("421 Misdirected Request", refusal, ""));
    } else if (++running_ > kSlots) {
      --running_;
      connection.Send(
          Response("503 Service Unavailable", refusal + LoadField(), ""));
    } else {
      Run(connection, request);
    }
  }
}

void Worker::Run(RawConnection& connection, const ServerRequest& request) {
  if (options_.on_run) options_.on_run(*this, request);
  const Outcome outcome =
      options_.choose ? options_.choose(request) : Outcome::kAnswer;
  if (outcome == Outcome::kCrash) {
    Crash();
    return;
  }
  if (outcome == Outcome::kHang) {
    // The host sends nothing more before it closes the connection.
    connection.ReadBytes(1);
    --running_;
    return;
  }
  std::this_thread::sleep_for(DrawWork());
  const std::string fields = Field(wire::kRequestIdField, request.id) +
                             Field(wire::kSignatureField, "3e1b.07.c9f2a4d1") +
                             LoadField();
  --running_;
  if (outcome == Outcome::kFail) {
    connection.Send(Response("500 Internal Server Error", fields, "failed"));
    return;
  }
  const std::string response = Response("200 OK", fields, name_);
  connection.Send(request.method == "HEAD"
                      ? response.substr(0, response.find("\r\n\r\n") + 4)
                      : response);
}

HostProcess::HostProcess(std::string name, std::string folder)
    : name_(std::move(name)), folder_(std::move(folder)) {
  for (int i = 0; i < 4; ++i) ports_.push_back(FreePort());
}

HostProcess::~HostProcess() { Kill(); }

std::string HostProcess::peer_endpoint() const {
  return LocalEndpoint(ports_[2]);
}

void HostProcess::Configure(const Endpoint& store,
                            const std::vector<std::string>& seeds) {
  std::string list;
  for (const std::string& seed : seeds) {
    list += (list.empty() ? "\"" : ",\"") + seed + "\"";
  }
  settings_ =
      Fill(ReadData("host.yaml"), {{"NAME", name_},
                                   {"CALLERS", LocalEndpoint(ports_[0])},
                                   {"READY", LocalEndpoint(ports_[1])},
                                   {"PEERS", LocalEndpoint(ports_[2])},
                                   {"METRICS", LocalEndpoint(ports_[3])},
                                   {"STORE", ToString(store)},
                                   {"SEEDS", list}});
}

void HostProcess::Start() {
  const std::string path = folder_ + "/" + name_ + ".yaml";
  std::ofstream(path) << Fill(settings_,
                              {{"FIRST", started_before_ ? "false" : "true"}});
  started_before_ = true;
  const std::string log = folder_ + "/" + name_ + ".log";
  started_at_ = Clock::now();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // Also if the script is killed.
    const int output =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv(kSettingsVariable, path.c_str(), 1);
    execl(kHostProgram, kHostProgram, nullptr);
    _exit(127);
  }
  pid_ = child;
}

void HostProcess::Kill() {
  const pid_t running = pid_.exchange(0);
  if (running <= 0) return;
  kill(running, SIGKILL);
  waitpid(running, nullptr, 0);
}

bool HostProcess::WaitUntilReady() const {
  const auto deadline = Clock::now() + std::chrono::seconds(10);
  const std::string question = std::string("GET ") + wire::kReadinessPath +
                               " HTTP/1.1\r\nHost: platform\r\n\r\n";
  while (Clock::now() < deadline) {
    if (CallOnce(ports_[1], question, milliseconds(500)).status == 200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

std::uint64_t HostProcess::AnonymousBytes() const {
  if (pid_ <= 0) return 0;
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string word;
  std::uint64_t kilobytes = 0;
  while (status >> word) {
    if (word == "RssAnon:") {
      status >> kilobytes;
      break;
    }
  }
  return kilobytes * 1024;
}

Caller::Caller(std::uint16_t port) {
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(socket_);
    socket_ = -1;
  }
}

Caller::~Caller() {
  if (socket_ >= 0) close(socket_);
}

bool Caller::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (socket_ >= 0 && sent < bytes.size()) {
    const ssize_t size =
        send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return socket_ >= 0;
}

bool Caller::Fill(Clock::time_point deadline) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
  pollfd ready = {socket_, POLLIN, 0};
  if (socket_ < 0 || left.count() <= 0 ||
      poll(&ready, 1, static_cast<int>(left.count())) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t size = recv(socket_, bytes, sizeof(bytes), 0);
  if (size <= 0) return false;
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

Answer Caller::Read(bool is_head, milliseconds timeout) {
  static constexpr char kStart[] = "HTTP/1.1 ";
  const auto deadline = Clock::now() + timeout;
  Answer answer;
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (buffer_.compare(0, buffer_.size(), kStart,
                        std::min(buffer_.size(), sizeof(kStart) - 1)) != 0 &&
        buffer_.compare(0, sizeof(kStart) - 1, kStart) != 0) {
      answer.stray = buffer_;
      return answer;
    }
    if (!Fill(deadline)) return answer;
  }
  if (buffer_.compare(0, sizeof(kStart) - 1, kStart) != 0) {
    answer.stray = buffer_.substr(0, buffer_.find(kStart));
    return answer;
  }
  const std::string head = buffer_.substr(0, end + 4);
  const std::string length = FieldOf(head, "Content-Length");
  const std::size_t body = is_head || length.empty() ? 0 : std::stoul(length);
  while (buffer_.size() < head.size() + body) {
    if (!Fill(deadline)) return answer;
  }
  buffer_.erase(0, head.size() + body);
  answer.status = static_cast<unsigned>(std::stoul(head.substr(9, 3)));
  answer.id = FieldOf(head, wire::kRequestIdField);
  answer.body_bytes = body;
  answer.closes = LowerCase(FieldOf(head, "Connection")) == "close";
  return answer;
}

std::string Caller::ReadBytes(milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(deadline)) return "";
  }
  const std::string length =
      FieldOf(buffer_.substr(0, end + 2), "Content-Length");
  const std::size_t size = end + 4 + (length.empty() ? 0 : std::stoul(length));
  while (buffer_.size() < size) {
    if (!Fill(deadline)) return "";
  }
  const std::string bytes = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return bytes;
}

std::string RequestHead(const std::string& method, const std::string& authority,
                        const std::string& target, const std::string& id,
                        int time_budget_ms, const std::string& more_fields) {
  return method + " " + target + " HTTP/1.1\r\n" + Field("Host", authority) +
         Field(wire::kRequestIdField, id) +
         Field(wire::kDeadlineField, std::to_string(time_budget_ms)) +
         more_fields + "\r\n";
}

Answer CallOnce(std::uint16_t port, const std::string& request,
                milliseconds timeout) {
  Caller caller(port);
  if (!caller.Send(request)) return {};
  return caller.Read(false, timeout);
}

Path::Path(std::uint16_t target) : target_(target) {
  server_ = std::make_unique<RawServer>(
      [this](RawConnection& connection) { Forward(connection); });
}

void Path::Forward(RawConnection& connection) {
  // Each message between hosts is a head with a length and a body.
  const auto pass = [this](const std::string& head) {
    while (cut_) std::this_thread::sleep_for(milliseconds(20));
    const std::string length = FieldOf(head, "Content-Length");
    return length.empty() ? 0 : std::stoul(length);
  };
  Caller target(target_);
  while (target.is_open()) {
    const std::string head = connection.ReadRequest();
    if (head.empty()) return;
    const std::string body = connection.ReadBytes(pass(head));
    if (!target.Send(head + body)) return;
    const std::string answer = target.ReadBytes(std::chrono::seconds(5));
    if (answer.empty()) return;
    pass(answer);
    if (!connection.Send(answer)) return;
  }
}

Deployment::Deployment(std::size_t hosts, std::size_t readers) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-lab-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  std::vector<std::string> seeds;
  std::vector<std::string> seeds_by_path;
  for (std::size_t i = 0; i < hosts; ++i) {
    hosts_.push_back(std::make_unique<HostProcess>(
        "frontend-utara-a-" + std::to_string(i + 1), folder_));
    if (i >= readers) continue;
    seeds.push_back(hosts_.back()->peer_endpoint());
    paths_.push_back(std::make_unique<Path>(hosts_.back()->peer_port()));
    seeds_by_path.push_back(paths_.back()->endpoint());
  }
  for (std::size_t i = 0; i < hosts; ++i) {
    hosts_[i]->Configure(store_.endpoint(),
                         i < readers ? seeds : seeds_by_path);
  }
}

Deployment::~Deployment() {
  hosts_.clear();
  if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder_);
}

void Deployment::CutReaders(bool is_cut) {
  for (const auto& path : paths_) path->SetCut(is_cut);
}

void Deployment::PublishRoutes(const std::string& version,
                               const std::string& services) {
  store_.Put(wire::kRouteTableKey,
             Fill(ReadData("routes.json"),
                  {{"VERSION", version}, {"SERVICES", services}}));
}

bool Deployment::Start(const std::vector<std::unique_ptr<Worker>>& workers) {
  PublishRoutes("r7", kOneService);
  for (const auto& worker : workers) worker->Publish(&store_);
  for (const auto& host : hosts_) host->Start();
  return std::all_of(hosts_.begin(), hosts_.end(),
                     [](const auto& host) { return host->WaitUntilReady(); });
}

}  // namespace heatherlatch::review
