// What all requests of one host share.
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_TRAFFIC_CONTEXT_H_
#define HEATHERLATCH_TRAFFIC_TRAFFIC_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "heatherlatch/admission/crash_suspects.h"
#include "heatherlatch/admission/token_budget.h"
#include "heatherlatch/fleet/server_directory.h"
#include "heatherlatch/fleet/server_observations.h"
#include "heatherlatch/routing/route_table.h"
#include "heatherlatch/settings/traffic_host_settings.h"
#include "heatherlatch/traffic/decision_log.h"
#include "heatherlatch/traffic/route_statistics.h"
#include "heatherlatch/traffic/server_connection_pool.h"
#include "heatherlatch/traffic/traffic_metrics.h"

namespace heatherlatch {

class TrafficContext {
 public:
  TrafficContext(boost::asio::io_context* io, TrafficHostSettings settings,
                 int log_descriptor, std::uint64_t seed);

  // Runs `resume` once the host knows a configuration, or has been up for the
  // `first_wait` of its settings.
  void AwaitFirstConfiguration(std::function<void()> resume);
  // @return whether requests are kept until a configuration is known
  bool MayAwaitFirstConfiguration() const;
  // Resumes what waits for it.
  void OnConfiguration() { first_configuration_.cancel(); }

  // @return the share of this host in the retry budget of a service
  RetryBudget& RetryBudgetFor(const ServiceName& service);

  Distance DistanceTo(const ZoneName& zone) const;
  // @return whether the route's requests may be served in the zone
  bool IsInHomeRegion(const TrafficRoute& route, const ZoneName& zone) const;

  boost::asio::io_context* io;
  TrafficHostSettings settings;
  std::shared_ptr<const RouteTable> routes;  // Null until one is known.
  ServerDirectory directory;
  ServerObservations observations;
  ServerConnectionPool connections;
  RouteStatistics statistics;
  CrashSuspects suspects;
  // Tells other hosts of a content that crashed a server.
  std::function<void(const SuspectNotice&)> share_suspect;
  DecisionLog log;
  TrafficMetrics metrics;
  std::mt19937_64 rng;
  bool stopping = false;

 private:
  RegionName RegionOf(const ZoneName& zone) const;

  std::map<ServiceName, RetryBudget> retries_;
  // Expires when requests no longer wait for the first configuration.
  boost::asio::steady_timer first_configuration_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_TRAFFIC_CONTEXT_H_
