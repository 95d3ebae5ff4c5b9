#include "standins/platform/platform_service.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace heatherlatch::standins {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kWatchPollInterval(10);
constexpr milliseconds kBlackHolePollInterval(50);
constexpr std::chrono::seconds kRateWindow(1);
constexpr std::size_t kMaxLists = 64;

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// @return the document with `in_service` of the zone changed, or std::nullopt
// if
//     the document does not contain the zone
std::optional<std::string> WithZone(const std::string& yaml,
                                    const std::string& zone, bool in_service) {
  try {
    YAML::Node root = YAML::Load(yaml);
    for (YAML::Node node : root["zones"]) {
      if (node["name"].as<std::string>("") != zone) continue;
      node["in_service"] = in_service;
      return YAML::Dump(root);
    }
  } catch (const YAML::Exception&) {
    // A document that is not YAML has no zones.
  }
  return std::nullopt;
}

HttpResponse JsonResponse(const Json& json) {
  return {200, {{"Content-Type", "application/json"}}, json.dump(), nullptr};
}

HttpResponse Error(int status, const std::string& text) {
  return {status, {{"Content-Type", "text/plain"}}, text + "\n", nullptr};
}

}  // namespace

PlatformService::PlatformService(PlatformServiceOptions options)
    : options_(std::move(options)),
      server_({options_.listen, options_.max_connections},
              [this](const HttpRequest& request) { return Handle(request); }) {
  lists_.push_back({SteadyClock::now(), R"({"hosts": [], "servers": []})"});
}

bool PlatformService::Start() { return server_.Start(); }

std::uint64_t PlatformService::Publish(std::string yaml) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::uint64_t revision = documents_.empty()
                                     ? options_.first_revision
                                     : documents_.rbegin()->first + 1;
  documents_[revision] = std::move(yaml);
  return revision;
}

std::optional<std::uint64_t> PlatformService::PublishZone(
    const std::string& zone, bool in_service) {
  std::string newest;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!documents_.empty()) newest = documents_.rbegin()->second;
  }
  const auto changed = WithZone(newest, zone, in_service);
  if (!changed) return std::nullopt;
  return Publish(*changed);
}

void PlatformService::SetHostList(std::string json) {
  const std::lock_guard<std::mutex> lock(mutex_);
  lists_.push_back({SteadyClock::now(), std::move(json)});
  if (lists_.size() > kMaxLists) lists_.pop_front();
}

void PlatformService::SetFault(const PlatformFault& fault) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fault_ = fault;
}

PlatformFault PlatformService::Fault() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return fault_;
}

PlatformCalls PlatformService::Calls() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return calls_;
}

HttpResponse PlatformService::Handle(const HttpRequest& request) {
  const bool is_control = request.path.rfind("/standin/", 0) == 0;
  return is_control ? HandleControl(request) : HandleRead(request);
}

HttpResponse PlatformService::HandleRead(const HttpRequest& request) {
  const bool configuration = request.path == "/v1/configuration";
  const bool list = request.path == "/v1/hosts";
  if (!configuration && !list) return Error(404, "no such call");
  if (request.method != "GET") return Error(405, "the platform is read only");
  if (Fault().down) {
    request.connection->Close();
    return Error(503, "down");
  }
  while (Fault().black_hole) {
    if (!request.connection->WaitWhileOpen(kBlackHolePollInterval)) {
      return Error(503, "down");
    }
  }
  if (!AdmitRead(configuration, SteadyClock::now())) {
    HttpResponse response = Error(429, "too many reads");
    response.headers.emplace_back("Retry-After", "1");
    return response;
  }
  request.connection->WaitWhileOpen(Fault().delay);
  return configuration ? WatchConfiguration(request) : ReadList();
}

bool PlatformService::AdmitRead(bool configuration, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  while (!recent_reads_.empty() && now - recent_reads_.front() >= kRateWindow) {
    recent_reads_.pop_front();
  }
  calls_.reads_in_last_second = static_cast<int>(recent_reads_.size());
  if (calls_.reads_in_last_second >= options_.reads_per_second) {
    ++calls_.refused;
    return false;
  }
  recent_reads_.push_back(now);
  calls_.reads_in_last_second += 1;
  calls_.most_reads_in_a_second =
      std::max(calls_.most_reads_in_a_second, calls_.reads_in_last_second);
  ++(configuration ? calls_.configuration_reads : calls_.list_reads);
  return true;
}

