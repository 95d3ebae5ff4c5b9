#include "heatherlatch/traffic/exchange.h"

#include <algorithm>
#include <boost/range/algorithm_ext/erase.hpp>
#include <utility>

#include "heatherlatch/admission/content_digest.h"
#include "heatherlatch/routing/unrouted_decision.h"
#include "heatherlatch/traffic/http_status.h"
#include "heatherlatch/traffic/response_classification.h"

namespace heatherlatch {
namespace {

// Candidates probed before a request is sent. With six, more requests are
// served while a deployment starts up than with three.
constexpr std::size_t kCandidatesProbed = 6;

// Age up to which a load reading replaces a probe: a third of the latency
// between zones.
constexpr Duration kReadingMaxAge = std::chrono::milliseconds(1);

// How long a round of probes may take. Within a region: several round trips
// plus the longest specified probe time. Between regions: two round trips,
// since a connection may have to be opened first.
constexpr Duration kProbeTimeoutInRegion = std::chrono::milliseconds(25);
// If no server of a zone responds, the responses may be queued on this host's
// own link. This is the time that a usual download takes on the slowest
// specified link.
constexpr Duration kProbeTimeoutLinkBusy = std::chrono::milliseconds(75);
constexpr Duration kProbeTimeoutBetweenRegions = std::chrono::milliseconds(140);

// Time budget of a request if neither the caller nor the route states one.
constexpr Duration kDefaultTimeBudget = std::chrono::seconds(30);

// A hedged request is sent once the attempt takes longer than the expected time
// times the factor plus the margin, which is more than three standard
// deviations of the specified service times.
constexpr double kHedgeDelayFactor = 1.6;
constexpr Duration kHedgeDelayMargin = std::chrono::milliseconds(15);

// Failed connections after which a request is refused. More than the servers of
// a rack that fail at the same time.
constexpr int kMaxConnectFailures = 4;

// Retry-After for content that is known to crash servers. A content stays
// suspected for one minute; callers honour a Retry-After of up to a third of
// their time budget.
constexpr Duration kSuspectRetryAfter = std::chrono::seconds(5);

std::string_view ToString(SuspectVerdict verdict) {
  switch (verdict) {
    case SuspectVerdict::kClear:
      return "clear";
    case SuspectVerdict::kIsolate:
      return "alone";
    case SuspectVerdict::kWait:
      return "wait";
    case SuspectVerdict::kRefuse:
      return "refuse";
  }
  return "clear";
}

bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }

DecisionLog::Value LogValue(std::optional<bool> value) {
  if (!value) return std::monostate();
  return *value ? 1.0 : 0.0;
}

}  // namespace

Exchange::Exchange(TrafficContext* context, LoadProber* prober,
                   CallerRequest request, Done done)
    : context_(context),
      prober_(prober),
      request_(std::move(request)),
      done_(std::move(done)),
      deadline_timer_(*context->io),
      step_timer_(*context->io) {}

void Exchange::Start() {
  if (!context_->HasRoomForResponse()) {
    RefuseAsNotRun(NotRunReason::kOutOfMemory, kRetryAfter);
    return;
  }
  if (!context_->MayAwaitFirstConfiguration()) {
    Route();
    return;
  }
  context_->log.Write("kept-at-start", {{"request", request_.request_id}});
  context_->AwaitFirstConfiguration([self = shared_from_this()] {
    if (!self->finished_) self->Route();
  });
}

void Exchange::Route() {
  routes_ = context_->routes;
  if (!routes_) {
    RefuseByConfiguration(kServiceUnavailable,
                          NotRunReason::kConfigurationUnavailable, kRetryAfter);
    return;
  }
  if (request_.request_id.empty()) {
    RefuseByConfiguration(kBadRequest, NotRunReason::kMalformedRequest,
                          std::nullopt);
    return;
  }
  route_ = routes_->Find(request_.authority, request_.target);
  if (route_ == nullptr) {
    RefuseUnrouted();
    return;
  }
  const double point =
      std::uniform_real_distribution<double>(0, 1)(context_->rng);
  const WeightedService* chosen = ChooseService(*route_, point);
  if (chosen == nullptr) {
    RefuseByConfiguration(kServiceUnavailable, NotRunReason::kNoServer,
                          kRetryAfter);
    return;
  }
  service_ = chosen->service;
  digest_ = DigestOf(request_.method, request_.target, Body());
  context_->RetryBudgetFor(service_).OnSuccess();
  ArmDeadline();
  if (IsTooLateForHost()) {
    RefuseAsNotRun(NotRunReason::kDeadlineTooShort, kRetryAfter);
    return;
  }
  SelectServer(SendKind::kPrimary);
}

