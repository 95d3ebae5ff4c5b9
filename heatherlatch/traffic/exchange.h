// One caller's request, from the moment it is read to its answer.
//
// Asks a few candidates for their load, sends the request to the best of them,
// and checks the answer. A request that must not run twice is sent again only
// after a server stated that it did not run it, or after a connection that
// failed before a byte left.
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
#include "heatherlatch/steering/patience.h"
#include "heatherlatch/traffic/load_prober.h"
#include "heatherlatch/traffic/traffic_context.h"

namespace heatherlatch {

struct CallerRequest {
  std::string method;
  std::string target;
  std::string authority;
  std::string request_id;
  std::string forwarded_fields;  // Whole lines, ready to be sent.
  std::string body;
  bool has_body = false;
  std::optional<Duration> time_budget;  // How long the caller will wait.
  TimePoint read_at;
};

struct CallerResponse {
  unsigned status = 0;
  std::string fields;  // Whole lines, without those about the connection.
  std::string body;
  // The length that is told of a body that is not sent.
  std::optional<std::string> head_content_length;
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using Done = std::function<void(CallerResponse)>;

  Exchange(TrafficContext* context, LoadProber* prober, CallerRequest request,
           Done done);

  void Start();
  // Drops the request: its caller has gone, and servers need not go on.
  void Abandon();

 private:
  struct Attempt {
    ServerRecord server;
    std::shared_ptr<ClientConnection> connection;
    TimePoint sent_at;
    double slowdown = 1;
    Occupancy occupancy = Occupancy::kRoomy;
    Distance distance = Distance::kSameZone;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  enum class SendKind {
    kPrimary,  // No attempt is under way.
    kHedge,    // One is, and takes longer than expected.
  };

  void Route();
  void ArmDeadline();
  // Asks whether the content may run, which counts it as running.
  // @return whether it may now; otherwise it waits or was refused
  bool Admit();
  // Ends the admission of a run that showed nothing of its content.
  void EndAdmission();
  // Asks the server of a run without an answer whether it has ended, judges the
  // content by that, and goes on with `then`.
  void ProbeForCrash(const ServerRecord& server, std::function<void()> then);
  void SelectServer(SendKind send_kind);
  // Asks servers farther away, besides the candidates asked so far.
  // @return whether there are any that are worth asking
  bool ProbeFartherServers(const std::optional<Choice>& choice,
                           const PlacementState& state,
                           const ExpectedWork& work);
  // @return the eligible servers within `reach` that were not asked yet
  std::vector<Candidate> UnprobedServers(Reach reach) const;
  void ProbeCandidates(std::size_t first, Duration probe_timeout);
  void OnProbeTimeout();
  void RetryPlacementAfter(Duration delay);
  std::vector<Candidate> Eligible() const;
  void OnReply(std::size_t round, std::size_t index, const LoadReply& reply);
  void Place(SendKind send_kind);
  void LogNotPlaced(std::string_view reason,
                    const std::optional<Choice>& choice);
  void PlaceHedge(const std::optional<Choice>& choice);
  void Send(const Candidate& candidate, Duration expected);
  std::string BuildServerRequest(const ServerRecord& server) const;
  void ArmHedge(Duration expected);

  void OnResult(const AttemptPtr& attempt, CallResult result);
  void OnNotSent(const AttemptPtr& attempt, const NotSent& result);
  void OnNoResponse(const AttemptPtr& attempt, const std::string& problem);
  void OnServerResponse(const AttemptPtr& attempt,
                        const ServerResponse& response);
  void OnNotRun(const AttemptPtr& attempt, unsigned status, bool had_room);
  void Relay(const AttemptPtr& attempt, const ServerResponse& response);

  bool TryTakeRetry();
  void OnDeadline();
  // Refuses the request, or says that it may have run.
  void RefuseOrFail(NotRunReason reason, Duration retry_after);
  void RefuseAsNotRun(NotRunReason reason, Duration retry_after);
  void FailAsUnknown(unsigned status, UnknownReason reason);
  void RespondLocally(unsigned status, std::string_view outcome,
                      std::string_view reason,
                      std::optional<Duration> retry_after);
  void Finish(CallerResponse response, std::string_view outcome,
              std::string_view reason);
  void CancelAttempts();

  Duration Elapsed() const { return SteadyClock::now() - request_.read_at; }
  Duration TimeLeft() const { return deadline_ - SteadyClock::now(); }

  TrafficContext* context_;
  LoadProber* prober_;
  CallerRequest request_;
  Done done_;
  std::shared_ptr<const RouteTable> routes_;
  const TrafficRoute* route_ = nullptr;
  ServiceName service_;
  ContentDigest digest_ = 0;
  bool admitted_ = false;  // Counted as running by `CrashSuspects`.
  bool isolated_ = false;  // Only on a server that runs nothing else.
  TimePoint deadline_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer step_timer_;

  std::size_t round_ = 0;  // Answers of an earlier round are ignored.
  std::vector<Candidate> candidates_;
  std::size_t replies_missing_ = 0;
  SendKind send_kind_ = SendKind::kPrimary;
  Reach reach_ = Reach::kNearest;

  std::vector<AttemptPtr> attempts_;  // Under way.
  std::set<BackendServerName> tried_;
  int sends_ = 0;
  int connect_failures_ = 0;  // Sends that found no connection.
  int deferrals_ = 0;  // Rounds of questions after which it was not sent.
  bool may_have_run_ = false;
  bool finished_ = false;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_EXCHANGE_H_
