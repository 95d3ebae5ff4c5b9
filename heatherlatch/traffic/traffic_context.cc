#include "heatherlatch/traffic/traffic_context.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "heatherlatch/relay/shared_suspects.h"
#include "heatherlatch/routing/unrouted_decision.h"
#include "heatherlatch/traffic/service_queue.h"
#include "heatherlatch/traffic/suspension.h"

namespace heatherlatch {
namespace {

// Size of the log buffer: the lines of one second at 1,000 requests per second.
constexpr std::size_t kMaxBufferedLogBytes = 512 * 1024;

// The part of the deployment's retry share that hosts use. The rest allows for
// measurement windows that differ between hosts.
constexpr double kRetryShareFactor = 0.8;
// Retries that a host may send before its requests have added any to its
// budget. The reserve of a deployment is larger than its number of hosts, which
// a host cannot determine. Restarts must not add to it, so a host that restarts
// has none.
constexpr double kRetryReserveOfFirstStart = 1;

// The part of the bound on the probes of a server that hosts use. The rest
// allows for hosts that do not agree on their shares.
constexpr double kProbeShareFactor = 0.85;

// Bounds on the crash suspects. A server may crash for another reason while it
// executes several requests, so a content is refused only after a third crash;
// three is also the specified bound. Callers send such a request again within
// one minute.
constexpr Duration kSuspectRetention = kSuspectNoticeRetention;
constexpr int kCrashesUntilRefused = 3;
constexpr std::size_t kMaxSuspects = 10'000;

// The part of the memory limit that the host holds for callers and servers. The
// rest is for its own state, for socket buffers, and for the copy of one body.
constexpr double kHeldShareOfMemory = 0.5;
// Room without which a request is refused: the body of an average response.
constexpr std::uint64_t kMinResponseRoom = 90'000;

std::uint64_t HeldBytesLimit(const TrafficHostSettings& settings) {
  return static_cast<std::uint64_t>(
      kHeldShareOfMemory * static_cast<double>(settings.memory_limit_bytes));
}

}  // namespace

TrafficContext::TrafficContext(boost::asio::io_context* io_context,
                               TrafficHostSettings host_settings,
                               int log_descriptor, std::uint64_t seed)
    : io(io_context),
      settings(std::move(host_settings)),
      held_bytes(std::make_shared<ByteBudget>(HeldBytesLimit(settings))),
      overflow(this),
      connections(io_context, held_bytes, &metrics),
      suspects(CrashSuspectsOptions{kSuspectRetention, kCrashesUntilRefused,
                                    kMaxSuspects}),
      log(log_descriptor, kMaxBufferedLogBytes),
      rng(seed),
      first_configuration_(*io_context, settings.first_wait) {}

TrafficContext::~TrafficContext() = default;

void TrafficContext::AwaitFirstConfiguration(std::function<void()> resume) {
  first_configuration_.async_wait(
      [resume = std::move(resume)](const boost::system::error_code&) {
        resume();
      });
}

bool TrafficContext::MayAwaitFirstConfiguration() const {
  return !routes && SteadyClock::now() < first_configuration_.expiry();
}

void TrafficContext::OnDue(TimePoint due, TimePoint now) {
  loop_delay.OnDue(due, now);
  if (loop_delay.IsBehind() && !measures_turn_) MeasureTurn(now);
}

TimePoint TrafficContext::EarliestArrival(TimePoint now) {
  OnDue(next_maintenance, now);
  return loop_delay.EarliestArrival(now);
}

void TrafficContext::MeasureTurn(TimePoint began) {
  measures_turn_ = true;
  // A posted handler runs after the sockets are polled.
  boost::asio::post(*io, [this, began] {
    const TimePoint now = SteadyClock::now();
    measures_turn_ = false;
    loop_delay.OnTurn(began, now);
    if (loop_delay.IsBehind()) MeasureTurn(now);
  });
}

void TrafficContext::ApplyMemoryLimit() {
  held_bytes->SetCapacity(HeldBytesLimit(settings));
}

bool TrafficContext::HasRoomForResponse() const {
  return held_bytes->HasRoom(kMinResponseRoom, kBodyShareWithoutLength);
}

void TrafficContext::RecordCut(const CallResult& result,
                               std::string_view request,
                               std::string_view source) {
  const auto* cut = std::get_if<NoResponse>(&result);
  if (cut == nullptr || !cut->exceeded) return;
  metrics.Count("cut_responses", ToString(*cut->exceeded));
  log.Write("response-cut",
            {{"request", request},
             {"source", source},
             {"bound", ToString(*cut->exceeded)},
             {"held_bytes", static_cast<double>(held_bytes->held())}});
}

RetryBudget& TrafficContext::RetryBudgetFor(const ServiceName& service) {
  return retries_
      .try_emplace(service, settings.retry_share * kRetryShareFactor,
                   settings.first_start ? kRetryReserveOfFirstStart : 0)
      .first->second;
}

ProbeBudget& TrafficContext::ProbeBudgetFor(const ServiceName& service) {
  return probes_
      .try_emplace(service, settings.probes_per_second * kProbeShareFactor,
                   SteadyClock::now())
      .first->second;
}

ServiceQueue& TrafficContext::QueueFor(const ServiceName& service) {
  std::unique_ptr<ServiceQueue>& queue = queues_[service];
  if (!queue) queue = std::make_unique<ServiceQueue>(this, service);
  return *queue;
}

std::size_t TrafficContext::WaitingRequests() const {
  std::size_t count = 0;
  for (const auto& [service, queue] : queues_) count += queue->size();
  return count;
}

void TrafficContext::RecordReading(const ServerRecord& server,
                                   const LoadReading& reading, TimePoint now) {
  observations.OnReading(server.name, reading, now);
  if (!rooms.OnReading(server.service, server.zone, reading, now)) {
    metrics.Count("readings", "implausible");
  }
}

void TrafficContext::RecordServerStatement(
    const ServerRecord& server, const wire::ServerResponseFields& fields,
    std::string_view source, TimePoint now) {
  if (fields.odd_retry_after) {
    metrics.Count("server_statements", "odd-retry-after");
    log.Write("odd-retry-after",
              {{"server", server.name.str()},
               {"stated", *fields.odd_retry_after},
               {"taken_ms",
                fields.retry_after ? ToMilliseconds(*fields.retry_after) : 0}});
  }
  if (!fields.is_leaving ||
      !directory.MarkLeaving(server.name, server.started_at_ms, now)) {
    return;
  }
  metrics.Count("server_statements", "leaving");
  log.Write("server-says-leaving",
            {{"server", server.name.str()},
             {"started_at_ms", std::to_string(server.started_at_ms)},
             {"source", source}});
}

std::optional<Candidate> TrafficContext::CandidateFor(
    const BackendServerName& server, TimePoint now) const {
  const ServerEntry* entry = directory.FindUsable(server, now);
  return entry == nullptr ? std::nullopt : CandidateFor(*entry, now);
}

std::optional<Candidate> TrafficContext::CandidateFor(const ServerEntry& entry,
                                                      TimePoint now) const {
  Candidate candidate;
  candidate.server = entry.record;
  const BackendServerName& name = entry.record.name;
  candidate.distance = DistanceTo(entry.record.zone);
  candidate.cold = now < entry.cold_until || observations.IsCold(name, now);
  if (candidate.cold && !MaySendDuringColdStart(entry.record, now)) {
    return std::nullopt;
  }
  candidate.failed_recently = observations.FailedRecently(name, now);
  candidate.connected = connections.HasIdle(entry.record.endpoint, now);
  return candidate;
}

bool TrafficContext::IssueColdPermit(const BackendServerName& server,
                                     PermitRequester requester, TimePoint now) {
  const std::vector<Endpoint>& readers = settings.seeds;
  const bool is_reader =
      readers.empty() || std::find(readers.begin(), readers.end(),
                                   settings.peer_listen) != readers.end();
  const ServerEntry* entry = directory.FindUsable(server, now);
  if (!is_reader || entry == nullptr || !routes) return false;
  const auto service = routes->services.find(entry->record.service);
  if (service == routes->services.end()) return false;
  const double share =
      1.0 / static_cast<double>(std::max<std::size_t>(readers.size(), 1));
  const bool started_cold =
      now < entry->cold_until && !observations.WasWarm(server);
  const Duration first_delay =
      started_cold ? Duration::zero()
                   : DelayOfFirstPermit(observations.ProbeDuration(server));
  return cold_permits.TryIssue(server,
                               share * service->second.cold_requests_per_second,
                               first_delay, requester, now);
}

bool TrafficContext::MaySendDuringColdStart(const ServerRecord& server,
                                            TimePoint now) const {
  if (cold_permits.Has(server.name, now)) return true;
  if (DistanceTo(server.zone) == Distance::kOtherRegion) return false;
  if (want_cold_permit) want_cold_permit(server.name);
  return cold_permits.Has(server.name, now);
}

std::optional<BudgetTerms> TrafficContext::TermsOf(const BudgetKey& key) const {
  if (!routes || key.kind != BudgetKind::kAllotment) return std::nullopt;
  const TrafficOrganisation* organisation =
      routes->organisations.Find(OrganisationName(key.subject));
  if (organisation == nullptr || organisation->requests_per_second <= 0) {
    return std::nullopt;
  }
  const double rate = organisation->requests_per_second;
  const double in_window =
      rate * std::chrono::duration<double>(settings.allotment_window).count() +
      organisation->burst;
  return TermsWithin(
      rate, organisation->burst, settings.allotment_window,
      settings.allotment_overshoot * in_window + settings.allotment_slack,
      std::max<std::size_t>(settings.seeds.size(), 1));
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
                                    const TrafficOrganisation* organisation,
                                    const ZoneName& zone) const {
  return IsHome(RegionOf(zone), route.home_regions, organisation);
}

bool TrafficContext::MayUseKeys() const {
  if (!settings.key_validity) return true;
  return IsCurrent(table_confirmation.held_at, settings.key_validity,
                   WithSuspension(SteadyClock::now()));
}

KeyKnowledge TrafficContext::KnowledgeOfKeys() const {
  return {IsConfirmed(table_confirmation, SteadyClock::now()), MayUseKeys()};
}

}  // namespace heatherlatch