bool Exchange::Admit() {
  if (admitted_) return true;
  const SuspectVerdict verdict =
      context_->suspects.Admit(service_, digest_, SteadyClock::now());
  admitted_ =
      verdict == SuspectVerdict::kClear || verdict == SuspectVerdict::kIsolate;
  isolated_ = verdict == SuspectVerdict::kIsolate;
  if (verdict != SuspectVerdict::kClear) {
    context_->log.Write("suspected", {{"request", request_.request_id},
                                      {"digest", std::to_string(digest_)},
                                      {"verdict", ToString(verdict)}});
  }
  if (verdict == SuspectVerdict::kWait) PlaceAfter(kProbeAgainIntervalWhenLate);
  if (verdict == SuspectVerdict::kRefuse) {
    RefuseOrFail(NotRunReason::kSuspectedOfCrashingServers, kSuspectRetryAfter);
  }
  return admitted_;
}

void Exchange::EndAdmission() {
  if (!admitted_) return;
  admitted_ = false;
  context_->suspects.OnInconclusiveEnd(service_, digest_);
}

void Exchange::ProbeForCrash(const ServerRecord& server,
                             std::function<void()> then) {
  const bool was_admitted = std::exchange(admitted_, false);
  const std::size_t round = ++round_;
  const auto proceed = [self = shared_from_this(), round,
                        then = std::move(then)] {
    if (self->finished_ || round != self->round_) return;
    ++self->round_;
    self->step_timer_.cancel();
    then();
  };
  step_timer_.expires_after(kProbeTimeoutInRegion);
  step_timer_.async_wait([proceed](const boost::system::error_code& error) {
    if (!error) proceed();
  });
  prober_->ProbeOverNewConnection(server, [context = context_,
                                           service = service_, digest = digest_,
                                           name = server.name, was_admitted,
                                           proceed](const LoadReply& reply) {
    if (was_admitted && reply.health == Health::kNotListening) {
      const SuspectNotice notice =
          context->suspects.OnEnd(service, digest, true, SteadyClock::now());
      context->log.Write("server-crashed",
                         {{"server", name.str()},
                          {"service", service.str()},
                          {"digest", std::to_string(digest)},
                          {"crashes", static_cast<double>(notice.crashes)}});
      context->share_suspect(notice);
    } else if (was_admitted) {
      context->suspects.OnInconclusiveEnd(service, digest);
    }
    proceed();
  });
}

void Exchange::ArmDeadline() {
  Duration budget =
      request_.time_budget.value_or(kDefaultTimeBudget) - kCallerRoundTrip;
  if (route_->timeout) budget = std::min(budget, *route_->timeout);
  deadline_ = request_.read_at + budget;
  deadline_timer_.expires_at(deadline_);
  deadline_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) self->OnDeadline();
      });
}

bool Exchange::IsTooLateForHost() const {
  const Duration delay = context_->loop_delay.delay();
  if (delay == Duration::zero()) return false;
  return TimeLeft() <=
         2 * delay + context_->statistics.Expect(*route_).service_time;
}

