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
constexpr std::size_t kKeptLists = 64;

std::uint64_t NumberOf(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// @return the document with the zone changed; none where it has no such zone
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

HttpAnswer JsonAnswer(const Json& json) {
  return {200, {{"Content-Type", "application/json"}}, json.dump(), nullptr};
}

HttpAnswer Problem(int status, const std::string& text) {
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

void PlatformService::SetList(std::string json) {
  const std::lock_guard<std::mutex> lock(mutex_);
  lists_.push_back({SteadyClock::now(), std::move(json)});
  if (lists_.size() > kKeptLists) lists_.pop_front();
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

HttpAnswer PlatformService::Handle(const HttpRequest& request) {
  const bool is_control = request.path.rfind("/standin/", 0) == 0;
  return is_control ? HandleControl(request) : HandleRead(request);
}

HttpAnswer PlatformService::HandleRead(const HttpRequest& request) {
  const bool configuration = request.path == "/v1/configuration";
  const bool list = request.path == "/v1/hosts";
  if (!configuration && !list) return Problem(404, "no such call");
  if (request.method != "GET") return Problem(405, "the platform is read only");
  if (Fault().down) {
    request.connection->Cut();
    return Problem(503, "down");
  }
  while (Fault().black_hole) {
    if (!request.connection->WaitOpen(kBlackHolePollInterval)) {
      return Problem(503, "down");
    }
  }
  if (!TakeRead(configuration, SteadyClock::now())) {
    HttpAnswer answer = Problem(429, "too many reads");
    answer.headers.emplace_back("Retry-After", "1");
    return answer;
  }
  request.connection->WaitOpen(Fault().delay);
  return configuration ? WatchConfiguration(request) : ReadList();
}

bool PlatformService::TakeRead(bool configuration, TimePoint now) {
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

HttpAnswer PlatformService::WatchConfiguration(const HttpRequest& request) {
  const std::uint64_t after = NumberOf(request.Query("after"));
  const milliseconds wait(NumberOf(request.Query("wait_ms")));
  const TimePoint end = SteadyClock::now() + wait;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++calls_.waiting;
  }
  std::optional<HttpAnswer> answer = NewestAfter(after);
  while (!answer && SteadyClock::now() < end &&
         request.connection->WaitOpen(kWatchPollInterval)) {
    answer = NewestAfter(after);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  --calls_.waiting;
  return answer.value_or(HttpAnswer{204, {}, "", nullptr});
}

std::optional<HttpAnswer> PlatformService::NewestAfter(
    std::uint64_t revision) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto newest = documents_.end();
  if (fault_.stale_revision) {
    newest = documents_.upper_bound(*fault_.stale_revision);
  }
  if (newest == documents_.begin()) return std::nullopt;
  --newest;
  if (newest->first <= revision) return std::nullopt;
  return HttpAnswer{200,
                    {{"X-Revision", std::to_string(newest->first)},
                     {"Content-Type", "application/yaml"}},
                    newest->second,
                    nullptr};
}

HttpAnswer PlatformService::ReadList() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint newest_shown = SteadyClock::now() - fault_.list_lag;
  std::string json = lists_.front().json;
  for (const PublishedList& list : lists_) {
    if (list.since <= newest_shown) json = list.json;
  }
  return {200, {{"Content-Type", "application/json"}}, json, nullptr};
}

HttpAnswer PlatformService::HandleControl(const HttpRequest& request) {
  const std::string call = request.method + " " + request.path;
  if (call == "GET /standin/calls") return CallsAnswer();
  if (call == "POST /standin/fault") return HandleFault(request);
  if (call == "POST /standin/zone") return HandleZone(request);
  if (call == "POST /standin/configuration") {
    return JsonAnswer({{"revision", Publish(std::string(request.body))}});
  }
  if (call == "POST /standin/hosts") {
    if (!Json::accept(request.body)) return Problem(400, "body is not JSON");
    SetList(std::string(request.body));
    return JsonAnswer(Json::object());
  }
  return Problem(404, "no such call");
}

HttpAnswer PlatformService::HandleFault(const HttpRequest& request) {
  const Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) return Problem(400, "body is not a JSON object");
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
    return Problem(400, error.what());
  }
  return JsonAnswer(Json::object());
}

HttpAnswer PlatformService::HandleZone(const HttpRequest& request) {
  const Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) return Problem(400, "body is not a JSON object");
  try {
    const auto zone = json.at("name").get<std::string>();
    const auto revision = PublishZone(zone, json.at("in_service").get<bool>());
    if (!revision) return Problem(404, "zone \"" + zone + "\" does not exist");
    return JsonAnswer({{"revision", *revision}});
  } catch (const Json::exception& error) {
    return Problem(400, error.what());
  }
}

HttpAnswer PlatformService::CallsAnswer() const {
  const PlatformCalls calls = Calls();
  return JsonAnswer({{"configuration_reads", calls.configuration_reads},
                     {"list_reads", calls.list_reads},
                     {"refused", calls.refused},
                     {"waiting", calls.waiting},
                     {"reads_in_last_second", calls.reads_in_last_second},
                     {"most_reads_in_a_second", calls.most_reads_in_a_second}});
}

}  // namespace heatherlatch::standins
