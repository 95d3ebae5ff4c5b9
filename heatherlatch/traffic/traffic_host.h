// A load-balancing host on one event loop. Accepts callers, forwards their
// requests to backend servers, follows the platform's store, and serves
// readiness, metrics and queries of other hosts.
//
// Example:
//   boost::asio::io_context io(1);
//   TrafficHost host(&io, settings, load_settings, STDOUT_FILENO, seed);
//   BOOST_LEAF_CHECK(host.Start());
//   io.run();
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_TRAFFIC_HOST_H_
#define HEATHERLATCH_TRAFFIC_TRAFFIC_HOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "heatherlatch/traffic/budget_client.h"
#include "heatherlatch/traffic/caller_connection.h"
#include "heatherlatch/traffic/cold_permit_client.h"
#include "heatherlatch/traffic/isolated_run_client.h"
#include "heatherlatch/traffic/published_feed.h"
#include "heatherlatch/traffic/simple_http_server.h"

namespace heatherlatch {

class TrafficHost {
 public:
  // Reads the settings again; returns nothing if they have not changed or are
  // invalid.
  using LoadSettings = std::function<std::optional<TrafficHostSettings>()>;

  TrafficHost(boost::asio::io_context* io, const TrafficHostSettings& settings,
              LoadSettings load_settings, int log_descriptor,
              std::uint64_t seed);

  // Listens on all endpoints and starts to follow the store. SIGTERM and SIGINT
  // stop the host gracefully; SIGHUP reads the settings again.
  // @return ListenError if an endpoint cannot be listened on
  Result<void> Start();

 private:
  Result<void> ListenForCallers();
  Result<void> Serve(const Endpoint& endpoint,
                     SimpleHttpServer::Handler handler);
  std::string MetricsPage();
  void Accept();
  // Accepts the other connections that wait. `Accept` accepts one in each turn
  // of the loop, so that on a busy host the others would wait for many turns.
  void AcceptWaiting();
  void Serve(boost::asio::ip::tcp::socket socket);
  void AwaitSignal();
  void ScheduleMaintenance();
  void RunMaintenance();
  void CheckSettings();
  void CheckForSuspension();

  // @param origin  where the item was received from
  void Apply(const PublishedItem& item, const ItemOrigin& origin,
             TimePoint now);
  void ApplyServer(const std::string& name, const PublishedItem& item,
                   const ItemOrigin& origin, TimePoint now);
  void ApplyZone(const ZoneName& zone, const PublishedItem& item,
                 const ItemOrigin& origin, TimePoint now);
  // Puts zones back in service whose order was not written again in time.
  void ReturnZones(TimePoint now);
  // Logs the organisations of which a part cannot be used.
  void LogOrganisations(const OrganisationDirectory& organisations);
  void ApplyRouteTable(const PublishedItem& item, const ItemOrigin& origin);
  std::optional<ServerRecord> ReadServer(const std::string& name,
                                         const PublishedItem& item);

  bool IsReady() const;
  void BeginStop();
  void ContinueStop(TimePoint now);
  // @return the open connections of callers
  std::vector<std::shared_ptr<CallerConnection>> OpenCallers() const;
  bool IsAnyCallerBusy() const;
  // Ends the requests that are still in progress, and the host once their
  // responses are written.
  void EndRequests();
  // @param until  when the host ends at the latest
  void FinishOnceWritten(TimePoint until);
  void Finish();

  boost::asio::io_context* io_;
  TrafficContext context_;
  LoadSettings load_settings_;
  LoadProber prober_;
  ColdPermitClient cold_permit_client_;
  IsolatedRunClient isolated_run_client_;
  BudgetClient budget_client_;
  PublishedFeed feed_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  // For readiness, metrics and queries of other hosts.
  std::list<SimpleHttpServer> http_servers_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer maintenance_timer_;
  boost::asio::steady_timer stop_timer_;
  std::list<std::weak_ptr<CallerConnection>> callers_;
  std::optional<TimePoint> stop_began_;
  bool accept_failed_ = false;
  int maintenance_rounds_ = 0;
  // Zones out of service whose order is missing in a copy of the store.
  std::map<ZoneName, TimePoint> zones_back_at_;
  Duration suspended_{};  // Total time that the machine was suspended.
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_TRAFFIC_HOST_H_