std::vector<Candidate> Exchange::Eligible() const {
  const TimePoint now = SteadyClock::now();
  std::vector<Candidate> eligible;
  for (const ServerEntry* entry : context_->directory.Usable(service_, now)) {
    const ServerRecord& server = entry->record;
    if (!context_->IsInHomeRegion(*route_, server.zone)) continue;
    Candidate candidate;
    candidate.server = server;
    candidate.distance = context_->DistanceTo(server.zone);
    candidate.cold = now < entry->cold_until ||
                     context_->observations.IsCold(server.name, now);
    if (candidate.cold &&
        !context_->observations.MaySendDuringColdStart(server.name, now)) {
      continue;
    }
    candidate.failed_recently =
        context_->observations.FailedRecently(server.name, now);
    candidate.connected = context_->connections.HasIdle(server.endpoint, now);
    eligible.push_back(std::move(candidate));
  }
  // For idempotent routes, if every eligible server was tried, they are tried
  // again: one of them may respond over a new connection.
  const auto untried = [this](const Candidate& candidate) {
    return tried_.count(candidate.server.name) == 0;
  };
  const auto end =
      std::stable_partition(eligible.begin(), eligible.end(), untried);
  if (end != eligible.begin() || !route_->idempotent) {
    eligible.erase(end, eligible.end());
  }
  return eligible;
}

void Exchange::SelectServer(SendKind send_kind) {
  if (!Admit()) return;
  send_kind_ = send_kind;
  search_scope_ = SearchScope::kNearest;
  candidates_ = DrawCandidates(Eligible(), kCandidatesProbed, &context_->rng);
  if (candidates_.empty()) {
    Place(send_kind);
    return;
  }
  const bool in_other_region = IsInOtherRegion(candidates_.front());
  if (in_other_region) search_scope_ = SearchScope::kEverywhere;
  ProbeCandidates(
      0, in_other_region ? kProbeTimeoutBetweenRegions : kProbeTimeoutInRegion);
}

bool Exchange::ProbeFartherServers(const std::optional<Choice>& choice,
                                   const PlacementState& state,
                                   const ExpectedWork& work) {
  while (const auto next =
             NextSearchScope(choice, state, work, search_scope_)) {
    search_scope_ = *next;
    const std::size_t first_new = candidates_.size();
    for (Candidate& candidate :
         DrawCandidates(UnprobedServers(search_scope_), kCandidatesProbed,
                        &context_->rng)) {
      candidates_.push_back(std::move(candidate));
    }
    if (candidates_.size() == first_new) continue;
    const bool any_responded = choice && choice->has_reading;
    ProbeCandidates(first_new, search_scope_ == SearchScope::kEverywhere
                                   ? kProbeTimeoutBetweenRegions
                               : any_responded ? kProbeTimeoutInRegion
                                               : kProbeTimeoutLinkBusy);
    return true;
  }
  return false;
}

std::vector<Candidate> Exchange::UnprobedServers(SearchScope scope) const {
  std::vector<Candidate> unprobed;
  bool other_zone = false;
  for (Candidate& candidate : Eligible()) {
    if (IsInOtherRegion(candidate) == (scope == SearchScope::kRegion)) continue;
    const auto is_same = [&](const Candidate& probed) {
      return probed.server.name == candidate.server.name;
    };
    if (std::any_of(candidates_.begin(), candidates_.end(), is_same)) continue;
    other_zone = other_zone || candidate.distance == Distance::kSameRegion;
    unprobed.push_back(std::move(candidate));
  }
  if (other_zone) {
    boost::remove_erase_if(unprobed, [](const Candidate& candidate) {
      return candidate.distance == Distance::kSameZone;
    });
  }
  return unprobed;
}

void Exchange::ProbeCandidates(std::size_t first, Duration probe_timeout) {
  const std::size_t round = ++round_;
  replies_missing_ = candidates_.size() - first;
  step_timer_.expires_after(probe_timeout);
  step_timer_.async_wait([self = shared_from_this(),
                          round](const boost::system::error_code& error) {
    if (!error && round == self->round_) self->OnProbeTimeout();
  });
  // The last reply places the request, and may add candidates.
  const std::size_t count = candidates_.size();
  for (std::size_t i = first; i < count; ++i) {
    candidates_[i].probe_pending = true;
  }
  // On a host that is behind, the reply to a probe is as old as the delay when
  // it is read.
  const Duration max_age =
      std::max(kReadingMaxAge, context_->loop_delay.delay());
  for (std::size_t i = first; i < count && round == round_; ++i) {
    const Candidate& candidate = candidates_[i];
    const auto known = context_->observations.Reading(
        candidate.server.name, max_age, SteadyClock::now());
    if (known) {
      OnReply(round, i, {Health::kHealthy, known, candidate.cold});
      continue;
    }
    prober_->Probe(candidate.server, [self = shared_from_this(), round,
                                      i](const LoadReply& reply) {
      self->OnReply(round, i, reply);
    });
  }
}