HttpResponse PlatformService::WatchConfiguration(const HttpRequest& request) {
  const std::uint64_t after = ParseNumber(request.Query("after"));
  const milliseconds wait(ParseNumber(request.Query("wait_ms")));
  const TimePoint end = SteadyClock::now() + wait;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++calls_.waiting;
  }
  std::optional<HttpResponse> response = NewestAfter(after);
  while (!response && SteadyClock::now() < end &&
         request.connection->WaitWhileOpen(kWatchPollInterval)) {
    response = NewestAfter(after);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  --calls_.waiting;
  return response.value_or(HttpResponse{204, {}, "", nullptr});
}

std::optional<HttpResponse> PlatformService::NewestAfter(
    std::uint64_t revision) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto newest = documents_.end();
  if (fault_.stale_revision) {
    newest = documents_.upper_bound(*fault_.stale_revision);
  }
  if (newest == documents_.begin()) return std::nullopt;
  --newest;
  if (newest->first <= revision) return std::nullopt;
  return HttpResponse{200,
                      {{"X-Revision", std::to_string(newest->first)},
                       {"Content-Type", "application/yaml"}},
                      newest->second,
                      nullptr};
}

HttpResponse PlatformService::ReadList() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint visible_until = SteadyClock::now() - fault_.list_lag;
  std::string json = lists_.front().json;
  for (const PublishedList& list : lists_) {
    if (list.since <= visible_until) json = list.json;
  }
  return {200, {{"Content-Type", "application/json"}}, json, nullptr};
}

HttpResponse PlatformService::HandleControl(const HttpRequest& request) {
  const std::string call = request.method + " " + request.path;
  if (call == "GET /standin/calls") return CallsResponse();
  if (call == "POST /standin/fault") return HandleFault(request);
  if (call == "POST /standin/zone") return HandleZone(request);
  if (call == "POST /standin/configuration") {
    return JsonResponse({{"revision", Publish(std::string(request.body))}});
  }
  if (call == "POST /standin/hosts") {
    if (!Json::accept(request.body)) return Error(400, "body is not JSON");
    SetHostList(std::string(request.body));
    return JsonResponse(Json::object());
  }
  return Error(404, "no such call");
}

HttpResponse PlatformService::HandleFault(const HttpRequest& request) {
  const Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) return Error(400, "body is not a JSON object");
  try {
    PlatformFault fault;
    fault.down = json.value("down", false);
    fault.black_hole = json.value("black_hole", false);
    fault.delay = milliseconds(json.value("delay_ms", 0));
    fault.list_lag = milliseconds(json.value("list_lag_ms", 0));
    const auto stale = json.find("stale_revision");
    if (stale != json.end()) fault.stale_revision = stale->get<std::uint64_t>();
    SetFault(fault);
  } catch (const Json::exception& error) {
    return Error(400, error.what());
  }
  return JsonResponse(Json::object());
}

HttpResponse PlatformService::HandleZone(const HttpRequest& request) {
  const Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) return Error(400, "body is not a JSON object");
  try {
    const auto zone = json.at("name").get<std::string>();
    const auto revision = PublishZone(zone, json.at("in_service").get<bool>());
    if (!revision) return Error(404, "zone \"" + zone + "\" does not exist");
    return JsonResponse({{"revision", *revision}});
  } catch (const Json::exception& error) {
    return Error(400, error.what());
  }
}

HttpResponse PlatformService::CallsResponse() const {
  const PlatformCalls calls = Calls();
  return JsonResponse(
      {{"configuration_reads", calls.configuration_reads},
       {"list_reads", calls.list_reads},
       {"refused", calls.refused},
       {"waiting", calls.waiting},
       {"reads_in_last_second", calls.reads_in_last_second},
       {"most_reads_in_a_second", calls.most_reads_in_a_second}});
}

}  // namespace heatherlatch::standins
