#include "heatherlatch/traffic/traffic_host.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "heatherlatch/relay/store_revision.h"
#include "heatherlatch/traffic/http_status.h"
#include "heatherlatch/traffic/suspension.h"
#include "platform/store_calls.h"

namespace heatherlatch {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr double kThousandths = 1000;

// A tenth of the shortest idle timeout.
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(500);

// The settings file may change without a signal, so it is checked every few
// rounds. Changes of the seeds are published seconds late in any case.
constexpr int kRoundsPerSettingsCheck = 4;

// After a longer suspension, the state of the store is confirmed anew.
constexpr Duration kMinSuspension = std::chrono::milliseconds(250);

// How long after the stop signal the platform's balancer may still send callers
// here: it checks readiness every second and acts on the second failure.
constexpr Duration kDeregistrationDelay = std::chrono::milliseconds(2500);
// Requests that are still in progress end this long before the stop time is
// over.
constexpr Duration kStopMargin = std::chrono::milliseconds(600);
// How long their responses may take to be written, and how often that is
// checked.
constexpr Duration kMaxFinalWriteTime = std::chrono::milliseconds(300);
constexpr Duration kFinalWriteCheckInterval = std::chrono::milliseconds(10);

// How long the observations of a server are kept after the last one.
constexpr Duration kObservationRetention = std::chrono::minutes(5);
// How long the last permit for a server in cold start is remembered, beyond the
// interval of its permits.
constexpr Duration kColdStartRetention = std::chrono::seconds(2);

// How long after a restore of the store the operator and the servers may take
// to write again what the copy lacks. Longer than an entry of a server that has
// left stays listed.
constexpr Duration kRestoreGrace = std::chrono::seconds(10);

}  // namespace

TrafficHost::TrafficHost(asio::io_context* io,
                         const TrafficHostSettings& settings,
                         LoadSettings load_settings, int log_descriptor,
                         std::uint64_t seed)
    : io_(io),
      context_(io, settings, log_descriptor, seed),
      load_settings_(std::move(load_settings)),
      prober_(&context_),
      cold_permit_client_(&context_),
      isolated_run_client_(&context_,
                           [this](const std::vector<SuspectNotice>& notices) {
                             feed_.LearnSuspects(notices);
                           }),
      budget_client_(&context_),
      feed_(&context_,
            [this](const std::vector<PublishedItem>& items,
                   const ItemOrigin& origin) {
              const TimePoint now = SteadyClock::now();
              for (const PublishedItem& item : items) Apply(item, origin, now);
              if (context_.routes) context_.OnConfiguration();
            }),
      signals_(*io, SIGTERM, SIGINT, SIGHUP),
      maintenance_timer_(*io),
      stop_timer_(*io),
      suspended_(TotalSuspension()) {
  context_.budget = &budget_client_;
  context_.share_suspect = [this](const SuspectNotice& notice) {
    feed_.ShareSuspect(notice);
  };
  context_.ask_for_isolated_run = [this](ContentDigest digest, auto done) {
    isolated_run_client_.Ask(digest, std::move(done));
  };
  context_.end_isolated_run = [this](
                                  ContentDigest digest, IsolatedRunEnd end,
                                  const std::optional<SuspectNotice>& notice) {
    isolated_run_client_.End(digest, end, notice);
  };
  context_.want_cold_permit = [this](const BackendServerName& server) {
    cold_permit_client_.Want(server);
  };
}

Result<void> TrafficHost::Start() {
  BOOST_LEAF_CHECK(ListenForCallers());
  BOOST_LEAF_CHECK(Serve(context_.settings.readiness_listen,
                         [this](const std::string&, const auto& respond) {
                           respond({IsReady() ? kOk : kServiceUnavailable, ""});
                         }));
  BOOST_LEAF_CHECK(Serve(context_.settings.metrics_listen,
                         [this](const std::string&, const auto& respond) {
                           respond({kOk, MetricsPage()});
                         }));
  BOOST_LEAF_CHECK(Serve(context_.settings.peer_listen,
                         [this](const std::string& body, auto respond) {
                           feed_.HandlePeerQuery(body, std::move(respond));
                         }));
  context_.log.Write("started", {{"host", context_.settings.name.str()},
                                 {"version", HEATHERLATCH_VERSION},
                                 {"zone", context_.settings.zone.str()}});
  AwaitSignal();
  feed_.Start();
  Accept();
  ScheduleMaintenance();
  return {};
}

Result<void> TrafficHost::ListenForCallers() {
  BOOST_LEAF_AUTO(acceptor, Listen(io_, context_.settings.caller_listen));
  acceptor_.emplace(std::move(acceptor));
  acceptor_->non_blocking(true);
  return {};
}