void Exchange::OnProbeTimeout() {
  if (finished_) return;
  const auto responded = [](const Candidate& candidate) {
    return candidate.reading.has_value();
  };
  // If no candidate responded, this host's own network may be at fault, so no
  // failure is recorded.
  if (std::any_of(candidates_.begin(), candidates_.end(), responded)) {
    for (const Candidate& candidate : candidates_) {
      if (!candidate.probe_pending || IsInOtherRegion(candidate)) continue;
      context_->observations.OnFailure(candidate.server.name,
                                       SteadyClock::now());
    }
  }
  Place(send_kind_);
}

void Exchange::OnReply(std::size_t round, std::size_t index,
                       const LoadReply& reply) {
  if (finished_ || round != round_) return;
  Candidate& candidate = candidates_[index];
  candidate.probe_pending = false;
  candidate.sent_since_reading =
      context_->observations.SentSinceReading(candidate.server.name);
  candidate.reading = reply.reading;
  candidate.cold = candidate.cold || reply.cold;
  if (reply.health == Health::kHealthy && !candidate.reading) {
    candidate.reading = LoadReading{0, 0, candidate.server.slots, 1};
  }
  if (reply.health != Health::kHealthy) candidate.failed_recently = true;
  candidate.not_listening = reply.health == Health::kNotListening;
  const bool settled =
      --replies_missing_ == 0 ||
      (!isolated_ &&
       IsSettled(candidates_, context_->statistics.Expect(*route_)));
  if (settled) Place(send_kind_);
}

void Exchange::Place(SendKind send_kind) {
  if (finished_) return;
  ++round_;
  step_timer_.cancel();
  const TimePoint now = SteadyClock::now();
  for (Candidate& candidate : candidates_) {
    candidate.probe_pending = false;
    candidate.sent_since_reading =
        context_->observations.SentSinceReading(candidate.server.name);
  }
  // Servers that were removed, and zones taken out of service, during the
  // probes.
  boost::remove_erase_if(candidates_, [&](const Candidate& candidate) {
    return context_->directory.FindUsable(candidate.server.name, now) ==
           nullptr;
  });
  const bool unreachable = !candidates_.empty() &&
                           std::all_of(candidates_.begin(), candidates_.end(),
                                       [](const Candidate& candidate) {
                                         return candidate.not_listening;
                                       });
  if (isolated_) {
    boost::remove_erase_if(candidates_, [](const Candidate& candidate) {
      return !IsIdle(candidate);
    });
  }
  const ExpectedWork work = context_->statistics.Expect(*route_);
  const std::optional<Choice> choice = ChooseServer(candidates_, work);
  if (send_kind == SendKind::kHedge) {
    PlaceHedge(choice);
    return;
  }
  const PlacementState state{Elapsed(), route_->latency_target, TimeLeft(),
                             work.service_time, unreachable};
  if (ProbeFartherServers(choice, state, work)) return;
  const PlacementDecision decision = isolated_ && !choice && !unreachable
                                         ? DecideIsolatedPlacement(state)
                                         : DecidePlacement(choice, state);
  if (std::holds_alternative<SendNow>(decision)) {
    Send(candidates_[choice->index], choice->expected);
  } else if (const auto* again = std::get_if<ProbeAgain>(&decision)) {
    if (++deferrals_ == 1) LogNotPlaced("waits", choice);
    PlaceAfter(again->after);
  } else {
    const auto& refusal = std::get<Refuse>(decision);
    if (!may_have_run_) LogNotPlaced(ToString(refusal.reason), choice);
    if (refusal.reason == NotRunReason::kNoServer && shed_with_room_) {
      RefuseOrFail(NotRunReason::kShedByServer,
                   RetryAfterShed(*shed_with_room_));
    } else {
      RefuseOrFail(refusal.reason, refusal.retry_after);
    }
  }
}

