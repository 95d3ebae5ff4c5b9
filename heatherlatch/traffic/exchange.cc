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

// How long a probe for a crash may take: several round trips within a region,
// plus the longest specified probe time.
constexpr Duration kCrashProbeTimeout = std::chrono::milliseconds(25);

// Interval between two checks whether content that is suspected of crashing
// servers may be sent.
constexpr Duration kAdmissionInterval = std::chrono::milliseconds(40);

// Time budget of a request if neither the caller nor the route states one.
constexpr Duration kDefaultTimeBudget = std::chrono::seconds(30);

// A hedged request is sent once the attempt takes longer than the expected time
// times the factor plus the margin, which is more than three standard
// deviations of the specified service times.
constexpr double kHedgeDelayFactor = 1.6;
constexpr Duration kHedgeDelayMargin = std::chrono::milliseconds(15);

// The part of the latency target of its route for which a request waits for a
// token of its allotment.
constexpr double kMaxAllotmentWaitShare = 0.5;

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

void KeepIdle(std::vector<Candidate>* candidates) {
  boost::remove_erase_if(*candidates, [](const Candidate& candidate) {
    return !IsIdle(candidate);
  });
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

Exchange::~Exchange() {
  if (search_) search_->Cancel();
}

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
  if (!Identify()) return;
  const double point =
      std::uniform_real_distribution<double>(0, 1)(context_->rng);
  const WeightedService* chosen = ChooseService(*route_, point);
  if (chosen == nullptr) {
    RefuseByConfiguration(kServiceUnavailable, NotRunReason::kNoServer,
                          kRetryAfter);
    return;
  }
  service_ = chosen->service;
  // The route's own spelling: callers may write its host name in other cases,
  // or with a port.
  digest_ =
      DigestWithin(route_->authority, request_.method, request_.target, Body());
  context_->RetryBudgetFor(service_).OnSuccess();
  ArmDeadline();
  if (IsTooLateForHost()) {
    RefuseAsNotRun(NotRunReason::kDeadlineTooShort, kRetryAfter);
    return;
  }
  SelectServerWithinAllotment();
}

bool Exchange::NeedsAllotment() const {
  return organisation_ && organisation_->requests_per_second > 0 &&
         !may_have_run_ && attempts_.empty();
}

bool Exchange::TryTakeAllotment() {
  if (!NeedsAllotment()) return true;
  if (token_ && context_->budget->IsValid(*token_)) return true;
  token_ = context_->budget->TryAcquire(allotment());
  token_used_ = false;
  return token_.has_value();
}

void Exchange::SelectServerWithinAllotment() {
  if (!NeedsAllotment()) {
    NoteArrival();
    SelectServer(SendKind::kPrimary);
    return;
  }
  const Duration max_wait = std::min(
      TimeLeft(), Scale(route_->latency_target, kMaxAllotmentWaitShare));
  context_->budget->Acquire(
      allotment(), max_wait,
      [self = shared_from_this()](const BudgetAnswer& answer) {
        self->OnAllotment(answer);
      });
}

void Exchange::OnAllotment(const BudgetAnswer& answer) {
  struct Visitor {
    Exchange* exchange;
    void operator()(const BudgetGranted& token) const {
      exchange->token_ = token;
      exchange->token_used_ = false;
      if (exchange->finished_) {
        exchange->ReturnAllotment();
      } else {
        exchange->NoteArrival();
        exchange->SelectServer(SendKind::kPrimary);
      }
    }
    void operator()(const BudgetExhausted& exhausted) const {
      if (exchange->finished_) return;
      exchange->RefuseBeyondAllotment(exhausted.retry_after);
    }
    void operator()(const BudgetUnreachable&) const {
      if (exchange->finished_) return;
      exchange->RefuseAsNotRun(NotRunReason::kAllotmentNotConfirmed,
                               kRetryAfter);
    }
  };
  std::visit(Visitor{this}, answer);
}

