#include "heatherlatch/traffic/traffic_context.h"

#include <algorithm>
#include <utility>

namespace heatherlatch {
namespace {

// Bytes of log lines that may wait for their reader. Source: a second of lines
// at 1,000 requests a second.
constexpr std::size_t kMaxBufferedLogBytes = 512 * 1024;

// The part of the deployment's retry share that hosts use; the rest is room for
// windows that differ between hosts.
constexpr double kRetryShareFactor = 0.8;
// Retries that a host may send before its requests earn any. Source: the users'
// deployments have a larger reserve than hosts, and no host knows how many
// there are.
constexpr double kRetryReserve = 1;

// What is kept of contents that crash servers. A server that was lost may have
// crashed for a reason of its own while others ran on it, so one crash more
// than the first two is needed before a content is refused. Source: the users'
// bound of three crashes; their callers send such a request again within a
// minute.
constexpr Duration kSuspectRetention = std::chrono::minutes(1);
constexpr int kCrashesUntilRefused = 3;
constexpr std::size_t kMaxSuspects = 10'000;

}  // namespace

TrafficContext::TrafficContext(boost::asio::io_context* io_context,
                               TrafficHostSettings host_settings,
                               int log_descriptor, std::uint64_t seed)
    : io(io_context),
      settings(std::move(host_settings)),
      connections(io_context),
      suspects(CrashSuspectsOptions{kSuspectRetention, kCrashesUntilRefused,
                                    kMaxSuspects}),
      log(log_descriptor, kMaxBufferedLogBytes),
      rng(seed),
      first_configuration_(*io_context, settings.first_wait) {}

void TrafficContext::AwaitFirstConfiguration(std::function<void()> resume) {
  first_configuration_.async_wait(
      [resume = std::move(resume)](const boost::system::error_code&) {
        resume();
      });
}

bool TrafficContext::MayAwaitFirstConfiguration() const {
  return !routes && SteadyClock::now() < first_configuration_.expiry();
}

RetryBudget& TrafficContext::RetryBudgetFor(const ServiceName& service) {
  return retries_
      .try_emplace(service, settings.retry_share * kRetryShareFactor,
                   kRetryReserve)
      .first->second;
}

RegionName TrafficContext::RegionOf(const ZoneName& zone) const {
  const auto found = settings.zones.find(zone);
  return found == settings.zones.end() ? RegionName() : found->second;
}

Distance TrafficContext::DistanceTo(const ZoneName& zone) const {
  if (zone == settings.zone) return Distance::kSameZone;
  return RegionOf(zone) == settings.region ? Distance::kSameRegion
                                           : Distance::kOtherRegion;
}

bool TrafficContext::IsInHomeRegion(const TrafficRoute& route,
                                    const ZoneName& zone) const {
  const std::vector<RegionName>& homes = route.home_regions;
  return homes.empty() ||
         std::find(homes.begin(), homes.end(), RegionOf(zone)) != homes.end();
}

}  // namespace heatherlatch
