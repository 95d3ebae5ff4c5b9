// Handles one request of a caller, from its receipt to the response.
//
// Searches for a server, sends the request to it, and relays the response if
// `ClassifyResponse` permits it. Retries and hedges requests of idempotent
// routes within the retry budget. A request of any other route is sent again
// only if the server stated that it did not execute it, or if the connection
// failed before a byte was sent.
//
// Example:
//   auto exchange = std::make_shared<Exchange>(
//       &context, &prober, std::move(request),
//       [](CallerResponse response) { ... });
//   exchange->Start();
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_EXCHANGE_H_
#define HEATHERLATCH_TRAFFIC_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "heatherlatch/base/outcome.h"
#include "heatherlatch/steering/placement_decision.h"
#include "heatherlatch/traffic/budget_client.h"
#include "heatherlatch/traffic/configuration_basis.h"
#include "heatherlatch/traffic/load_prober.h"
#include "heatherlatch/traffic/server_search.h"
#include "heatherlatch/traffic/service_queue.h"
#include "heatherlatch/traffic/traffic_context.h"
#include "platform/server_fields.h"

namespace heatherlatch {

struct CallerRequest {
  std::string method;
  std::string target;
  std::string authority;
  std::string request_id;
  std::string forwarded_fields;  // Complete header lines, each with CRLF.
  // Those that do not state on whose behalf the request is sent.
  std::string anonymous_fields = {};
  CallerKey key = NoKey{};
  std::shared_ptr<const std::string> body = nullptr;  // Null: empty.
  ByteReservation held = {};  // For the body; to be kept as long as it.
  bool has_body = false;
  std::optional<Duration> time_budget;  // As stated by the caller.
  TimePoint read_at;  // When it can have arrived at the earliest.
};

struct CallerResponse {
  unsigned status = 0;
  // Complete header lines, without Connection and Content-Length.
  std::string fields;
  std::string body;
  // The server's Content-Length in the response to a HEAD request; empty if the
  // server sent none. Absent for other methods.
  std::optional<std::string> head_content_length;
  // Whether a server signed it; absent in a response of the host itself.
  std::optional<bool> is_signed = std::nullopt;
  ByteReservation held = {};  // For the body; to be kept as long as it.
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using Done = std::function<void(CallerResponse)>;

  Exchange(TrafficContext* context, LoadProber* prober, CallerRequest request,
           Done done);
  ~Exchange();

  void Start();
  // Cancels the request without a response, because the caller disconnected.
  // Connections with an attempt in progress are closed, so that the servers can
  // stop executing it.
  void Abandon();
  // Notes that the host began to stop. If the request waits for a server, it is
  // refused as soon as no server could complete it before the host ends.
  void OnHostStopping();
  // Ends the request, because the host ends: as not run if no server can have
  // run it.
  void EndWithHost();

 private:
  struct Attempt {
    ServerRecord server;
    std::shared_ptr<ClientConnection> connection;
    TimePoint sent_at;
    double slowdown = 1;
    Occupancy occupancy = Occupancy::kAvailable;
    Distance distance = Distance::kSameZone;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  enum class SendKind {
    kPrimary,  // No attempt is in progress: the first send, or a retry.
    kHedge,    // The attempt in progress takes longer than expected.
  };

