#include "review/lab/deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

#include "platform/names.h"

namespace review {
namespace {

using Json = nlohmann::json;
namespace wire = heatherlatch::wire;

// The command of the deploy file.
constexpr char kProgram[] = "target/bin/heatherlatch-host";
constexpr char kSettingsVariable[] = "HEATHERLATCH_NODE_FILE";
// How long a crashed worker is away: "back after some seconds".
constexpr milliseconds kRestartTime{2000};
constexpr milliseconds kStoreAnswerTime{4};
constexpr milliseconds kReadyTimeout{15000};
constexpr milliseconds kReadinessInterval{50};

std::string ReadTemplate(const std::string& name) {
  std::ifstream file("review/lab/wire/" + name);
  std::stringstream text;
  text << file.rdbuf();
  if (text.str().empty()) std::_Exit(2);
  std::string content = text.str();
  while (content.back() == '\n') content.pop_back();
  return content;
}

std::string EncodeBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const unsigned char byte = i + j < bytes.size() ? bytes[i + j] : 0;
      group = group << 8 | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

std::uint64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return 0;
  return std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

std::string Response(int status, const std::string& fields,
                     const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Field(const std::string& name, const std::string& value) {
  return name + ": " + value + "\r\n";
}

}  // namespace

void Record::Write(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", SecondsSince(start_));
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << time << line << "\n" << std::flush;
}

std::uint16_t Store::AddHost() {
  const auto port = std::make_shared<std::uint16_t>(0);
  listeners_.push_back(std::make_unique<Listener>(
      [this, port](const std::shared_ptr<Connection>& connection) {
        Serve(connection, *port);
      }));
  *port = listeners_.back()->port();
  return *port;
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  const Json item = {{"key", key},
                     {"value", EncodeBase64(value)},
                     {"revision", revision_},
                     {"created", revision_},
                     {"lease", 0}};
  items_[key] = item.dump();
  events_.push_back({revision_, items_[key]});
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  items_.erase(key);
  const Json event = {
      {"key", key}, {"revision", ++revision_}, {"deleted", true}};
  events_.push_back({revision_, event.dump()});
  changed_.notify_all();
}

void Store::Cut(std::uint16_t port, bool is_cut) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_cut) {
    cut_.insert(port);
  } else {
    cut_.erase(port);
  }
  changed_.notify_all();
}

void Store::Serve(const std::shared_ptr<Connection>& connection,
                  std::uint16_t port) {
  while (const auto request = connection->Read()) {
    const std::string answer = Answer(request->Word(1));
    std::this_thread::sleep_for(kStoreAnswerTime);
    {
      // A connection on which an answer is lost returns nothing further.
      std::unique_lock<std::mutex> lock(mutex_);
      if (cut_.count(port) > 0) {
        changed_.wait(lock, [&] { return cut_.count(port) == 0; });
        return;
      }
    }
    if (!connection->Send(answer)) return;
  }
}

std::string Store::Answer(const std::string& target) {
  std::unique_lock<std::mutex> lock(mutex_);
  const bool is_watch = target.find("waitMs=") != std::string::npos;
  const std::uint64_t after = QueryNumber(target, "after");
  std::string list;
  if (is_watch) {
    changed_.wait_for(lock, milliseconds(QueryNumber(target, "waitMs")),
                      [&] { return revision_ > after; });
    for (const Event& event : events_) {
      if (event.revision <= after) continue;
      list += (list.empty() ? "" : ",") + event.json;
    }
  } else {
    for (const auto& [key, json] : items_) {
      list += (list.empty() ? "" : ",") + json;
    }
  }
  return Response(
      200, "Content-Type: application/json\r\n",
      std::string(is_watch ? "{\"events\":[" : "{\"items\":[") + list +
          "],\"hasMore\":false,\"asOf\":" + std::to_string(revision_) + "}");
}

Worker::Worker(WorkerOptions options, Record* record)
    : options_(std::move(options)), record_(record) {
  listener_ = std::make_unique<Listener>(
      [this](const std::shared_ptr<Connection>& connection) {
        Serve(connection);
      });
}

std::string Worker::Entry(const std::string& state) const {
  static const std::string entry = ReadTemplate("server.json");
  return Fill(entry, {{"address", LoopbackEndpoint(listener_->port())},
                      {"zone", options_.zone},
                      {"slots", std::to_string(options_.slots)},
                      {"state", state}});
}

std::string Worker::Key() const { return wire::kServersPrefix + options_.id; }

void Worker::Leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  leaving_ = true;
}

std::vector<Worker::Arrival> Worker::Arrivals() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return arrivals_;
}

void Worker::Serve(const std::shared_ptr<Connection>& connection) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.insert(connection);
  }
  while (const auto request = connection->Read()) {
    const bool keep = request->Word(1) == "/health"
                          ? ServeHealth(connection.get())
                          : ServeRequest(connection.get(), *request);
    if (!keep) break;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(connection);
}

std::string Worker::Load() const {
  return std::to_string(running_) + ",0," + std::to_string(options_.slots);
}

bool Worker::ServeHealth(Connection* connection) {
  std::unique_lock<std::mutex> lock(mutex_);
  const std::string answer =
      Response(leaving_ ? 503 : 200,
               Field(wire::kServerNameField, options_.id) +
                   Field(wire::kLoadField, Load()),
               "");
  lock.unlock();
  return connection->Send(answer);
}