void Exchange::NoteArrival() {
  if (arrival_kind_) return;
  arrival_kind_ = queue().OnArrival(
      RankOf(route_->priority, organisation()),
      MayReturn(TimeLeft(), route_->latency_target), SteadyClock::now());
}

void Exchange::RefuseBeyondAllotment(Duration retry_after) {
  RespondLocally(kTooManyRequests, "refused",
                 ToString(NotRunReason::kAllotmentExceeded), retry_after);
}

void Exchange::ReturnAllotment() {
  if (!token_ || token_used_) return;
  context_->budget->Return(allotment(), *token_);
  token_.reset();
}

bool Exchange::Identify() {
  key_checked_in_ = routes_->version;
  if (routes_->organisations.empty()) return true;
  const CallerVerdict verdict =
      IdentifyCaller(routes_->organisations, request_.key, route_->is_public,
                     context_->KnowledgeOfKeys());
  if (const auto* known = std::get_if<OnBehalfOf>(&verdict)) {
    organisation_ = *known->organisation;
    context_->metrics.Count("keys", "accepted");
    return true;
  }
  if (std::holds_alternative<Anonymous>(verdict)) return true;
  RefuseKey(verdict);
  return false;
}

void Exchange::RefuseKey(const CallerVerdict& verdict) {
  const auto* presented = std::get_if<PresentedKey>(&request_.key);
  const std::string tag = presented == nullptr ? "" : KeyTag(presented->key);
  const auto* not_confirmed = std::get_if<KeyNotConfirmed>(&verdict);
  const std::string_view why =
      not_confirmed == nullptr ? "unknown" : not_confirmed->reason;
  context_->metrics.Count("keys", why);
  context_->log.Write(
      "key-refused",
      {{"request", request_.request_id}, {"key_tag", tag}, {"reason", why}});
  if (not_confirmed == nullptr) {
    RefuseByConfiguration(kUnauthorized, NotRunReason::kUnknownKey,
                          std::nullopt);
  } else {
    RefuseByConfiguration(kServiceUnavailable, NotRunReason::kKeyNotConfirmed,
                          kRetryAfter);
  }
}

bool Exchange::MayStillUseKey() {
  if (!organisation_) return true;
  const bool current = context_->MayUseKeys();
  if (current && context_->routes->version == key_checked_in_) return true;
  const CallerVerdict verdict =
      IdentifyCaller(context_->routes->organisations, request_.key, false,
                     {context_->table_confirmation.is_newest, current});
  const auto* known = std::get_if<OnBehalfOf>(&verdict);
  if (known != nullptr && known->organisation->name == organisation_->name) {
    key_checked_in_ = context_->routes->version;
    organisation_ = *known->organisation;
    return true;
  }
  context_->metrics.Count("keys", "withdrawn");
  return false;
}

bool Exchange::Admit() {
  if (admitted_) return true;
  const SuspectVerdict verdict =
      context_->suspects.Admit(digest_, SteadyClock::now());
  admitted_ = verdict == SuspectVerdict::kClear;
  isolated_ = false;
  if (verdict != SuspectVerdict::kClear) {
    context_->log.Write("suspected", {{"request", request_.request_id},
                                      {"digest", std::to_string(digest_)},
                                      {"verdict", ToString(verdict)}});
  }
  if (verdict == SuspectVerdict::kIsolate) AskForIsolatedRun();
  if (verdict == SuspectVerdict::kWait) SelectServerAfter(kAdmissionInterval);
  if (verdict == SuspectVerdict::kRefuse) {
    RefuseOrFail(NotRunReason::kSuspectedOfCrashingServers, kSuspectRetryAfter);
  }
  return verdict == SuspectVerdict::kClear;
}

void Exchange::AskForIsolatedRun() {
  context_->ask_for_isolated_run(
      digest_, [self = shared_from_this()](IsolatedRunAnswer answer) {
        self->OnIsolatedRunAnswer(answer);
      });
}