void Exchange::PlaceAfter(Duration delay) {
  step_timer_.expires_after(delay);
  step_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->finished_) return;
        self->context_->OnDue(self->step_timer_.expiry(), SteadyClock::now());
        self->SelectServer(SendKind::kPrimary);
      });
}

void Exchange::LogNotPlaced(std::string_view reason,
                            const std::optional<Choice>& choice) {
  context_->log.Write(
      "not-placed",
      {{"request", request_.request_id},
       {"reason", reason},
       {"configuration", static_cast<double>(routes_->version)},
       {"asked", static_cast<double>(candidates_.size())},
       {"best_ms", choice ? ToMilliseconds(choice->expected) : -1},
       {"best_is_full",
        choice && choice->occupancy == Occupancy::kQueued ? 1.0 : 0.0},
       {"waits", static_cast<double>(deferrals_)},
       {"waited_ms", ToMilliseconds(Elapsed())},
       {"left_ms", ToMilliseconds(TimeLeft())}});
}

void Exchange::PlaceHedge(const std::optional<Choice>& choice) {
  const bool meets_target =
      choice && choice->occupancy != Occupancy::kQueued &&
      Elapsed() + choice->expected + kCallerRoundTrip <= route_->latency_target;
  if (!meets_target || attempts_.empty()) return;
  if (!context_->RetryBudgetFor(service_).TryRetry()) return;
  context_->metrics.Count("sends", "second");
  Send(candidates_[choice->index], choice->expected);
}

void Exchange::Send(const Candidate& candidate, Duration expected) {
  const TimePoint now = SteadyClock::now();
  const ServerRecord& server = candidate.server;
  auto attempt = std::make_shared<Attempt>();
  attempt->server = server;
  attempt->sent_at = now;
  attempt->slowdown = candidate.reading ? candidate.reading->slowdown : 1;
  attempt->occupancy = OccupancyAfterSend(candidate);
  attempt->distance = candidate.distance;
  attempt->connection = context_->connections.Acquire(
      server.endpoint, !route_->idempotent, request_.request_id, now);
  attempts_.push_back(attempt);
  tried_.insert(server.name);
  if (++sends_ == 1) {
    context_->metrics.placement_time.Observe(now - request_.read_at);
  }
  context_->observations.OnSent(server.name, candidate.cold, now);
  context_->log.Write(
      "placed",
      {{"request", request_.request_id},
       {"route", route_->name.str()},
       {"configuration", static_cast<double>(routes_->version)},
       {"server", server.name.str()},
       {"running", candidate.reading
                       ? static_cast<double>(candidate.reading->running)
                       : -1},
       {"slowness", candidate.reading ? candidate.reading->slowdown : -1},
       {"asked", static_cast<double>(candidates_.size())},
       {"expected_ms", ToMilliseconds(expected)},
       {"send", static_cast<double>(sends_)},
       {"waits", static_cast<double>(deferrals_)},
       {"waited_ms", ToMilliseconds(now - request_.read_at)}});
  ResponseBounds bounds;
  bounds.is_head = request_.method == "HEAD";
  attempt->connection->Call(
      BuildServerRequest(server), bounds,
      [self = shared_from_this(), attempt](CallResult result) {
        self->OnResult(attempt, std::move(result));
      });
  ArmHedge(expected);
}

std::string_view Exchange::Body() const {
  return request_.body ? *request_.body : std::string_view();
}

OutgoingRequest Exchange::BuildServerRequest(const ServerRecord& server) const {
  std::string head = request_.method + " " + request_.target + " HTTP/1.1\r\n" +
                     request_.forwarded_fields +
                     wire::ServerRequestFields(server.name, TimeLeft());
  if (request_.has_body) {
    head += "Content-Length: " + std::to_string(Body().size()) + "\r\n";
  }
  return {head + "\r\n", request_.body};
}