Result<void> TrafficHost::Serve(const Endpoint& endpoint,
                                SimpleHttpServer::Handler handler) {
  if (endpoint.port == 0) return {};
  BOOST_LEAF_AUTO(acceptor, Listen(io_, endpoint));
  http_servers_.emplace_back(std::move(acceptor), std::move(handler)).Start();
  return {};
}

std::string TrafficHost::MetricsPage() {
  const ByteBudget& held = *context_.held_bytes;
  context_.metrics.SetGauge("held_bytes", static_cast<double>(held.held()));
  context_.metrics.SetGauge("held_bytes_max",
                            static_cast<double>(held.max_held()));
  context_.metrics.SetGauge("held_bytes_limit",
                            static_cast<double>(held.capacity()));
  context_.metrics.SetGauge("waiting_requests",
                            static_cast<double>(context_.WaitingRequests()));
  context_.metrics.SetGauge(
      "known_hosts",
      static_cast<double>(feed_.CountKnownHosts(SteadyClock::now())));
  context_.metrics.SetGauge(
      "published_revision",
      static_cast<double>(RevisionInEra(feed_.revision())));
  context_.metrics.SetGauge(
      "route_table_version",
      context_.routes ? static_cast<double>(context_.routes->version) : 0);
  const OverflowShares shares = context_.overflow.HighestShares();
  context_.metrics.SetGauge("zone_overflow_region_thousandths",
                            shares.region * kThousandths);
  context_.metrics.SetGauge("zone_overflow_other_regions_thousandths",
                            shares.other_regions * kThousandths);
  return context_.metrics.Text();
}

void TrafficHost::Accept() {
  acceptor_->async_accept(
      [this](const error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
          context_.log.Write("accept-failed", {{"problem", error.message()}});
          accept_failed_ = true;  // The next maintenance accepts again.
          return;
        }
        Serve(std::move(socket));
        AcceptWaiting();
        Accept();
      });
}

void TrafficHost::AcceptWaiting() {
  error_code error;
  while (!error) {
    asio::ip::tcp::socket socket(*io_);
    acceptor_->accept(socket, error);
    if (!error) Serve(std::move(socket));
  }
}

void TrafficHost::Serve(asio::ip::tcp::socket socket) {
  auto caller = std::make_shared<CallerConnection>(std::move(socket), &context_,
                                                   &prober_);
  callers_.push_back(caller);
  caller->Start();
}

void TrafficHost::AwaitSignal() {
  signals_.async_wait([this](const error_code& error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      CheckSettings();
    } else {
      BeginStop();
    }
    AwaitSignal();
  });
}

void TrafficHost::ScheduleMaintenance() {
  maintenance_timer_.expires_after(kMaintenanceInterval);
  context_.next_maintenance = maintenance_timer_.expiry();
  maintenance_timer_.async_wait([this](const error_code& error) {
    if (error) return;
    RunMaintenance();
    ScheduleMaintenance();
  });
}

void TrafficHost::RunMaintenance() {
  const TimePoint now = SteadyClock::now();
  context_.OnDue(context_.next_maintenance, now);
  CheckForSuspension();
  if (++maintenance_rounds_ % kRoundsPerSettingsCheck == 0) CheckSettings();
  prober_.CancelOverdueProbes(now);
  context_.connections.CloseIdle(now);
  context_.directory.Expire(now);
  ReturnZones(now);
  context_.observations.RemoveStale(kObservationRetention, now);
  context_.cold_permits.RemoveStale(kColdStartRetention, now);
  context_.suspects.Expire(now);
  context_.isolated_runs.RemoveExpired(kSuspectNoticeRetention, now);
  isolated_run_client_.RemoveExpired(now);
  feed_.QuerySuspects(now);
  budget_client_.RemoveExpired();
  for (auto it = callers_.begin(); it != callers_.end();) {
    const std::shared_ptr<CallerConnection> caller = it->lock();
    if (caller) caller->CheckTimeouts(now);
    it = caller && caller->IsOpen() ? std::next(it) : callers_.erase(it);
  }
  if (accept_failed_ && acceptor_->is_open()) {
    accept_failed_ = false;
    Accept();
  }
  ContinueStop(now);
  context_.log.Flush();
}

void TrafficHost::CheckForSuspension() {
  const Duration suspended = TotalSuspension();
  if (suspended - suspended_ > kMinSuspension) {
    context_.log.Write("was-suspended",
                       {{"ms", ToMilliseconds(suspended - suspended_)}});
    context_.directory.ForgetLeaving();
    feed_.Revalidate();
  }
  suspended_ = suspended;
}