void Exchange::OnIsolatedRunAnswer(IsolatedRunAnswer answer) {
  admitted_ = true;
  isolated_ = answer == IsolatedRunAnswer::kGranted;
  if (finished_ || answer == IsolatedRunAnswer::kDenied) {
    EndAdmission();
    if (!finished_) SelectServerAfter(kAdmissionInterval);
    return;
  }
  if (answer == IsolatedRunAnswer::kCleared) {
    context_->suspects.OnClearedElsewhere(digest_);
  } else if (context_->suspects.IsRefused(digest_, SteadyClock::now())) {
    // The answer came with notices of more crashes.
    EndAdmission();
    RefuseOrFail(NotRunReason::kSuspectedOfCrashingServers, kSuspectRetryAfter);
    return;
  }
  SelectServer(SendKind::kPrimary);
}

void Exchange::EndAdmission() {
  if (!admitted_) return;
  admitted_ = false;
  context_->suspects.OnInconclusiveEnd(digest_);
  if (isolated_) {
    context_->end_isolated_run(digest_, IsolatedRunEnd::kInconclusive,
                               std::nullopt);
  }
}

void Exchange::ProbeForCrash(const ServerRecord& server,
                             std::function<void()> then) {
  const bool was_admitted = std::exchange(admitted_, false);
  const bool was_isolated = was_admitted && isolated_;
  const std::size_t step = ++step_;
  const auto proceed = [self = shared_from_this(), step,
                        then = std::move(then)] {
    if (self->finished_ || step != self->step_) return;
    ++self->step_;
    self->step_timer_.cancel();
    then();
  };
  step_timer_.expires_after(kCrashProbeTimeout);
  step_timer_.async_wait([proceed](const boost::system::error_code& error) {
    if (!error) proceed();
  });
  prober_->ProbeOverNewConnection(server, [context = context_,
                                           service = service_, digest = digest_,
                                           name = server.name, was_admitted,
                                           was_isolated,
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
      if (was_isolated) {
        context->end_isolated_run(digest, IsolatedRunEnd::kCrashed, notice);
      }
    } else if (was_admitted) {
      context->suspects.OnInconclusiveEnd(digest);
      if (was_isolated) {
        context->end_isolated_run(digest, IsolatedRunEnd::kInconclusive,
                                  std::nullopt);
      }
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
  return TimeLeft() <= 2 * delay + Work().service_time;
}

std::vector<Candidate> Exchange::Eligible() const {
  const TimePoint now = SteadyClock::now();
  std::vector<Candidate> eligible;
  for (const ServerEntry* entry : context_->directory.Usable(service_, now)) {
    if (!MayBeServedIn(entry->record.zone)) continue;
    std::optional<Candidate> candidate = context_->CandidateFor(*entry, now);
    if (candidate) eligible.push_back(std::move(*candidate));
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

ExpectedWork Exchange::Work() const {
  ExpectedWork work = context_->statistics.Expect(*route_, SteadyClock::now());
  if (const auto& prices = context_->settings.zone_overflow) {
    work.crossing = {prices->byte_between_zones / prices->missed_target,
                     prices->byte_between_regions / prices->missed_target};
  }
  return work;
}

SearchScope Exchange::FirstScope() {
  if (isolated_) return SearchScope::kNearest;
  if (drawn_scope_) return *std::exchange(drawn_scope_, std::nullopt);
  return context_->overflow.Draw(
      {service_, *route_, Work(), Body().size(),
       queue().empty() ? Duration::zero()
                       : queue()
                             .DrainTime(SteadyClock::now())
                             .value_or(State().service_time)},
      SteadyClock::now());
}

PlacementState Exchange::State() const {
  PlacementState state{Elapsed(), route_->latency_target, TimeForServer(),
                       Work().service_time};
  state.keeps_waiting = ReturnedAsTold();
  return state;
}

Duration Exchange::TimeForServer() const {
  const auto& end = context_->requests_end_at;
  return end ? std::min(TimeLeft(), *end - SteadyClock::now()) : TimeLeft();
}

NotRunReason Exchange::WhyNotPlaced(NotRunReason reason) const {
  const auto& end = context_->requests_end_at;
  return end && *end < deadline_ ? NotRunReason::kHostStopping : reason;
}

void Exchange::SelectServer(SendKind send_kind) {
  if (!Admit()) return;
  if (send_kind == SendKind::kHedge) {
    StartSearch(send_kind, [this](const FoundServers& found) {
      PlaceHedge(found.candidates);
    });
  } else if (queue().empty()) {
    StartSearch(send_kind, [this](const FoundServers& found) { Place(found); });
  } else {
    Wait(std::nullopt);
    if (finished_ || sends_ > 0) return;
    const SearchScope scope = FirstScope();
    if (scope == SearchScope::kNearest) return;
    drawn_scope_ = scope;
    queue().SearchBeyondZone(queue_id_);
  }
}

void Exchange::StartSearch(SendKind send_kind, ServerSearch::Done done) {
  if (!search_) {
    search_ = std::make_shared<ServerSearch>(
        context_, prober_,
        SearchSubject{service_, [this] { return Eligible(); },
                      [this] { return Work(); }, [this] { return State(); },
                      isolated_, [this] { return FirstScope(); }});
  }
  search_->Start(send_kind == SendKind::kPrimary,
                 [weak = weak_from_this(),
                  done = std::move(done)](const FoundServers& found) {
                   const auto self = weak.lock();
                   if (self && !self->finished_) done(found);
                 });
}

bool Exchange::Place(const FoundServers& found) {
  std::vector<Candidate> candidates = found.candidates;
  // Another request may have been placed since the search.
  RefreshCandidates(*context_, &candidates, SteadyClock::now());
  const bool unreachable =
      !candidates.empty() && std::all_of(candidates.begin(), candidates.end(),
                                         [](const Candidate& candidate) {
                                           return candidate.not_listening;
                                         });
  if (isolated_) KeepIdle(&candidates);
  const std::optional<Choice> choice = ChooseServer(candidates, Work());
  PlacementState state = State();
  state.unreachable = unreachable;
  const PlacementDecision decision =
      !choice && found.is_incomplete         ? DecideWithoutReading(state)
      : isolated_ && !choice && !unreachable ? DecideIsolatedPlacement(state)
                                             : DecidePlacement(choice, state);
  if (std::holds_alternative<SendNow>(decision)) {
    Send(candidates[choice->index], choice->expected);
    return true;
  }
  if (std::holds_alternative<ProbeAgain>(decision)) {
    Wait(choice);
    return false;
  }
  const auto& refusal = std::get<Refuse>(decision);
  queue().Leave(queue_id_);
  const NotRunReason reason = WhyNotPlaced(refusal.reason);
  if (!may_have_run_) LogNotPlaced(ToString(reason), choice);
  if (reason == NotRunReason::kNoServer && shed_with_room_) {
    RefuseOrFail(NotRunReason::kShedByServer, RetryAfterShed(*shed_with_room_));
  } else {
    RefuseOrFail(reason, RetryAfterWaiting());
  }
  return false;
}

bool Exchange::PlaceOnOffered(std::vector<Candidate> offered) {
  boost::remove_erase_if(offered, [this](const Candidate& candidate) {
    return tried_.count(candidate.server.name) > 0 ||
           !MayBeServedIn(candidate.server.zone);
  });
  RefreshCandidates(*context_, &offered, SteadyClock::now());
  const ExpectedWork work = Work();
  boost::remove_erase_if(offered, [&](const Candidate& candidate) {
    return IsInOtherRegion(candidate) && !MayCrossRegions(work);
  });
  if (isolated_) KeepIdle(&offered);
  const std::optional<Choice> choice = ChooseServer(offered, work);
  if (!choice) return false;
  const PlacementDecision decision = DecidePlacement(choice, State());
  if (!std::holds_alternative<SendNow>(decision)) return false;
  Send(offered[choice->index], choice->expected);
  return true;
}

void Exchange::Wait(const std::optional<Choice>& choice) {
  if (++deferrals_ == 1) LogNotPlaced("waits", choice);
  if (queue_id_ == 0) queue_id_ = queue().NextId();
  JoinQueue();
}

void Exchange::JoinQueue() {
  const TimePoint now = SteadyClock::now();
  const PlacementState state = State();
  const WaitBounds bounds = BoundWait(state);
  WaitingRequest waiting;
  waiting.id = queue_id_;
  waiting.priority = RankOf(route_->priority, organisation());
  waiting.send_by = now + bounds.until_late;
  waiting.give_up_at = now + bounds.until_given_up;
  if (context_->requests_end_at) {
    waiting.give_up_at = std::min(
        waiting.give_up_at, *context_->requests_end_at - state.service_time);
  }
  waiting.bytes = Body().size();
  if (organisation_) waiting.organisation = organisation_->name;
  waiting.has_place = ReturnedAsTold();
  if (arrival_kind_ == ArrivalKind::kReturning) {
    waiting.send_by = std::min(waiting.send_by, request_.read_at);
  }
  const auto self = shared_from_this();
  queue().Join(waiting,
               {[self](const FoundServers& found, bool own_search) {
                  return own_search ? self->Place(found)
                                    : self->PlaceOnOffered(found.candidates);
                },
                [self](ServerSearch::Done done) {
                  self->StartSearch(SendKind::kPrimary, std::move(done));
                },
                [self](bool at_arrival) { self->RefuseForTurn(at_arrival); }});
}

void Exchange::RefuseForTurn(bool at_arrival) {
  const NotRunReason reason = WhyNotPlaced(NotRunReason::kQueueFull);
  if (!at_arrival) context_->metrics.queue_time.Observe(Elapsed());
  if (!may_have_run_) LogNotPlaced(ToString(reason), std::nullopt);
  RefuseOrFail(reason, RetryAfterWaiting());
}

Duration Exchange::RetryAfterWaiting() {
  return queue().RetryAfter(TimeLeft(), SteadyClock::now());
}

void Exchange::SelectServerAfter(Duration delay) {
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
       {"queued", static_cast<double>(queue().size())},
       {"returns", ReturnedAsTold() ? 1.0 : 0.0},
       {"best_ms", choice ? ToMilliseconds(choice->expected) : -1},
       {"best_is_full",
        choice && choice->occupancy == Occupancy::kQueued ? 1.0 : 0.0},
       {"waits", static_cast<double>(deferrals_)},
       {"waited_ms", ToMilliseconds(Elapsed())},
       {"left_ms", ToMilliseconds(TimeLeft())}});
}

void Exchange::PlaceHedge(const std::vector<Candidate>& candidates) {
  const std::optional<Choice> choice = ChooseServer(candidates, Work());
  const bool meets_target =
      choice && choice->occupancy != Occupancy::kQueued &&
      Elapsed() + choice->expected + kCallerRoundTrip <= route_->latency_target;
  if (!meets_target || attempts_.empty() || !HasAttemptsLeft()) return;
  if (!context_->RetryBudgetFor(service_).TryRetry()) return;
  context_->metrics.Count("sends", "second");
  Send(candidates[choice->index], choice->expected);
}

void Exchange::Send(const Candidate& candidate, Duration expected) {
  if (!MayStillUseKey()) {
    // An attempt that runs already goes on.
    if (attempts_.empty()) {
      RefuseOrFail(NotRunReason::kKeyWithdrawn, kRetryAfter);
    }
    return;
  }
  if (!TryTakeAllotment()) {
    queue().Leave(queue_id_);
    SelectServerWithinAllotment();
    return;
  }
  token_used_ = true;
  const TimePoint now = SteadyClock::now();
  const ServerRecord& server = candidate.server;
  const std::optional<Duration> cold_age =
      context_->observations.ColdStatementAge(server.name, now);
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
    if (context_->directory.LeavesOutLeaving(service_, now)) {
      context_->metrics.Count("server_statements", "sent-elsewhere");
    }
  }
  context_->observations.OnSent(server.name, now);
  context_->metrics.Count("sends_by_distance", ToString(candidate.distance));
  context_->cold_permits.Use(server.name);
  if (context_->settings.server_subset) {
    context_->metrics.Count("subset_sends",
                            candidate.in_subset ? "member" : "other");
  }
  context_->ProbeBudgetFor(service_).OnSent(now);
  if (queue().Contains(queue_id_)) {
    context_->metrics.Count("waits", "sent");
    context_->metrics.queue_time.Observe(Elapsed());
  }
  queue().Leave(queue_id_);
  queue().OnSent(now, organisation_ ? organisation_->name : OrganisationName());
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
       {"cold", LogValue(candidate.cold)},
       {"cold_stated_before_ms", cold_age ? ToMilliseconds(*cold_age) : -1.0},
       {"queued", static_cast<double>(queue().size())},
       {"member", context_->settings.server_subset
                      ? LogValue(candidate.in_subset)
                      : std::monostate()},
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
  std::string head =
      request_.method + " " + request_.target + " HTTP/1.1\r\n" +
      (routes_->organisations.empty() ? request_.forwarded_fields
                                      : request_.anonymous_fields) +
      wire::ServerRequestFields(
          server.name, TimeLeft(),
          organisation_ ? organisation_->name : OrganisationName());
  if (request_.has_body) {
    head += "Content-Length: " + std::to_string(Body().size()) + "\r\n";
  }
  return {head + "\r\n", request_.body};
}

void Exchange::ArmHedge(Duration expected) {
  // The timer of an earlier attempt must not outlive it.
  step_timer_.cancel();
  if (!route_->idempotent || isolated_ || !HasAttemptsLeft()) return;
  step_timer_.expires_after(Scale(expected, kHedgeDelayFactor) +
                            kHedgeDelayMargin);
  step_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->finished_ || self->attempts_.empty()) return;
        self->SelectServer(SendKind::kHedge);
      });
}