bool Worker::ServeRequest(Connection* connection, const Message& request) {
  const std::string id = request.Field(wire::kRequestIdField);
  const std::string echo = Field(wire::kRequestIdField, id);
  const bool is_other =
      request.Field(wire::kExpectedServerField) != options_.id;
  std::unique_lock<std::mutex> lock(mutex_);
  const bool runs = !is_other && running_ < options_.slots;
  arrivals_.push_back({Clock::now(), id, runs});
  if (is_other) {
    return connection->Send(
        Response(421, echo + Field(wire::kServerNameField, options_.id), ""));
  }
  if (!runs) {
    return connection->Send(Response(
        503,
        echo + Field(wire::kNotRunField, "1") + Field(wire::kLoadField, Load()),
        ""));
  }
  ++running_;
  lock.unlock();
  record_->Write("worker " + options_.id + " runs " + id);
  if (!options_.crashing_path.empty() &&
      request.Word(1).find(options_.crashing_path) != std::string::npos) {
    Crash();
    return false;
  }
  std::this_thread::sleep_for(options_.work);
  lock.lock();
  // It tells the load with the request that it has just run.
  const std::string load = Load();
  --running_;
  lock.unlock();
  std::string answer = Response(
      200,
      echo + Field(wire::kSignatureField, "s") + Field(wire::kLoadField, load),
      std::string(options_.body_bytes, 'w'));
  if (request.Word(0) == "HEAD") answer.resize(answer.find("\r\n\r\n") + 4);
  return connection->Send(answer);
}

void Worker::Crash() {
  record_->Write("worker " + options_.id + " crashes");
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::exchange(down_, true)) return;
    listener_->Pause();
    for (const auto& connection : connections_) connection->Reset();
  }
  std::thread([this] {
    std::this_thread::sleep_for(kRestartTime);
    const std::lock_guard<std::mutex> lock(mutex_);
    running_ = 0;
    down_ = false;
    listener_->Resume();
  }).detach();
}

Host::Host(std::string name, std::string zone, Store* store)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      callers_(FreePort()),
      readiness_(FreePort()),
      peers_(FreePort()),
      metrics_(FreePort()),
      store_port_(store->AddHost()) {}

Host::~Host() {
  if (pid_ > 0 && !exit_status_) {
    Signal(SIGKILL);
    (void)::waitpid(pid_, nullptr, 0);
  }
}

void Host::Start(const std::vector<std::string>& seeds) {
  std::string seed_list;
  for (const std::string& seed : seeds) {
    seed_list += (seed_list.empty() ? "\"" : ",\"") + seed + "\"";
  }
  const char* folder = std::getenv("REVIEW_FOLDER");
  const std::string path =
      std::string(folder == nullptr ? "/tmp" : folder) + "/" + name_;
  std::ofstream(path + ".yaml")
      << Fill(ReadTemplate("settings.yaml"),
              {{"name", name_},
               {"zone", zone_},
               {"region", zone_.substr(0, zone_.find('-'))},
               {"callers", LoopbackEndpoint(callers_)},
               {"readiness", LoopbackEndpoint(readiness_)},
               {"peers", LoopbackEndpoint(peers_)},
               {"metrics", LoopbackEndpoint(metrics_)},
               {"platform", LoopbackEndpoint(store_port_)},
               {"seeds", seed_list}});
  const std::string log = path + ".out";
  const std::string variable =
      std::string(kSettingsVariable) + "=" + path + ".yaml";
  pid_ = ::fork();
  if (pid_ != 0) return;
  (void)::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int fd =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  (void)::dup2(fd, STDOUT_FILENO);
  (void)::dup2(fd, STDERR_FILENO);
  char* const arguments[] = {const_cast<char*>(kProgram), nullptr};
  char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
  (void)::execve(kProgram, arguments, environment);
  std::_Exit(127);
}

bool Host::WaitUntilReady() const {
  const auto deadline = Clock::now() + kReadyTimeout;
  while (Clock::now() < deadline) {
    if (const auto connection = Connection::Open(readiness_)) {
      connection->SetReadTimeout(milliseconds(1000));
      const auto answer =
          connection->Send("GET " + std::string(wire::kReadinessPath) +
                           " HTTP/1.1\r\nHost: h\r\n\r\n")
              ? connection->Read()
              : std::nullopt;
      if (answer && answer->Status() == 200) return true;
    }
    std::this_thread::sleep_for(kReadinessInterval);
  }
  return false;
}

void Host::Signal(int signal) const { (void)::kill(pid_, signal); }

std::optional<int> Host::ExitStatus() {
  int status = 0;
  if (!exit_status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_status_ = status;
  }
  return exit_status_;
}

void Publish(Store* store, int version,
             const std::vector<RouteOptions>& routes) {
  const std::string route_template = ReadTemplate("route.json");
  std::string list;
  for (const RouteOptions& route : routes) {
    list += list.empty() ? "" : ",";
    list += Fill(route_template, {{"name", route.name},
                                  {"kind", route.kind},
                                  {"timeout", std::to_string(route.timeout_ms)},
                                  {"target", std::to_string(route.target_ms)}});
  }
  store->Put(wire::kRouteTableKey,
             Fill(ReadTemplate("configuration.json"),
                  {{"version", std::to_string(version)}, {"routes", list}}));
}

std::string ToRequest(const Attempt& attempt) {
  return attempt.method + " " + attempt.path +
         " HTTP/1.1\r\nHost: " + attempt.route + ".example\r\n" +
         Field(wire::kRequestIdField, attempt.id) +
         Field(wire::kDeadlineField, std::to_string(attempt.deadline_ms)) +
         "\r\n";
}

int Call(const Host& host, const Attempt& attempt) {
  const auto connection = Connection::Open(host.caller_port());
  if (!connection) return 0;
  connection->SetReadTimeout(milliseconds(attempt.deadline_ms));
  if (!connection->Send(ToRequest(attempt))) return 0;
  const auto answer = connection->Read(attempt.method == "HEAD");
  return answer ? answer->Status() : 0;
}

}  // namespace review