void TrafficHost::CheckSettings() {
  const std::optional<TrafficHostSettings> settings = load_settings_();
  if (!settings) return;
  context_.log.Write("settings-taken",
                     {{"seeds", static_cast<double>(settings->seeds.size())}});
  context_.settings.seeds = settings->seeds;
  context_.settings.zones = settings->zones;
  context_.settings.platform = settings->platform;
  context_.settings.stop_wait = settings->stop_wait;
  context_.settings.memory_limit_bytes = settings->memory_limit_bytes;
  context_.settings.key_validity = settings->key_validity;
  context_.settings.allotment_window = settings->allotment_window;
  context_.settings.allotment_overshoot = settings->allotment_overshoot;
  context_.settings.allotment_slack = settings->allotment_slack;
  context_.settings.zone_overflow = settings->zone_overflow;
  context_.ApplyMemoryLimit();
  feed_.Reconfigure();
}

void TrafficHost::Apply(const PublishedItem& item, const ItemOrigin& origin,
                        TimePoint now) {
  const wire::KeySubject subject = wire::ReadKey(item.key);
  if (std::holds_alternative<wire::RouteTableKey>(subject)) {
    if (!item.is_deleted) ApplyRouteTable(item, origin);
  } else if (const auto* zone =
                 std::get_if<wire::ZoneOutOfServiceKey>(&subject)) {
    ApplyZone(zone->zone, item, origin, now);
  } else if (const auto* server = std::get_if<wire::ServerKey>(&subject)) {
    ApplyServer(server->name, item, origin, now);
  }
}

void TrafficHost::ApplyZone(const ZoneName& zone, const PublishedItem& item,
                            const ItemOrigin& origin, TimePoint now) {
  zones_back_at_.erase(zone);
  const double revision = static_cast<double>(RevisionInEra(item.revision));
  if (item.is_deleted && origin.is_restored) {
    zones_back_at_[zone] = now + kRestoreGrace;
    context_.log.Write("zone-order-missing",
                       {{"zone", zone.str()}, {"revision", revision}});
    return;
  }
  context_.directory.SetZoneInService(zone, item.is_deleted);
  context_.log.Write(
      item.is_deleted ? "zone-in-service" : "zone-out-of-service",
      {{"zone", zone.str()}, {"revision", revision}});
}

void TrafficHost::ReturnZones(TimePoint now) {
  for (auto it = zones_back_at_.begin(); it != zones_back_at_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    context_.directory.SetZoneInService(it->first, true);
    context_.log.Write("zone-in-service", {{"zone", it->first.str()}});
    it = zones_back_at_.erase(it);
  }
}

void TrafficHost::ApplyServer(const std::string& name,
                              const PublishedItem& item,
                              const ItemOrigin& origin, TimePoint now) {
  const double revision = static_cast<double>(RevisionInEra(item.revision));
  if (item.is_deleted) {
    const std::optional<TimePoint> until = feed_.RelistingEnd(now);
    if (until) {
      context_.directory.MarkMissing(BackendServerName(name),
                                     RevisionInEra(item.revision), *until);
      context_.log.Write("server-missing",
                         {{"server", name},
                          {"revision", revision},
                          {"for_ms", ToMilliseconds(*until - now)}});
      return;
    }
    context_.directory.Remove(BackendServerName(name),
                              RevisionInEra(item.revision), now);
    context_.log.Write("server-gone",
                       {{"server", name}, {"revision", revision}});
    return;
  }
  const auto record = ReadServer(name, item);
  if (!record) return;
  if (origin.is_restored) {
    context_.directory.PutFromCopy(*record, now, now + kRestoreGrace);
  } else {
    context_.directory.Put(*record, now);
  }
  context_.log.Write(
      record->draining ? "server-draining" : "server-listed",
      {{"server", name},
       {"revision", revision},
       {"started_at_ms", std::to_string(record->started_at_ms)}});
}

std::optional<ServerRecord> TrafficHost::ReadServer(const std::string& name,
                                                    const PublishedItem& item) {
  const auto refuse = [&](std::string_view problem) {
    context_.log.Write("server-entry-refused",
                       {{"server", name}, {"problem", problem}});
    return std::optional<ServerRecord>();
  };
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<ServerRecord>> {
        BOOST_LEAF_AUTO(record, wire::ReadServerRecord(name, item.value));
        record.store_revision = RevisionInEra(item.revision);
        return std::optional<ServerRecord>(record);
      },
      [&](const wire::DocumentError& error) { return refuse(error.problem); },
      [&](const EndpointError& error) { return refuse(ToString(error)); },
      [&] { return refuse("the server record cannot be decoded"); });
}

