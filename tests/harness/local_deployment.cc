#include "tests/harness/local_deployment.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace heatherlatch::testing {
namespace {

using standins::BackendServerOptions;

constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr auto kStopTimeout = std::chrono::seconds(60);

// A service and the zone of each of its servers.
struct ServicePlacement {
  std::string service;
  std::vector<std::string> zones;
};

std::vector<ServicePlacement> ServicePlacements() {
  return {{"reads",
           {"north-a", "north-a", "north-b", "north-b", "south-a", "south-a",
            "south-b", "south-b"}},
          {"writes", {"north-a", "north-a", "north-b", "north-b"}},
          {"downloads", {"north-a", "north-b"}}};
}

// Finds a port that this process has not used before and that is free. The
// range is below the ephemeral ports, which outgoing connections use.
Endpoint UnusedEndpoint() {
  constexpr std::uint16_t kFirstPort = 20000;
  constexpr int kPorts = 12000;
  static int next = static_cast<int>(getpid()) % kPorts;
  while (true) {
    next = (next + 1) % kPorts;
    Endpoint endpoint{"127.0.0.1",
                      static_cast<std::uint16_t>(kFirstPort + next)};
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int bound =
        bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    close(socket);
    if (bound == 0) return endpoint;
  }
}

std::string MakeTempDirectory() {
  std::string pattern =
      std::filesystem::temp_directory_path() / "heatherlatch-test-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error(
        "cannot create a temporary directory for the deployment");
  }
  return pattern;
}

std::string Milliseconds(std::chrono::milliseconds time) {
  return std::to_string(time.count()) + "ms";
}

}  // namespace

bool Eventually(const std::function<bool()>& condition,
                std::chrono::seconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

LocalDeployment::LocalDeployment(DeploymentOptions options)
    : options_(std::move(options)),
      directory_(MakeTempDirectory()),
      platform_endpoint_(UnusedEndpoint()),
      unreachable_endpoint_(UnusedEndpoint()) {
  for (std::size_t i = 0; i < options_.hosts.size(); ++i) {
    hosts_.push_back(
        Host{UnusedEndpoint(), UnusedEndpoint(), UnusedEndpoint(), nullptr});
  }
  for (const ServicePlacement& placement : ServicePlacements()) {
    int number = 0;
    for (const std::string& zone : placement.zones) {
      BackendServerOptions server;
      server.name = placement.service + "-" + std::to_string(++number);
      server.listen = UnusedEndpoint();
      server.tail_share = 0;
      server.service_mean = options_.read_time;
      server.cold_time = options_.cold_time;
      server.seed = static_cast<std::uint64_t>(number);
      if (placement.service == "writes") {
        server.service_mean = options_.write_time;
      }
      if (placement.service == "downloads") {
        server.response_bytes = options_.download_bytes;
        server.bytes_per_second = options_.download_bytes_per_second;
      }
      servers_.push_back(server);
      server_zones_.push_back(zone);
    }
  }
  fleet_ = std::make_unique<standins::BackendFleet>(
      standins::BackendFleetOptions{UnusedEndpoint(), servers_});
  if (const auto problem = fleet_->Start()) {
    throw std::runtime_error("cannot listen on " + ToString(problem->endpoint));
  }
  standins::PlatformServiceOptions platform;
  platform.listen = platform_endpoint_;
  platform_ = std::make_unique<standins::PlatformService>(platform);
  Publish();
  SetLeavingServers({});
  if (!platform_->Start()) throw std::runtime_error("platform cannot listen");
}

LocalDeployment::~LocalDeployment() {
  for (Host& host : hosts_) host.process.reset();
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void LocalDeployment::StartAll() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) StartHost(i);
  for (std::size_t i = 0; i < hosts_.size(); ++i) WaitUntilReady(i);
}

void LocalDeployment::StartHost(std::size_t host) {
  const std::string& name = options_.hosts[host].name;
  WriteFile(name + ".yaml", SettingsOf(host));
  hosts_[host].process = std::make_unique<ChildProcess>(
      std::vector<std::string>{HEATHERLATCH_ENTRY_PROGRAM, "--settings",
                               directory_ + "/" + name + ".yaml"},
      directory_ + "/" + name + ".out");
}

void LocalDeployment::WaitUntilReady(std::size_t host) {
  const bool ready = Eventually([&] {
    HttpCall call;
    call.target = "/heatherlatch/v1/ready";
    return SendHttp(hosts_[host].caller, call).status == 200;
  });
  if (!ready) {
    throw std::runtime_error(options_.hosts[host].name +
                             " is not ready after 30 s: " + Log(host));
  }
}

