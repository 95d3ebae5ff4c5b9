#include "programs/load/load_profile.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <optional>
#include <sstream>

namespace heatherlatch::load {
namespace {

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

Duration ReadMilliseconds(const YAML::Node& node, Duration default_value) {
  return FromSeconds(node.as<double>(ToMilliseconds(default_value)) / 1000);
}

Endpoint ReadEndpoint(const YAML::Node& node) {
  const auto text = node.as<std::string>();
  return boost::leaf::try_handle_all(
      [&]() -> Result<Endpoint> { return ParseEndpoint(text); },
      [&](const EndpointError& error) -> Endpoint {
        throw YAML::Exception(node.Mark(), ToString(error));
      },
      [&]() -> Endpoint {
        throw YAML::Exception(node.Mark(), "endpoint is not valid");
      });
}

Identity ReadIdentity(const YAML::Node& node) {
  const auto text = node.as<std::string>("none");
  if (text == "none") return Identity::kNone;
  if (text == "key") return Identity::kKey;
  if (text == "ticket") return Identity::kTicket;
  throw YAML::Exception(node.Mark(),
                        "identity is not one of none, key and ticket");
}

RequestKind ReadKind(const YAML::Node& node) {
  RequestKind kind;
  kind.name = node["name"].as<std::string>();
  kind.weight = node["weight"].as<double>(kind.weight);
  kind.method = node["method"].as<std::string>(kind.method);
  kind.path = node["path"].as<std::string>();
  kind.body_bytes = node["body_bytes"].as<std::size_t>(0);
  kind.identity = ReadIdentity(node["identity"]);
  for (const auto& header : node["headers"]) {
    kind.headers.emplace_back(header.first.as<std::string>(),
                              header.second.as<std::string>());
  }
  return kind;
}

std::string ReadFile(const std::string& path, const YAML::Node& node) {
  std::ifstream file(path);
  if (!file) {
    throw YAML::Exception(node.Mark(), "file \"" + path + "\" cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TimedAction ReadAction(const YAML::Node& node, const std::string& folder) {
  TimedAction action;
  action.at = FromSeconds(node["at_seconds"].as<double>());
  action.target = ReadEndpoint(node["target"]);
  action.path = node["path"].as<std::string>();
  const YAML::Node file = node["body_file"];
  action.body = file ? ReadFile(folder + file.as<std::string>(), file)
                     : node["body"].as<std::string>("");
  return action;
}

LoadProfile ReadFields(const YAML::Node& root, const std::string& folder) {
  LoadProfile profile;
  for (const YAML::Node& node : root["targets"]) {
    profile.targets.push_back(ReadEndpoint(node));
  }
  profile.threads = root["threads"].as<int>(profile.threads);
  profile.timeout = ReadMilliseconds(root["timeout_ms"], profile.timeout);
  profile.resends = root["resends"].as<int>(profile.resends);
  profile.resend_wait =
      ReadMilliseconds(root["resend_wait_ms"], profile.resend_wait);
  profile.max_requests =
      root["max_requests"].as<std::uint64_t>(profile.max_requests);
  profile.max_in_progress =
      root["max_in_progress"].as<int>(profile.max_in_progress);
  profile.seed = root["seed"].as<std::uint64_t>(profile.seed);
  for (const YAML::Node& node : root["steps"]) {
    profile.steps.push_back({FromSeconds(node["seconds"].as<double>()),
                             node["rate_per_second"].as<double>()});
  }
  for (const YAML::Node& node : root["kinds"]) {
    profile.kinds.push_back(ReadKind(node));
  }
  for (const YAML::Node& node : root["actions"]) {
    profile.actions.push_back(ReadAction(node, folder));
  }
  return profile;
}

bool IsLoopback(const Endpoint& endpoint) {
  return endpoint.address.rfind("127.", 0) == 0 || endpoint.address == "::1";
}

std::optional<Endpoint> FindNonLoopbackTarget(const LoadProfile& profile) {
  for (const Endpoint& target : profile.targets) {
    if (!IsLoopback(target)) return target;
  }
  for (const TimedAction& action : profile.actions) {
    if (!IsLoopback(action.target)) return action.target;
  }
  return std::nullopt;
}

}  // namespace

Duration TotalLength(const LoadProfile& profile) {
  return std::accumulate(
      profile.steps.begin(), profile.steps.end(), Duration::zero(),
      [](Duration sum, const RateStep& step) { return sum + step.length; });
}

std::string FindProfileError(const LoadProfile& profile) {
  if (profile.targets.empty()) return "targets: none is given";
  if (profile.kinds.empty()) return "kinds: none is given";
  if (profile.steps.empty()) return "steps: none is given";
  if (const auto target = FindNonLoopbackTarget(profile)) {
    return "target " + ToString(*target) + " is not a loopback address";
  }
  if (TotalLength(profile) > LoadBounds::kMaxDuration) {
    return "steps: total length above 600 seconds";
  }
  for (const RateStep& step : profile.steps) {
    const bool in_range = step.rate_per_second >= 0 &&
                          step.rate_per_second <= LoadBounds::kMaxRatePerSecond;
    if (!in_range) return "rate_per_second: must be from 0 to 50000";
    if (step.length < Duration::zero()) return "seconds: must not be negative";
  }
  const double weights = std::accumulate(
      profile.kinds.begin(), profile.kinds.end(), 0.0,
      [](double sum, const RequestKind& kind) { return sum + kind.weight; });
  if (weights <= 0) return "weight: the sum must be above 0";
  if (profile.threads < 1 || profile.threads > LoadBounds::kMaxThreads) {
    return "threads: must be from 1 to 16";
  }
  if (profile.max_requests > LoadBounds::kMaxRequests) {
    return "max_requests: must be at most 5000000";
  }
  if (profile.max_in_progress < profile.threads) {
    return "max_in_progress: must be at least threads";
  }
  return "";
}

std::variant<LoadProfile, ProfileError> ReadProfile(
    const std::string& yaml, const std::string& folder,
    const std::vector<std::string>& targets) {
  try {
    YAML::Node root = YAML::Load(yaml);
    if (!targets.empty()) root["targets"] = targets;
    LoadProfile profile = ReadFields(root, folder);
    const std::string message = FindProfileError(profile);
    if (!message.empty()) return ProfileError{message};
    return profile;
  } catch (const YAML::Exception& error) {
    return ProfileError{error.what()};
  }
}

}  // namespace heatherlatch::load