void TrafficHost::ApplyRouteTable(const PublishedItem& item,
                                  const ItemOrigin& origin) {
  bool& is_newest = context_.table_confirmation.is_newest;
  context_.table_confirmation.table_revision = item.revision;
  const auto refuse = [&](std::string_view problem) {
    is_newest = false;
    context_.log.Write(
        "configuration-refused",
        {{"problem", problem},
         {"revision", static_cast<double>(RevisionInEra(item.revision))},
         {"source", ToString(origin.source)},
         {"hops", static_cast<double>(origin.hops)}});
  };
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(table, wire::ReadRouteTable(item.value));
        const std::uint64_t known =
            context_.routes ? context_.routes->version : 0;
        if (table.version < known) {
          refuse("the version is lower than the one in force");
          return {};
        }
        is_newest = true;
        if (table.version == known) return {};
        context_.log.Write(
            "configuration",
            {{"version", static_cast<double>(table.version)},
             {"before", static_cast<double>(known)},
             {"source", ToString(origin.source)},
             {"hops", static_cast<double>(origin.hops)},
             {"revision", static_cast<double>(RevisionInEra(item.revision))}});
        for (const RouteName& route : table.unreadable_routes) {
          context_.log.Write("route-refused", {{"route", route.str()}});
        }
        LogOrganisations(table.organisations);
        context_.routes = std::make_shared<const RouteTable>(std::move(table));
        return {};
      },
      [&](const wire::DocumentError& error) { refuse(error.problem); },
      [&] { refuse("the route table cannot be decoded"); });
}

void TrafficHost::LogOrganisations(const OrganisationDirectory& organisations) {
  for (const OrganisationName& name : organisations.unreadable()) {
    context_.log.Write("organisation-refused", {{"organisation", name.str()}});
  }
  for (const OrganisationName& name : organisations.WithSharedKeys()) {
    context_.log.Write("organisation-key-shared",
                       {{"organisation", name.str()}});
  }
}

bool TrafficHost::IsReady() const {
  return context_.routes && context_.directory.size() > 0 && !stop_began_ &&
         (context_.routes->organisations.empty() || context_.MayUseKeys());
}

void TrafficHost::BeginStop() {
  if (stop_began_) return;
  stop_began_ = SteadyClock::now();
  context_.stopping = true;
  context_.requests_end_at =
      *stop_began_ + context_.settings.stop_wait - kStopMargin;
  context_.log.Write(
      "stopping",
      {{"waiting", static_cast<double>(context_.WaitingRequests())}});
  for (const auto& caller : OpenCallers()) caller->OnHostStopping();
  stop_timer_.expires_at(*context_.requests_end_at);
  stop_timer_.async_wait([this](const error_code& error) {
    if (!error) EndRequests();
  });
}

void TrafficHost::ContinueStop(TimePoint now) {
  if (!stop_began_) return;
  const Duration elapsed = now - *stop_began_;
  if (elapsed < kDeregistrationDelay) return;
  error_code ignored;  // It may be closed already.
  acceptor_->close(ignored);
  for (const auto& caller : OpenCallers()) caller->Drain();
  if (!IsAnyCallerBusy()) Finish();
}

std::vector<std::shared_ptr<CallerConnection>> TrafficHost::OpenCallers()
    const {
  std::vector<std::shared_ptr<CallerConnection>> open;
  for (const auto& weak : callers_) {
    std::shared_ptr<CallerConnection> caller = weak.lock();
    if (caller && caller->IsOpen()) open.push_back(std::move(caller));
  }
  return open;
}

bool TrafficHost::IsAnyCallerBusy() const {
  const auto open = OpenCallers();
  return std::any_of(open.begin(), open.end(),
                     [](const auto& caller) { return caller->IsBusy(); });
}

void TrafficHost::EndRequests() {
  for (const auto& caller : OpenCallers()) caller->EndRequests();
  FinishOnceWritten(SteadyClock::now() + kMaxFinalWriteTime);
}

void TrafficHost::FinishOnceWritten(TimePoint until) {
  if (!IsAnyCallerBusy() || SteadyClock::now() >= until) {
    Finish();
    return;
  }
  stop_timer_.expires_after(kFinalWriteCheckInterval);
  stop_timer_.async_wait([this, until](const error_code& error) {
    if (!error) FinishOnceWritten(until);
  });
}

void TrafficHost::Finish() {
  context_.log.Write("stopped", {});
  context_.log.Flush();
  feed_.Stop();
  io_->stop();
}

}  // namespace heatherlatch