void LocalDeployment::Kill(std::size_t host) {
  hosts_[host].process->Signal(SIGKILL);
  hosts_[host].process->WaitForEnd(kStopTimeout);
}

void LocalDeployment::Pause(std::size_t host) {
  hosts_[host].process->Signal(SIGSTOP);
}

void LocalDeployment::Resume(std::size_t host) {
  hosts_[host].process->Signal(SIGCONT);
}

void LocalDeployment::BeginStop(std::size_t host) {
  hosts_[host].process->Signal(SIGTERM);
}

int LocalDeployment::WaitForStop(std::size_t host) {
  const auto code = hosts_[host].process->WaitForEnd(kStopTimeout);
  if (!code) throw std::runtime_error("the host did not stop within 60 s");
  return *code;
}

std::uint64_t LocalDeployment::Publish(const std::set<std::string>& zones_out) {
  return platform_->Publish(Objects(zones_out));
}

std::uint64_t LocalDeployment::PublishText(const std::string& yaml) {
  return platform_->Publish(yaml);
}

std::string LocalDeployment::Objects(
    const std::set<std::string>& zones_out) const {
  std::ostringstream yaml;
  yaml << "regions: [{name: north}, {name: south}]\nzones:\n";
  for (const std::string zone : {"north-a", "north-b", "south-a", "south-b"}) {
    yaml << "  - {name: " << zone << ", region: " << zone.substr(0, 5)
         << ", in_service: " << (zones_out.count(zone) > 0 ? "false" : "true")
         << "}\n";
  }
  yaml << "services:\n";
  for (const ServicePlacement& placement : ServicePlacements()) {
    yaml << "  - name: " << placement.service << "\n    slots_per_server: 3\n"
         << "    connections_per_server: 260\n"
         << "    probe_cost: " << Milliseconds(options_.probe_cost) << "\n"
         << "    probe_budget: " << options_.probe_budget << "\n"
         << (placement.service == "downloads" ? "    work_class: heavy\n" : "")
         << "    servers:\n"
         << ServersYaml(placement.service);
  }
  yaml << "routes:\n"
       << "  - {name: reads, path_prefix: /reads, methods: [GET], "
          "service: reads, idempotent: true, deadline: 2s}\n"
       << "  - {name: writes, path_prefix: /writes, methods: [POST], "
          "service: writes, home_regions: [north], deadline: "
       << options_.write_deadline.count() << "s}\n"
       << "  - {name: downloads, path_prefix: /downloads, methods: [GET], "
          "service: downloads, idempotent: true, deadline: 60s}\n"
       << "organisations: [{name: shops, weight: 3}, {name: auditors}]\n"
       << "limits: {resend_window: " << options_.resend_window.count()
       << "s}\n";
  return yaml.str();
}

std::string LocalDeployment::ServersYaml(const std::string& service) const {
  std::ostringstream yaml;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const std::string& name = servers_[i].name;
    if (name.rfind(service + "-", 0) != 0) continue;
    yaml << "      - {name: " << name << ", zone: " << server_zones_[i]
         << ", endpoint: \"" << ToString(servers_[i].listen) << "\"}\n";
  }
  return yaml.str();
}

void LocalDeployment::SetLeavingServers(const std::set<std::string>& leaving) {
  nlohmann::json list = {{"hosts", nlohmann::json::array()},
                         {"servers", nlohmann::json::array()}};
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const HostOptions& host_options = options_.hosts[i];
    list["hosts"].push_back({{"name", host_options.name},
                             {"region", host_options.region},
                             {"zone", host_options.zone},
                             {"peer_endpoint", ToString(hosts_[i].peer)},
                             {"state", "live"}});
  }
  for (const std::string& server : leaving) {
    list["servers"].push_back({{"name", server}, {"state", "leaving"}});
  }
  platform_->SetHostList(list.dump());
}

HttpResponse LocalDeployment::Send(std::size_t host, HttpCall call) const {
  call.headers.push_back("Heatherlatch-Organisation: shops");
  return SendHttp(hosts_[host].caller, call);
}

HttpResponse LocalDeployment::Read(std::size_t host,
                                   const std::string& path) const {
  HttpCall call;
  call.target = path;
  return Send(host, call);
}

HttpResponse LocalDeployment::Download(std::size_t host) const {
  return Read(host, "/downloads/plan");
}