void Exchange::ArmHedge(Duration expected) {
  if (!route_->idempotent || isolated_ || sends_ >= route_->max_attempts) {
    return;
  }
  step_timer_.expires_after(Scale(expected, kHedgeDelayFactor) +
                            kHedgeDelayMargin);
  step_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->finished_ || self->attempts_.empty()) return;
        self->SelectServer(SendKind::kHedge);
      });
}

void Exchange::OnResult(const AttemptPtr& attempt, CallResult result) {
  if (finished_) return;
  attempts_.erase(std::remove(attempts_.begin(), attempts_.end(), attempt),
                  attempts_.end());
  context_->connections.Release(attempt->server.endpoint, attempt->connection);
  context_->RecordCut(result, request_.request_id, attempt->server.name.str());
  if (const auto* not_sent = std::get_if<NotSent>(&result)) {
    OnNotSent(attempt, *not_sent);
  } else if (const auto* no_response = std::get_if<NoResponse>(&result)) {
    OnNoResponse(attempt, no_response->problem);
  } else {
    OnServerResponse(attempt, std::get<ServerResponse>(std::move(result)));
  }
}

void Exchange::OnNotSent(const AttemptPtr& attempt, const NotSent& result) {
  context_->observations.OnFailure(attempt->server.name, SteadyClock::now());
  context_->log.Write("not-sent", {{"request", request_.request_id},
                                   {"server", attempt->server.name.str()},
                                   {"problem", result.problem}});
  context_->metrics.Count("attempts", "not-sent");
  --sends_;
  if (!attempts_.empty()) return;
  EndAdmission();
  if (++connect_failures_ < kMaxConnectFailures) {
    SelectServer(SendKind::kPrimary);
  } else {
    RefuseOrFail(NotRunReason::kConnectFailed, kRetryAfter);
  }
}

void Exchange::OnNoResponse(const AttemptPtr& attempt,
                            const std::string& problem) {
  may_have_run_ = true;
  context_->observations.OnFailure(attempt->server.name, SteadyClock::now());
  context_->log.Write("no-answer", {{"request", request_.request_id},
                                    {"server", attempt->server.name.str()},
                                    {"problem", problem}});
  context_->metrics.Count("attempts", "no-answer");
  if (!attempts_.empty()) return;
  ProbeForCrash(attempt->server, [this] {
    if (route_->idempotent && TryTakeRetry()) {
      SelectServer(SendKind::kPrimary);
    } else {
      FailAsUnknown(kBadGateway, UnknownReason::kResponseLost);
    }
  });
}

void Exchange::OnServerResponse(const AttemptPtr& attempt,
                                ServerResponse&& response) {
  const TimePoint now = SteadyClock::now();
  const unsigned status = response.message.result_int();
  const auto fields = wire::ReadServerResponse(status, response.message);
  attempt->connection->idle_limit = fields.idle_timeout;
  if (fields.load) {
    context_->observations.OnReading(attempt->server.name, *fields.load, now);
  }
  const ResponseProof proof =
      ClassifyResponse(status, fields, request_.request_id);
  if (const auto* not_trusted = std::get_if<NotTrusted>(&proof)) {
    LogNotAccepted(attempt, status, fields, not_trusted->reason);
    attempt->connection->Cancel();
    OnNoResponse(attempt, "the response proves nothing: " +
                              std::string(not_trusted->reason));
    return;
  }
  if (!std::holds_alternative<Answered>(proof)) {
    attempt->connection->RecordFailedRequest(request_.request_id);
  }
  if (std::holds_alternative<NotExecuted>(proof)) {
    if (attempts_.empty()) EndAdmission();
    const bool had_room = fields.load
                              ? HasFreeSlot(*fields.load)
                              : attempt->occupancy != Occupancy::kQueued;
    OnNotRun(attempt, status, had_room);
    return;
  }
  if (admitted_) {
    admitted_ = false;
    context_->suspects.OnEnd(service_, digest_, false, now);
  }
  if (std::holds_alternative<Answered>(proof)) {
    Relay(attempt, std::move(response), fields.is_signed);
    return;
  }
  const bool may_relay = std::holds_alternative<FailedByServer>(proof);
  if (!may_relay) {
    LogNotAccepted(attempt, status, fields, "refused-without-proof");
  }
  if (!EndsAfterFailure(attempt, status)) return;
  if (may_relay) {
    Relay(attempt, std::move(response), fields.is_signed);
  } else {
    FailAsUnknown(kBadGateway, UnknownReason::kResponseLost);
  }
}

