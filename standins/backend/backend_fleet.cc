#include "standins/backend/backend_fleet.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace heatherlatch::standins {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kControlConnections = 32;
constexpr milliseconds kRestartPollInterval(10);

HttpResponse JsonResponse(const Json& json) {
  return {200, {{"Content-Type", "application/json"}}, json.dump(), nullptr};
}

HttpResponse Error(int status, const std::string& text) {
  return {status, {{"Content-Type", "text/plain"}}, text + "\n", nullptr};
}

double WallMilliseconds(WallTime time) {
  return std::chrono::duration<double, std::milli>(time.time_since_epoch())
      .count();
}

Json ToJson(const Run& run) {
  Json json = {{"key", run.key},
               {"request_id", run.request_id},
               {"server", run.server},
               {"boot_id", run.boot_id},
               {"start_ms", WallMilliseconds(run.start)},
               {"end", ToString(run.end)},
               {"in_flight", run.in_flight}};
  if (run.end != RunEnd::kRunning) {
    json["end_ms"] = WallMilliseconds(run.end_time);
  }
  return json;
}

Json ToJson(const BackendServer& server) {
  const BackendServerCounts counts = server.Counts();
  return {{"name", server.options().name},
          {"endpoint", ToString(server.options().listen)},
          {"slots", server.options().slots},
          {"boot_id", counts.boot_id},
          {"requests", counts.requests},
          {"probes", counts.probes},
          {"completed", counts.completed},
          {"cancelled", counts.cancelled},
          {"shed", counts.shed},
          {"refused_draining", counts.refused_draining},
          {"refused_deadline", counts.refused_deadline},
          {"overruns", counts.overruns},
          {"cold_overruns", counts.cold_overruns},
          {"crashes", counts.crashes},
          {"in_flight", counts.in_flight},
          {"most_in_flight", counts.most_in_flight},
          {"connections", counts.connections}};
}

// Updates the fields of `fault` that are present in `json`.
void UpdateFault(const Json& json, BackendFault* fault) {
  fault->slow_factor = json.value("slow_factor", fault->slow_factor);
  fault->draining = json.value("drain", fault->draining);
  fault->black_hole = json.value("black_hole", fault->black_hole);
  fault->report_idle = json.value("lie", fault->report_idle);
  fault->truncate_bodies = json.value("half_bodies", fault->truncate_bodies);
  fault->omit_status_headers =
      json.value("no_signs", fault->omit_status_headers);
  fault->crash_marker = json.value("crash_on", fault->crash_marker);
}

void ApplyFault(const Json& json, BackendServer* server) {
  BackendFault fault =
      json.value("clear", false) ? BackendFault() : server->Fault();
  UpdateFault(json, &fault);
  server->SetFault(fault);
  if (json.contains("cold_ms")) {
    server->TurnCold(milliseconds(json["cold_ms"].get<int>()));
  }
  if (json.contains("crash_ms")) {
    server->Crash(milliseconds(json["crash_ms"].get<int>()));
  }
}

milliseconds Milliseconds(const YAML::Node& node, const char* field,
                          Duration default_value) {
  const auto count =
      std::chrono::duration_cast<milliseconds>(default_value).count();
  return milliseconds(node[field].as<std::int64_t>(count));
}

OverloadPolicy ReadOverload(const YAML::Node& node) {
  const auto text = node["overload"].as<std::string>("shed");
  if (text == "queue") return OverloadPolicy::kQueue;
  if (text == "slow-down") return OverloadPolicy::kSlowDown;
  if (text == "shed") return OverloadPolicy::kShed;
  throw YAML::Exception(node.Mark(),
                        "overload is none of shed, queue, "
                        "slow-down");
}

BackendGroupOptions ReadGroup(const YAML::Node& node) {
  BackendGroupOptions group;
  BackendServerOptions& server = group.first;
  group.count = node["count"].as<int>(group.count);
  server.name = node["name"].as<std::string>();
  server.listen.address = node["address"].as<std::string>("127.0.0.1");
  server.listen.port = node["first_port"].as<std::uint16_t>();
  server.slots = node["slots"].as<int>(server.slots);
  server.max_connections =
      node["max_connections"].as<int>(server.max_connections);
  server.connect_time = Milliseconds(node, "connect_ms", server.connect_time);
  server.service_mean = FromMilliseconds(
      node["service_mean_ms"].as<double>(ToMilliseconds(server.service_mean)));
  server.tail_share = node["tail_share"].as<double>(server.tail_share);
  server.tail_factor = node["tail_factor"].as<double>(server.tail_factor);
  server.seed = node["seed"].as<std::uint64_t>(server.seed);
  server.response_bytes =
      node["answer_bytes"].as<std::uint64_t>(server.response_bytes);
  server.bytes_per_second =
      node["bytes_per_second"].as<std::uint64_t>(server.bytes_per_second);
  server.overload = ReadOverload(node);
  server.cold_time = Milliseconds(node, "cold_ms", server.cold_time);
  server.cold_slots = node["cold_slots"].as<int>(server.cold_slots);
  server.cold_factor = node["cold_factor"].as<double>(server.cold_factor);
  server.restart_time = Milliseconds(node, "restart_ms", server.restart_time);
  server.health_time = Milliseconds(node, "health_ms", server.health_time);
  server.health_lag = Milliseconds(node, "health_lag_ms", server.health_lag);
  return group;
}

}  // namespace