HttpResponse LocalDeployment::WriteKey(std::size_t host, const std::string& key,
                                       const std::string& body) const {
  HttpCall call;
  call.method = "POST";
  call.target = "/writes/x";
  call.headers = {"Idempotency-Key: " + key};
  call.body = body;
  return Send(host, call);
}

HttpResponse LocalDeployment::WriteTicket(std::size_t host,
                                          const std::string& ticket,
                                          const std::string& body) const {
  HttpCall call;
  call.method = "POST";
  call.target = "/writes/x";
  call.headers = {"Heatherlatch-Ticket: " + ticket};
  call.body = body;
  return Send(host, call);
}

std::string LocalDeployment::IssueTicket(std::size_t host) const {
  HttpCall call;
  call.method = "POST";
  call.target = "/heatherlatch/v1/tickets";
  const HttpResponse response = Send(host, call);
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != 200 || json.is_discarded()) {
    throw std::runtime_error("request for a ticket failed: status " +
                             std::to_string(response.status) + " " +
                             response.body);
  }
  return json["tickets"][0];
}

void LocalDeployment::WaitUntilKeysRun(std::size_t host) const {
  int number = 0;
  int consecutive = 0;
  // Different keys have different owners; consecutive successes show that all
  // owners accept keys.
  constexpr int kRequiredRuns = 12;
  const bool ready = Eventually(
      [&] {
        const std::string key =
            "probe-" + std::to_string(host) + "-" + std::to_string(number++);
        consecutive =
            WriteKey(host, key).Outcome() == "ran" ? consecutive + 1 : 0;
        return consecutive >= kRequiredRuns;
      },
      std::chrono::seconds(60));
  if (!ready) throw std::runtime_error("new keys do not run: " + Log(host));
}

nlohmann::json LocalDeployment::Status(std::size_t host) const {
  HttpCall call;
  call.target = "/status";
  call.timeout = std::chrono::seconds(2);
  const HttpResponse response = SendHttp(hosts_[host].admin, call);
  auto json = nlohmann::json::parse(response.body, nullptr, false);
  return json.is_discarded() ? nlohmann::json::object() : json;
}

std::string LocalDeployment::Log(std::size_t host) const {
  const std::string path = directory_ + "/" + options_.hosts[host].name;
  std::ostringstream text;
  for (const char* ending : {".out", ".log"}) {
    std::ifstream file(path + ending);
    // Inserting the buffer of an empty file would set failbit on `text`.
    if (file.peek() != std::ifstream::traits_type::eof()) text << file.rdbuf();
  }
  return text.str();
}

standins::BackendServer& LocalDeployment::server(const std::string& name) {
  standins::BackendServer* found = fleet_->Find(name);
  if (found == nullptr) throw std::runtime_error("no server is named " + name);
  return *found;
}

void LocalDeployment::ForServers(
    const std::string& service,
    const std::function<void(standins::BackendServer&)>& action) {
  for (const BackendServerOptions& options : servers_) {
    if (options.name.rfind(service + "-", 0) == 0) action(server(options.name));
  }
}

std::vector<standins::Run> LocalDeployment::RunsOf(
    const std::string& key) const {
  std::vector<standins::Run> runs;
  for (const standins::Run& run : AllRuns()) {
    if (run.key == key) runs.push_back(run);
  }
  return runs;
}

std::vector<standins::Run> LocalDeployment::AllRuns() const {
  return fleet_->runs().RunsFrom(0);
}

std::vector<std::string> LocalDeployment::RepeatedKeys() const {
  return fleet_->runs().RepeatedKeys();
}

std::string LocalDeployment::SettingsOf(std::size_t host) const {
  const HostOptions& host_options = options_.hosts[host];
  const Endpoint& platform = host_options.platform_reachable
                                 ? platform_endpoint_
                                 : unreachable_endpoint_;
  std::ostringstream yaml;
  yaml << "name: " << host_options.name << "\nregion: " << host_options.region
       << "\nzone: " << host_options.zone << "\ncaller_listen: \""
       << ToString(hosts_[host].caller) << "\"\nadmin_listen: \""
       << ToString(hosts_[host].admin) << "\"\npeer_listen: \""
       << ToString(hosts_[host].peer) << "\"\nplatform: \""
       << ToString(platform) << "\"\npeer_keys: [\"a-key-for-tests-only\"]\n"
       << "log_path: \"" << directory_ << "/" << host_options.name << ".log\"\n"
       << "stop_wait: 30s\n";
  return yaml.str();
}

void LocalDeployment::WriteFile(const std::string& name,
                                const std::string& text) const {
  std::ofstream(directory_ + "/" + name) << text;
}

}  // namespace heatherlatch::testing