bool Exchange::EndsAfterFailure(const AttemptPtr& attempt, unsigned status) {
  context_->observations.OnFailure(attempt->server.name, SteadyClock::now());
  may_have_run_ = true;
  if (!attempts_.empty()) return false;
  if (!route_->idempotent || !TryTakeRetry()) return true;
  context_->log.Write("failed-by-server",
                      {{"request", request_.request_id},
                       {"server", attempt->server.name.str()},
                       {"status", static_cast<double>(status)}});
  SelectServer(SendKind::kPrimary);
  return false;
}

void Exchange::LogNotAccepted(const AttemptPtr& attempt, unsigned status,
                              const wire::ServerResponseFields& fields,
                              std::string_view reason) {
  DecisionLog::Value other_id = std::monostate();
  if (fields.request_id != request_.request_id) other_id = fields.request_id;
  context_->log.Write("response-not-accepted",
                      {{"request", request_.request_id},
                       {"server", attempt->server.name.str()},
                       {"status", static_cast<double>(status)},
                       {"signed", LogValue(fields.is_signed)},
                       {"carried_request", other_id},
                       {"reason", reason}});
}

void Exchange::OnNotRun(const AttemptPtr& attempt, unsigned status,
                        bool had_room) {
  context_->observations.OnFailure(attempt->server.name, SteadyClock::now());
  context_->log.Write("shed-by-server",
                      {{"request", request_.request_id},
                       {"server", attempt->server.name.str()},
                       {"status", static_cast<double>(status)},
                       {"had_room", had_room ? 1.0 : 0.0}});
  context_->metrics.Count("attempts", "shed");
  shed_with_room_ = had_room;
  if (!attempts_.empty()) return;
  if (TryTakeRetry()) {
    SelectServer(SendKind::kPrimary);
  } else {
    RefuseOrFail(NotRunReason::kShedByServer, RetryAfterShed(had_room));
  }
}

bool Exchange::TryTakeRetry() {
  return sends_ < route_->max_attempts && TimeLeft() > Duration::zero() &&
         context_->RetryBudgetFor(service_).TryRetry();
}

void Exchange::Relay(const AttemptPtr& attempt, ServerResponse&& response,
                     bool is_signed) {
  const Duration service_time = SteadyClock::now() - attempt->sent_at;
  CallerResponse relayed;
  relayed.status = response.message.result_int();
  for (const auto& field : response.message) {
    const std::string_view name(field.name_string().data(),
                                field.name_string().size());
    if (!wire::IsForwardedToCaller(name)) continue;
    relayed.fields.append(name).append(": ");
    relayed.fields.append(field.value().data(), field.value().size());
    relayed.fields += "\r\n";
  }
  relayed.body = std::move(response.message.body());
  relayed.is_signed = is_signed;
  relayed.held = std::move(response.held);
  if (request_.method == "HEAD") {
    relayed.head_content_length =
        std::string(response.message[http::field::content_length]);
  }
  if (IsSuccess(relayed.status)) {
    context_->statistics.RecordResponse(
        route_->name, service_time - RoundTrip(attempt->distance),
        attempt->slowdown, attempt->occupancy, relayed.body.size());
    context_->metrics.server_time.Observe(service_time);
  }
  context_->metrics.CountResponse(ResponseOrigin::kServer, relayed.status);
  Finish(std::move(relayed), "answered", attempt->server.name.str());
}

void Exchange::OnDeadline() {
  if (finished_) return;
  if (attempts_.empty() && !may_have_run_) {
    RefuseAsNotRun(NotRunReason::kDeadlineTooShort, kRetryAfter);
  } else {
    FailAsUnknown(kGatewayTimeout, UnknownReason::kDeadlineExceeded);
  }
}