  void Route();
  // Finds on whose behalf the request is sent, and refuses it if its key does
  // not allow it.
  // @return whether the request goes on
  bool Identify();
  // Checks the key again if the configuration has changed since.
  // @return whether the request may be sent to a server now
  bool MayStillUseKey();
  // @return whether the request needs a token of the allotment of its
  //     organisation to be sent: no server can have run it yet
  bool NeedsAllotment() const;
  // Takes a token at once, if the host holds one.
  // @return whether the request may be sent now, as far as allotments go
  bool TryTakeAllotment();
  // Takes a token or waits for one, and then searches for a server.
  void SelectServerWithinAllotment();
  void OnAllotment(const BudgetAnswer& answer);
  // Counts the request as an arrival at its service, once.
  void NoteArrival();
  // @return whether its caller was told to send it again, and did
  bool ReturnedAsTold() const {
    return arrival_kind_ && *arrival_kind_ != ArrivalKind::kNew;
  }
  void RefuseBeyondAllotment(Duration retry_after);
  // Gives back the token of a request that was not sent.
  void ReturnAllotment();
  BudgetKey allotment() const {
    return {BudgetKind::kAllotment, organisation_->name.str()};
  }
  // @return whether a server in the zone may receive the request
  bool MayBeServedIn(const ZoneName& zone) const {
    return context_->IsInHomeRegion(*route_, organisation(), zone);
  }
  // @return on whose behalf the request is sent, or nullptr
  const TrafficOrganisation* organisation() const {
    return organisation_ ? &*organisation_ : nullptr;
  }
  void ArmDeadline();
  // @return whether the deadline passes before this host, which is behind, can
  //     have probed a server and read its response
  bool IsTooLateForHost() const;
  // Checks the content against the crash suspects and, if it may be sent,
  // counts it as running.
  // @return whether the request may be sent now; otherwise a later attempt is
  //     scheduled or the request was refused
  bool Admit();
  // Asks whether this host may run the suspect now. Until the answer, the
  // request counts as running, even if it ends meanwhile.
  void AskForIsolatedRun();
  void OnIsolatedRunAnswer(IsolatedRunAnswer answer);
  // Ends the admission without a conclusion about the content.
  void EndAdmission();
  // Probes a server that did not respond over a new connection. If its process
  // has ended, records a crash for the content. Then calls `then`.
  void ProbeForCrash(const ServerRecord& server, std::function<void()> then);
  // Searches for a server, or joins the requests that wait for one.
  void SelectServer(SendKind send_kind);
  void SelectServerAfter(Duration delay);
  void StartSearch(SendKind send_kind, ServerSearch::Done done);
  std::vector<Candidate> Eligible() const;
  PlacementState State() const;
  // @return what the request is expected to take, at the prices of the settings
  ExpectedWork Work() const;
  // @return where its next search begins
  SearchScope FirstScope();
  // Sends, defers or refuses the request according to its own search.
  // @return whether it was sent
  bool Place(const FoundServers& found);
  // Sends the request to a server that another request found, or that just
  // reported its load, if that is better than to wait on.
  // @return whether it was sent
  bool PlaceOnOffered(std::vector<Candidate> offered);
  // Joins the requests of the service that wait for a server.
  // @param choice  the best server of its own search, if it made one
  void Wait(const std::optional<Choice>& choice);
  // Adds the request to those that wait, or updates the bounds of its wait.
  void JoinQueue();
  // Refuses the request because its turn would come too late.
  // @param at_arrival  whether it did not wait
  void RefuseForTurn(bool at_arrival);
  // @return when the caller may send the request again
  Duration RetryAfterWaiting();
  void LogNotPlaced(std::string_view reason,
                    const std::optional<Choice>& choice);
  void PlaceHedge(const std::vector<Candidate>& candidates);
  void Send(const Candidate& candidate, Duration expected);
  std::string_view Body() const;
  OutgoingRequest BuildServerRequest(const ServerRecord& server) const;
  void ArmHedge(Duration expected);

  // Records what a response says of its server.
  void RecordStatement(const Attempt& attempt, const CallResult& result) const;
  void OnResult(const AttemptPtr& attempt, CallResult result);
  void OnNotSent(const AttemptPtr& attempt, const NotSent& result);
  void OnNoResponse(const AttemptPtr& attempt, const std::string& problem);
  void OnServerResponse(const AttemptPtr& attempt, ServerResponse&& response);
  // Records that a server failed the request, which may have run, and sends it
  // again if that is allowed.
  // @return whether the request ends with this failure
  bool EndsAfterFailure(const AttemptPtr& attempt, unsigned status);
  // @param reason  why the response is neither relayed nor taken as a refusal
  void LogNotAccepted(const AttemptPtr& attempt, unsigned status,
                      const wire::ServerResponseFields& fields,
                      std::string_view reason);
  // @param had_room  whether the server had a free slot
  void OnNotRun(const AttemptPtr& attempt, unsigned status, bool had_room);
  void Relay(const AttemptPtr& attempt, ServerResponse&& response,
             bool is_signed);