std::vector<BackendServerOptions> ExpandGroup(
    const BackendGroupOptions& group) {
  std::vector<BackendServerOptions> servers;
  for (int i = 0; i < group.count; ++i) {
    BackendServerOptions server = group.first;
    server.name += "-" + std::to_string(i + 1);
    server.listen.port = static_cast<std::uint16_t>(server.listen.port + i);
    server.seed += static_cast<std::uint64_t>(i);
    servers.push_back(std::move(server));
  }
  return servers;
}

std::variant<BackendFleetOptions, FleetProblem> ReadFleet(
    const std::string& yaml) {
  try {
    const YAML::Node root = YAML::Load(yaml);
    BackendFleetOptions fleet;
    fleet.control.address = "127.0.0.1";
    fleet.control.port = root["control_port"].as<std::uint16_t>();
    for (const YAML::Node& node : root["groups"]) {
      for (BackendServerOptions& server : ExpandGroup(ReadGroup(node))) {
        fleet.servers.push_back(std::move(server));
      }
    }
    return fleet;
  } catch (const YAML::Exception& error) {
    return FleetProblem{error.what()};
  }
}

BackendFleet::BackendFleet(BackendFleetOptions options)
    : options_(std::move(options)),
      control_({options_.control, kControlConnections},
               [this](const HttpRequest& request) {
                 return HandleControl(request);
               }) {
  const auto on_crashed = [this](BackendServer* server) {
    const std::lock_guard<std::mutex> lock(mutex_);
    crashed_.push_back(server);
    changed_.notify_one();
  };
  for (const BackendServerOptions& server : options_.servers) {
    servers_.push_back(
        std::make_unique<BackendServer>(server, &runs_, on_crashed));
  }
}

BackendFleet::~BackendFleet() {
  control_.Stop();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_one();
  }
  if (restarter_.joinable()) restarter_.join();
  for (const auto& server : servers_) server->Stop();
}

std::optional<ListenProblem> BackendFleet::Start() {
  for (const auto& server : servers_) {
    if (!server->Start()) return ListenProblem{server->options().listen};
  }
  if (!control_.Start()) return ListenProblem{options_.control};
  restarter_ = std::thread([this] { RestartCrashed(); });
  return std::nullopt;
}

BackendServer* BackendFleet::Find(const std::string& name) {
  const std::vector<BackendServer*> found = Matching(name);
  return found.empty() ? nullptr : found.front();
}

void BackendFleet::RestartCrashed() {
  std::vector<BackendServer*> down;
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    const std::vector<BackendServer*> crashed = std::exchange(crashed_, {});
    lock.unlock();
    for (BackendServer* server : crashed) {
      server->Stop();
      down.push_back(server);
    }
    const TimePoint now = SteadyClock::now();
    const auto restarted = [now](BackendServer* server) {
      return server->RestartAt() <= now && server->Restart();
    };
    down.erase(std::remove_if(down.begin(), down.end(), restarted), down.end());
    lock.lock();
    if (crashed_.empty() && down.empty() && !stopping_) {
      changed_.wait(lock);
    } else if (crashed_.empty() && !stopping_) {
      changed_.wait_for(lock, kRestartPollInterval);
    }
  }
}

std::vector<BackendServer*> BackendFleet::Matching(const std::string& pattern) {
  const bool is_prefix = !pattern.empty() && pattern.back() == '*';
  const std::string prefix =
      is_prefix ? pattern.substr(0, pattern.size() - 1) : pattern;
  std::vector<BackendServer*> found;
  for (const auto& server : servers_) {
    const std::string& name = server->options().name;
    const bool matches =
        is_prefix ? name.rfind(prefix, 0) == 0 : name == pattern;
    if (matches) found.push_back(server.get());
  }
  return found;
}

HttpResponse BackendFleet::HandleControl(const HttpRequest& request) {
  const std::string call = request.method + " " + request.path;
  if (call == "GET /standin/runs") return RunsResponse(request);
  if (call == "GET /standin/servers") return ServersResponse();
  if (call == "GET /standin/repeated-keys") {
    return JsonResponse({{"keys", runs_.RepeatedKeys()}});
  }
  if (call == "POST /standin/fault") return HandleFault(request);
  return Error(404, "no such call");
}

HttpResponse BackendFleet::HandleFault(const HttpRequest& request) {
  const Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) return Error(400, "body is not a JSON object");
  try {
    const auto pattern = json.value("server", std::string("*"));
    const std::vector<BackendServer*> servers = Matching(pattern);
    if (servers.empty()) {
      return Error(404, "server \"" + pattern + "\" does not exist");
    }
    for (BackendServer* server : servers) ApplyFault(json, server);
    return JsonResponse({{"servers", servers.size()}});
  } catch (const Json::exception& error) {
    return Error(400, error.what());
  }
}

HttpResponse BackendFleet::RunsResponse(const HttpRequest& request) const {
  const std::string from = request.Query("from");
  RunId first = 0;
  std::from_chars(from.data(), from.data() + from.size(), first);
  Json runs = Json::array();
  for (const Run& run : runs_.RunsFrom(first)) runs.push_back(ToJson(run));
  const std::size_t next = first + runs.size();
  return JsonResponse({{"runs", std::move(runs)}, {"next", next}});
}

HttpResponse BackendFleet::ServersResponse() const {
  Json servers = Json::array();
  for (const auto& server : servers_) servers.push_back(ToJson(*server));
  return JsonResponse({{"servers", std::move(servers)}});
}

}  // namespace heatherlatch::standins