void Exchange::RefuseOrFail(NotRunReason reason, Duration retry_after) {
  if (may_have_run_) {
    FailAsUnknown(kBadGateway, UnknownReason::kResponseLost);
  } else {
    RefuseAsNotRun(reason, retry_after);
  }
}

void Exchange::RefuseAsNotRun(NotRunReason reason, Duration retry_after) {
  RespondLocally(kServiceUnavailable, "refused", ToString(reason), retry_after);
}

void Exchange::RefuseByConfiguration(unsigned status, NotRunReason reason,
                                     std::optional<Duration> retry_after) {
  configuration_basis_.emplace(
      request_.authority, request_.target, context_->routes.get(),
      context_->table_confirmation, SteadyClock::now());
  RespondLocally(status, "refused", ToString(reason), retry_after);
}

void Exchange::RefuseUnrouted() {
  struct Visitor {
    Exchange* exchange;
    void operator()(const NoSuchRoute&) const {
      exchange->RefuseByConfiguration(kNotFound, NotRunReason::kNoRoute,
                                      std::nullopt);
    }
    void operator()(const NotConfirmed&) const {
      exchange->RefuseByConfiguration(kServiceUnavailable,
                                      NotRunReason::kConfigurationUnavailable,
                                      kRetryAfter);
    }
  };
  std::visit(Visitor{this},
             DecideUnrouted(context_->table_confirmation, SteadyClock::now()));
}

void Exchange::FailAsUnknown(unsigned status, UnknownReason reason) {
  RespondLocally(status, "unknown", ToString(reason), std::nullopt);
}

void Exchange::RespondLocally(unsigned status, std::string_view outcome,
                              std::string_view reason,
                              std::optional<Duration> retry_after) {
  CallerResponse response;
  response.status = status;
  response.fields = wire::HostResponseFields(request_.request_id, retry_after);
  response.body = std::string(reason) + "\n";
  context_->metrics.CountResponse(ResponseOrigin::kHost, status);
  Finish(std::move(response), outcome, reason);
}

void Exchange::Finish(CallerResponse response, std::string_view outcome,
                      std::string_view reason) {
  finished_ = true;
  EndAdmission();
  deadline_timer_.cancel();
  step_timer_.cancel();
  CancelAttempts();
  const Duration total = Elapsed();
  context_->metrics.Count("requests", outcome);
  context_->metrics.request_time.Observe(total);
  const std::string_view route_name =
      route_ == nullptr ? "" : route_->name.str().c_str();
  const DecisionLog::Value absent = std::monostate();
  const auto& basis = configuration_basis_;
  context_->log.Write("ended",
                      {{"request", request_.request_id},
                       {"route", route_name},
                       {"outcome", outcome},
                       {"reason", reason},
                       {"status", static_cast<double>(response.status)},
                       {"signed", LogValue(response.is_signed)},
                       {"sends", static_cast<double>(sends_)},
                       {"total_ms", ToMilliseconds(total)},
                       {"authority", basis ? basis->authority() : absent},
                       {"target", basis ? basis->target() : absent},
                       {"configuration", basis ? basis->version() : absent},
                       {"age_ms", basis ? basis->age_ms() : absent},
                       {"source", basis ? basis->source() : absent},
                       {"hops", basis ? basis->hops() : absent}});
  const Done done = std::move(done_);
  if (done) done(std::move(response));
}

void Exchange::Abandon() {
  if (finished_) return;
  finished_ = true;
  EndAdmission();
  deadline_timer_.cancel();
  step_timer_.cancel();
  CancelAttempts();
  done_ = nullptr;
  context_->metrics.Count("requests", "abandoned");
  context_->log.Write("caller-gone",
                      {{"request", request_.request_id},
                       {"waited_ms", ToMilliseconds(Elapsed())}});
}

void Exchange::CancelAttempts() {
  for (const AttemptPtr& attempt : attempts_) attempt->connection->Cancel();
  attempts_.clear();
}

}  // namespace heatherlatch