  // @return whether the route allows another send
  bool HasAttemptsLeft() const { return sends_ < route_->max_attempts; }
  // Takes a retry from the service's budget, if attempts and time are left.
  // @return whether the request may be sent again
  bool TryTakeRetry();
  void OnDeadline();
  // Ends the request as refused, or as unknown if it may have run.
  void RefuseOrFail(NotRunReason reason, Duration retry_after);
  void RefuseAsNotRun(NotRunReason reason, Duration retry_after);
  // Refuses the request because of what the configuration says or lacks.
  void RefuseByConfiguration(unsigned status, NotRunReason reason,
                             std::optional<Duration> retry_after);
  // Refuses the request because its key is not known, or not certain to be
  // valid.
  void RefuseKey(const CallerVerdict& verdict);
  // Refuses the request because no route of the table matches it.
  void RefuseUnrouted();
  void FailAsUnknown(unsigned status, UnknownReason reason);
  void RespondLocally(unsigned status, std::string_view outcome,
                      std::string_view reason,
                      std::optional<Duration> retry_after);
  void Finish(CallerResponse response, std::string_view outcome,
              std::string_view reason);
  void StopTimersAndAttempts();

  ServiceQueue& queue() const { return context_->QueueFor(service_); }
  Duration Elapsed() const { return SteadyClock::now() - request_.read_at; }
  Duration TimeLeft() const { return deadline_ - SteadyClock::now(); }
  // @return the time within which a server has to complete the request: until
  //     its deadline, or until the host ends if that is sooner
  Duration TimeForServer() const;
  // @return `reason`, or `kHostStopping` if the request is refused because the
  //     host ends before the request's deadline
  NotRunReason WhyNotPlaced(NotRunReason reason) const;

  TrafficContext* context_;
  LoadProber* prober_;
  CallerRequest request_;
  Done done_;
  std::shared_ptr<const RouteTable> routes_;
  const TrafficRoute* route_ = nullptr;
  // A copy: a newer configuration may change it while the request waits.
  std::optional<TrafficOrganisation> organisation_;
  // Of the allotment of the organisation. While it is valid, it covers every
  // send until a server can have run the request.
  std::optional<BudgetGranted> token_;
  bool token_used_ = false;
  std::uint64_t key_checked_in_ = 0;  // Version of the configuration.
  ServiceName service_;
  ContentDigest digest_ = 0;
  bool admitted_ = false;  // Counted as running by `CrashSuspects`.
  bool isolated_ = false;  // May only be sent to an idle server.
  TimePoint deadline_;
  boost::asio::steady_timer deadline_timer_;
  // For the current step: crash probe, next admission, or hedge.
  boost::asio::steady_timer step_timer_;
  std::size_t step_ =
      0;  // Replies to crash probes of earlier ones are ignored.
  std::shared_ptr<ServerSearch> search_;
  std::uint64_t queue_id_ = 0;  // 0: it has not waited.
  // Of a search that is about to start.
  std::optional<SearchScope> drawn_scope_;
  // Absent: not counted as an arrival yet.
  std::optional<ArrivalKind> arrival_kind_;

  std::vector<AttemptPtr> attempts_;  // In progress.
  std::set<BackendServerName> tried_;
  int sends_ = 0;
  int connect_failures_ = 0;  // Sends that failed before a byte was sent.
  int deferrals_ = 0;         // Searches after which it was not sent.
  bool may_have_run_ = false;
  // Whether the server that shed it last had a free slot.
  std::optional<bool> shed_with_room_;
  bool finished_ = false;
  std::optional<ConfigurationBasis> configuration_basis_;  // Of a refusal.
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_EXCHANGE_H_