void Exchange::RecordStatement(const Attempt& attempt,
                               const CallResult& result) const {
  const auto* response = std::get_if<ServerResponse>(&result);
  if (response == nullptr) return;
  const unsigned status = response->message.result_int();
  const auto fields = wire::ReadServerResponse(status, response->message);
  if (!IsStatementOf(attempt.server.name, status, fields,
                     request_.request_id)) {
    return;
  }
  context_->RecordServerStatement(attempt.server, fields, "response",
                                  SteadyClock::now());
}

void Exchange::OnResult(const AttemptPtr& attempt, CallResult result) {
  RecordStatement(*attempt, result);
  if (finished_) return;
  attempts_.erase(std::remove(attempts_.begin(), attempts_.end(), attempt),
                  attempts_.end());
  context_->ProbeBudgetFor(service_).OnEnded(SteadyClock::now());
  context_->connections.Release(attempt->server.endpoint, attempt->connection);
  context_->RecordCut(result, request_.request_id, attempt->server.name.str());
  if (const auto* not_sent = std::get_if<NotSent>(&result)) {
    OnNotSent(attempt, *not_sent);
  } else if (const auto* no_response = std::get_if<NoResponse>(&result)) {
    OnNoResponse(attempt, no_response->problem);
  } else {
    OnServerResponse(attempt, std::get<ServerResponse>(std::move(result)));
    // Last, since another request may now use the connection.
    queue().OnReading(attempt->server.name, SteadyClock::now());
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
  const ResponseProof proof =
      ClassifyResponse(status, fields, request_.request_id);
  if (const auto* not_trusted = std::get_if<NotTrusted>(&proof)) {
    LogNotAccepted(attempt, status, fields, not_trusted->reason);
    attempt->connection->Cancel();
    OnNoResponse(attempt, "the response proves nothing: " +
                              std::string(not_trusted->reason));
    return;
  }
  if (fields.load) {
    const bool counts_itself = !std::holds_alternative<NotExecuted>(proof);
    context_->RecordReading(
        attempt->server,
        counts_itself ? WithoutOneRequest(*fields.load) : *fields.load, now);
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
    if (isolated_) {
      context_->end_isolated_run(digest_, IsolatedRunEnd::kCleared,
                                 std::nullopt);
    }
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
  if (!had_room) {
    context_->rooms.OnRefusal(service_, attempt->server.zone,
                              SteadyClock::now());
  }
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
  return HasAttemptsLeft() && TimeLeft() > Duration::zero() &&
         context_->RetryBudgetFor(service_).TryRetry();
}

void Exchange::Relay(const AttemptPtr& attempt, ServerResponse&& response,
                     bool is_signed) {
  const TimePoint now = SteadyClock::now();
  const Duration round_trip = RoundTrip(attempt->distance);
  const std::optional<Duration> service_time = CertainServiceTime(
      now - attempt->sent_at - round_trip, now - context_->EarliestArrival(now),
      Work().service_time);
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
  if (IsSuccess(relayed.status) && service_time) {
    context_->statistics.RecordResponse(route_->name, *service_time,
                                        attempt->slowdown, attempt->occupancy,
                                        relayed.body.size(), now);
    context_->metrics.server_time.Observe(*service_time + round_trip);
  }
  context_->metrics.Count("response_bytes_by_distance",
                          ToString(attempt->distance), relayed.body.size());
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
  StopTimersAndAttempts();
  ReturnAllotment();
  const Duration total = Elapsed();
  context_->metrics.Count("requests", outcome);
  context_->metrics.request_time.Observe(total);
  const std::string_view route_name =
      route_ == nullptr ? "" : route_->name.str().c_str();
  const DecisionLog::Value absent = std::monostate();
  const auto& basis = configuration_basis_;
  context_->log.Write(
      "ended",
      {{"request", request_.request_id},
       {"route", route_name},
       {"organisation",
        organisation_ ? DecisionLog::Value(organisation_->name.str()) : absent},
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
       {"hops", basis ? basis->hops() : absent},
       {"table_revision", basis ? basis->table_revision() : absent},
       {"known_revision", basis ? basis->known_revision() : absent}});
  const Done done = std::move(done_);
  if (done) done(std::move(response));
}

void Exchange::Abandon() {
  if (finished_) return;
  finished_ = true;
  EndAdmission();
  StopTimersAndAttempts();
  ReturnAllotment();
  done_ = nullptr;
  context_->metrics.Count("requests", "abandoned");
  context_->log.Write("caller-gone",
                      {{"request", request_.request_id},
                       {"waited_ms", ToMilliseconds(Elapsed())}});
}

void Exchange::OnHostStopping() {
  if (!finished_ && queue_id_ != 0 && queue().Contains(queue_id_)) JoinQueue();
}

void Exchange::EndWithHost() {
  if (finished_) return;
  if (attempts_.empty()) {
    RefuseOrFail(NotRunReason::kHostStopping, kRetryAfter);
  } else {
    FailAsUnknown(kBadGateway, UnknownReason::kStillRunning);
  }
}

void Exchange::StopTimersAndAttempts() {
  deadline_timer_.cancel();
  step_timer_.cancel();
  if (search_) search_->Cancel();
  if (queue_id_ != 0) queue().Leave(queue_id_);
  for (const AttemptPtr& attempt : attempts_) {
    attempt->connection->Cancel();
    context_->ProbeBudgetFor(service_).OnEnded(SteadyClock::now());
  }
  attempts_.clear();
}

}  // namespace heatherlatch
