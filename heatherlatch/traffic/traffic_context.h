// The state that all requests of one host share: settings, configuration,
// server directory, connection pool, statistics, log and metrics.
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_TRAFFIC_CONTEXT_H_
#define HEATHERLATCH_TRAFFIC_TRAFFIC_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string_view>

#include "heatherlatch/admission/byte_budget.h"
#include "heatherlatch/admission/cold_start_permits.h"
#include "heatherlatch/admission/crash_suspects.h"
#include "heatherlatch/admission/isolated_run_permits.h"
#include "heatherlatch/admission/loop_delay.h"
#include "heatherlatch/admission/token_bucket.h"
#include "heatherlatch/fleet/server_directory.h"
#include "heatherlatch/fleet/server_observations.h"
#include "heatherlatch/fleet_budget/fleet_budget.h"
#include "heatherlatch/routing/route_table.h"
#include "heatherlatch/routing/table_confirmation.h"
#include "heatherlatch/settings/traffic_host_settings.h"
#include "heatherlatch/steering/probe_budget.h"
#include "heatherlatch/steering/server_subset.h"
#include "heatherlatch/steering/steering.h"
#include "heatherlatch/traffic/decision_log.h"
#include "heatherlatch/traffic/overflow_control.h"
#include "heatherlatch/traffic/route_statistics.h"
#include "heatherlatch/traffic/server_connection_pool.h"
#include "heatherlatch/traffic/traffic_metrics.h"
#include "heatherlatch/zone_room/room_map.h"
#include "platform/server_fields.h"

namespace heatherlatch {

class BudgetClient;
class ServiceQueue;

class TrafficContext {
 public:
  TrafficContext(boost::asio::io_context* io, TrafficHostSettings settings,
                 int log_descriptor, std::uint64_t seed);
  ~TrafficContext();

  // Calls `resume` once a configuration has been received, or `first_wait` of
  // the settings has passed since the start.
  void AwaitFirstConfiguration(std::function<void()> resume);
  // @return whether requests are to be held until a configuration is received
  bool MayAwaitFirstConfiguration() const;
  // Resumes the requests held for the first configuration.
  void OnConfiguration() { first_configuration_.cancel(); }

  // Notes that a timer is handled at `now`, or not handled yet, though it was
  // due at `due`. While the loop is behind, measures each of its turns.
  void OnDue(TimePoint due, TimePoint now);
  // @return the earliest time at which bytes that are read now can have arrived
  TimePoint EarliestArrival(TimePoint now);

  // Takes over the memory limit of the settings.
  void ApplyMemoryLimit();
  // @return whether the host can hold the response to a further request
  bool HasRoomForResponse() const;
  // Logs and counts a response that was cut at a bound.
  // @param request  the id of the request; empty if it was the host's own
  // @param source   the server, the store or the peer that responded
  void RecordCut(const CallResult& result, std::string_view request,
                 std::string_view source);

  // @return this host's share of the retry budget of a service
  RetryBudget& RetryBudgetFor(const ServiceName& service);
  // @return this host's share of the probes of a service
  ProbeBudget& ProbeBudgetFor(const ServiceName& service);
  // @return when this host uses more than its subset of a service's servers
  SubsetWidening& SubsetWideningFor(const ServiceName& service) {
    return widenings_[service];
  }
  // @return the requests of a service that wait at this host
  ServiceQueue& QueueFor(const ServiceName& service);
  // @return the requests of all services that wait at this host
  std::size_t WaitingRequests() const;

  // Records the load that a server reported.
  void RecordReading(const ServerRecord& server, const LoadReading& reading,
                     TimePoint now);

  // Records what a response of a server says of the server itself. The response
  // is one to a request or a probe that was sent to it.
  // @param server  as it was listed when the request was sent
  // @param source  `probe` or `response`, for the log
  void RecordServerStatement(const ServerRecord& server,
                             const wire::ServerResponseFields& fields,
                             std::string_view source, TimePoint now);

  // @return a usable server as a candidate without a reading; nothing if it may
  //     not receive a request now
  std::optional<Candidate> CandidateFor(const BackendServerName& server,
                                        TimePoint now) const;
  std::optional<Candidate> CandidateFor(const ServerEntry& entry,
                                        TimePoint now) const;

  // Issues a permit to send a request to a server in cold start, if this host
  // is one of those that do, and knows the server.
  // @return whether it was issued
  bool IssueColdPermit(const BackendServerName& server,
                       PermitRequester requester, TimePoint now);
  // @return whether this host may send a request to a server in cold start; if
  //     not, and the server is in the host's region, a permit is asked for
  bool MaySendDuringColdStart(const ServerRecord& server, TimePoint now) const;

  // @return the terms of a bound over all hosts; nothing if the configuration
  //     states no such bound
  std::optional<BudgetTerms> TermsOf(const BudgetKey& key) const;

  Distance DistanceTo(const ZoneName& zone) const;
  // @return whether the zone is in a home region of the route and of the
  //     organisation, so that it may serve the request
  // @param organisation  null: none
  bool IsInHomeRegion(const TrafficRoute& route,
                      const TrafficOrganisation* organisation,
                      const ZoneName& zone) const;

  // @return whether keys of organisations may be accepted now
  bool MayUseKeys() const;
  // @return what the host knows of the keys in its newest configuration
  KeyKnowledge KnowledgeOfKeys() const;

  boost::asio::io_context* io;
  TrafficHostSettings settings;
  // The bytes that the host holds for callers and servers.
  std::shared_ptr<ByteBudget> held_bytes;
  std::shared_ptr<const RouteTable> routes;  // Null until one is received.
  TableConfirmation table_confirmation;      // Of `routes`.
  ServerDirectory directory;
  ServerObservations observations;
  RoomMap rooms;
  OverflowControl overflow;
  ServerConnectionPool connections;
  RouteStatistics statistics;
  CrashSuspects suspects;
  ColdStartPermits cold_permits;
  // As issued by this host, if it is a reader of the store.
  IsolatedRunPermits isolated_runs;
  // Asks for a permit to run a suspect isolated, and returns it
  // (traffic/isolated_run_client.h).
  std::function<void(ContentDigest, std::function<void(IsolatedRunAnswer)>)>
      ask_for_isolated_run;
  std::function<void(ContentDigest, IsolatedRunEnd,
                     const std::optional<SuspectNotice>&)>
      end_isolated_run;
  // Asks for a permit.
  std::function<void(const BackendServerName&)> want_cold_permit;
  // Acquires tokens of the bounds that all hosts keep together.
  BudgetClient* budget = nullptr;
  // Reports a content that crashed a server to other hosts.
  std::function<void(const SuspectNotice&)> share_suspect;
  DecisionLog log;
  TrafficMetrics metrics;
  std::mt19937_64 rng;
  bool stopping = false;
  // While the host stops: when it ends the requests that are still in progress.
  std::optional<TimePoint> requests_end_at;
  LoopDelay loop_delay;
  TimePoint next_maintenance = TimePoint::max();

 private:
  RegionName RegionOf(const ZoneName& zone) const;
  void MeasureTurn(TimePoint began);

  std::map<ServiceName, RetryBudget> retries_;
  std::map<ServiceName, ProbeBudget> probes_;
  std::map<ServiceName, SubsetWidening> widenings_;
  std::map<ServiceName, std::unique_ptr<ServiceQueue>> queues_;
  // Expires when requests are no longer held for the first configuration.
  boost::asio::steady_timer first_configuration_;
  bool measures_turn_ = false;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_TRAFFIC_CONTEXT_H_
