#include "heatherlatch/traffic/exchange.h"

#include <algorithm>
#include <boost/range/algorithm_ext/erase.hpp>
#include <utility>

#include "heatherlatch/admission/content_digest.h"
#include "heatherlatch/traffic/http_status.h"
#include "platform/server_fields.h"

namespace heatherlatch {
namespace {

// Candidates asked before a request is sent. Source: the measured start of the
// platform's days, where six served more than three.
constexpr std::size_t kCandidatesAsked = 6;

// How old a reading may be to stand for a question. Source: a third of the way
// between zones.
constexpr Duration kReadingMaxAge = std::chrono::milliseconds(1);

// How long answers to questions are waited for. Source: several times the way
// there and back and the longest probe on the users' sheets; between regions
// twice the way there and back, since a connection may have to be opened first.
constexpr Duration kAskLimitInRegion = std::chrono::milliseconds(25);
// Where no server of a zone answers, the answers may wait on this host's own
// link. Source: the time that a usual download takes on the slowest link of the
// users' sheets.
constexpr Duration kAskLimitOwnLinkBusy = std::chrono::milliseconds(75);
constexpr Duration kAskLimitBetweenRegions = std::chrono::milliseconds(140);

// The wait of a caller that names none, where its route has no timeout.
constexpr Duration kDefaultWait = std::chrono::seconds(30);

// A second send starts when the first takes this much longer than expected.
// Source: beyond three standard deviations of service times on the sheets.
constexpr double kLateFactor = 1.6;
constexpr Duration kLateMargin = std::chrono::milliseconds(15);

// Servers that cannot be connected to before a request is refused.
// Source: more than the servers of a rack that are lost at a time.
constexpr int kMaxNotSent = 4;

// When a caller may come back whose content is known to crash servers. Source:
// a content is suspected for a minute; callers honour a third of their time.
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
bool IsServerFailure(unsigned status) { return status >= 500; }

}  // namespace

Exchange::Exchange(TrafficContext* context, LoadAsker* asker,
                   CallerRequest request, Done done)
    : context_(context),
      asker_(asker),
      request_(std::move(request)),
      done_(std::move(done)),
      give_up_timer_(*context->io),
      step_timer_(*context->io) {}

void Exchange::Start() {
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
    RefuseNotRun(NotRunReason::kConfigurationUnavailable, kRetryAfter);
    return;
  }
  if (request_.request_id.empty()) {
    AnswerItself(kBadRequest, "refused",
                 ToString(NotRunReason::kMalformedRequest), std::nullopt);
    return;
  }
  route_ = routes_->Find(request_.authority, request_.target);
  if (route_ == nullptr) {
    AnswerItself(kNotFound, "refused", ToString(NotRunReason::kNoRoute),
                 std::nullopt);
    return;
  }
  const double point =
      std::uniform_real_distribution<double>(0, 1)(context_->rng);
  const RoutePart* part = ChoosePart(*route_, point);
  if (part == nullptr) {
    RefuseNotRun(NotRunReason::kNoServer, kRetryAfter);
    return;
  }
  service_ = part->service;
  digest_ = DigestOf(request_.method, request_.target, request_.body);
  context_->Retries(service_).OnSuccess();
  ArmGiveUp();
  Ask(Purpose::kAnswer);
}

bool Exchange::Admit() {
  if (admitted_) return true;
  const SuspectVerdict verdict =
      context_->suspects.Admit(service_, digest_, SteadyClock::now());
  admitted_ =
      verdict == SuspectVerdict::kClear || verdict == SuspectVerdict::kIsolate;
  runs_alone_ = verdict == SuspectVerdict::kIsolate;
  if (verdict != SuspectVerdict::kClear) {
    context_->log.Write("suspected", {{"request", request_.request_id},
                                      {"digest", std::to_string(digest_)},
                                      {"verdict", ToString(verdict)}});
  }
  if (verdict == SuspectVerdict::kWait) AskAgainAfter(kAskAgainWhenLate);
  if (verdict == SuspectVerdict::kRefuse) {
    GiveUp(NotRunReason::kSuspectedOfCrashingServers, kSuspectRetryAfter);
  }
  return admitted_;
}

void Exchange::EndAdmission() {
  if (!admitted_) return;
  admitted_ = false;
  context_->suspects.OnEndWithoutAnswer(service_, digest_);
}

void Exchange::JudgeLoss(const ServerRecord& server,
                         std::function<void()> then) {
  const bool was_admitted = std::exchange(admitted_, false);
  const std::size_t round = ++round_;
  const auto go_on = [self = shared_from_this(), round,
                      then = std::move(then)] {
    if (self->finished_ || round != self->round_) return;
    ++self->round_;
    self->step_timer_.cancel();
    then();
  };
  step_timer_.expires_after(kAskLimitInRegion);
  step_timer_.async_wait([go_on](const boost::system::error_code& error) {
    if (!error) go_on();
  });
  asker_->AskAnew(server, [context = context_, service = service_,
                           digest = digest_, name = server.name, was_admitted,
                           go_on](const LoadReply& reply) {
    if (was_admitted && reply.health == Health::kGone) {
      const SuspectNotice notice =
          context->suspects.OnEnd(service, digest, true, SteadyClock::now());
      context->log.Write("server-crashed",
                         {{"server", name.str()},
                          {"service", service.str()},
                          {"digest", std::to_string(digest)},
                          {"crashes", static_cast<double>(notice.crashes)}});
      context->share_suspect(notice);
    } else if (was_admitted) {
      context->suspects.OnEndWithoutAnswer(service, digest);
    }
    go_on();
  });
}

void Exchange::ArmGiveUp() {
  Duration wait = request_.wait.value_or(kDefaultWait) - kCallerRoundTrip;
  if (route_->timeout) wait = std::min(wait, *route_->timeout);
  give_up_at_ = request_.read_at + wait;
  give_up_timer_.expires_at(give_up_at_);
  give_up_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) self->OnGiveUp();
      });
}

std::vector<Candidate> Exchange::Eligible() const {
  const TimePoint now = SteadyClock::now();
  std::vector<Candidate> eligible;
  for (const ServerEntry* entry : context_->directory.Usable(service_, now)) {
    const ServerRecord& server = entry->record;
    if (!context_->IsHome(*route_, server.zone)) continue;
    Candidate candidate;
    candidate.server = server;
    candidate.distance = context_->DistanceTo(server.zone);
    candidate.cold = now < entry->cold_until ||
                     context_->observations.IsCold(server.name, now);
    if (candidate.cold &&
        !context_->observations.MaySendCold(server.name, now)) {
      continue;
    }
    candidate.failed_lately =
        context_->observations.FailedLately(server.name, now);
    candidate.connected = context_->connections.HasIdle(server.endpoint, now);
    eligible.push_back(std::move(candidate));
  }
  // Where no other server is left, one that was used may answer over a new
  // connection.
  const auto unused = [this](const Candidate& candidate) {
    return used_.count(candidate.server.name) == 0;
  };
  const auto end =
      std::stable_partition(eligible.begin(), eligible.end(), unused);
  if (end != eligible.begin() || !route_->idempotent) {
    eligible.erase(end, eligible.end());
  }
  return eligible;
}

void Exchange::Ask(Purpose purpose) {
  if (!Admit()) return;
  purpose_ = purpose;
  reach_ = Reach::kNearest;
  candidates_ = DrawCandidates(Eligible(), kCandidatesAsked, &context_->rng);
  if (candidates_.empty()) {
    Place(purpose);
    return;
  }
  const bool far = IsInOtherRegion(candidates_.front());
  if (far) reach_ = Reach::kEverywhere;
  AskCandidates(0, far ? kAskLimitBetweenRegions : kAskLimitInRegion);
}

bool Exchange::Widen(const std::optional<Choice>& choice,
                     const PlacementState& state, const ExpectedWork& work) {
  while (const auto next = NextReach(choice, state, work, reach_)) {
    reach_ = *next;
    const std::size_t known = candidates_.size();
    for (Candidate& candidate :
         DrawCandidates(NotAsked(reach_), kCandidatesAsked, &context_->rng)) {
      candidates_.push_back(std::move(candidate));
    }
    if (candidates_.size() == known) continue;
    const bool any_answered = choice && choice->answered;
    AskCandidates(known, reach_ == Reach::kEverywhere ? kAskLimitBetweenRegions
                         : any_answered               ? kAskLimitInRegion
                                                      : kAskLimitOwnLinkBusy);
    return true;
  }
  return false;
}

std::vector<Candidate> Exchange::NotAsked(Reach reach) const {
  std::vector<Candidate> found;
  bool other_zone = false;
  for (Candidate& candidate : Eligible()) {
    if (IsInOtherRegion(candidate) == (reach == Reach::kRegion)) continue;
    const auto is_same = [&](const Candidate& asked) {
      return asked.server.name == candidate.server.name;
    };
    if (std::any_of(candidates_.begin(), candidates_.end(), is_same)) continue;
    other_zone = other_zone || candidate.distance == Distance::kSameRegion;
    found.push_back(std::move(candidate));
  }
  if (other_zone) {
    boost::remove_erase_if(found, [](const Candidate& candidate) {
      return candidate.distance == Distance::kSameZone;
    });
  }
  return found;
}

void Exchange::AskCandidates(std::size_t first, Duration limit) {
  const std::size_t round = ++round_;
  replies_missing_ = candidates_.size() - first;
  step_timer_.expires_after(limit);
  step_timer_.async_wait([self = shared_from_this(),
                          round](const boost::system::error_code& error) {
    if (!error && round == self->round_) self->OnAskLimit();
  });
  // The last reply places the request, and may draw other candidates.
  const std::size_t count = candidates_.size();
  for (std::size_t i = first; i < count; ++i) {
    candidates_[i].reply_pending = true;
  }
  for (std::size_t i = first; i < count && round == round_; ++i) {
    const Candidate& candidate = candidates_[i];
    const auto known = context_->observations.Reading(
        candidate.server.name, kReadingMaxAge, SteadyClock::now());
    if (known) {
      OnReply(round, i, {Health::kWell, known, candidate.cold});
      continue;
    }
    asker_->Ask(candidate.server,
                [self = shared_from_this(), round, i](const LoadReply& reply) {
                  self->OnReply(round, i, reply);
                });
  }
}

void Exchange::OnAskLimit() {
  if (finished_) return;
  const auto answered = [](const Candidate& candidate) {
    return candidate.reading.has_value();
  };
  // Where nothing answers at all, the way to this host may be at fault.
  if (std::any_of(candidates_.begin(), candidates_.end(), answered)) {
    for (const Candidate& candidate : candidates_) {
      if (!candidate.reply_pending || IsInOtherRegion(candidate)) continue;
      context_->observations.OnFailure(candidate.server.name,
                                       SteadyClock::now());
    }
  }
  Place(purpose_);
}

void Exchange::OnReply(std::size_t round, std::size_t index,
                       const LoadReply& reply) {
  if (finished_ || round != round_) return;
  Candidate& candidate = candidates_[index];
  candidate.reply_pending = false;
  candidate.sent_since_reading =
      context_->observations.SentSinceReading(candidate.server.name);
  candidate.reading = reply.reading;
  candidate.cold = candidate.cold || reply.cold;
  if (reply.health == Health::kWell && !candidate.reading) {
    candidate.reading = LoadReading{0, 0, candidate.server.slots, 1};
  }
  if (reply.health != Health::kWell) candidate.failed_lately = true;
  candidate.gone = reply.health == Health::kGone;
  const bool settled =
      --replies_missing_ == 0 ||
      (!runs_alone_ &&
       IsSettled(candidates_, context_->statistics.Expect(*route_)));
  if (settled) Place(purpose_);
}

void Exchange::Place(Purpose purpose) {
  if (finished_) return;
  ++round_;
  step_timer_.cancel();
  const TimePoint now = SteadyClock::now();
  for (Candidate& candidate : candidates_) {
    candidate.reply_pending = false;
    candidate.sent_since_reading =
        context_->observations.SentSinceReading(candidate.server.name);
  }
  // Servers that left, and zones taken out, while the questions were open.
  boost::remove_erase_if(candidates_, [&](const Candidate& candidate) {
    return context_->directory.FindUsable(candidate.server.name, now) ==
           nullptr;
  });
  const bool unreachable =
      !candidates_.empty() &&
      std::all_of(candidates_.begin(), candidates_.end(),
                  [](const Candidate& candidate) { return candidate.gone; });
  if (runs_alone_) {
    boost::remove_erase_if(candidates_, [](const Candidate& candidate) {
      return !IsIdle(candidate);
    });
  }
  const ExpectedWork work = context_->statistics.Expect(*route_);
  const std::optional<Choice> choice = ChooseServer(candidates_, work);
  if (purpose == Purpose::kSecondSend) {
    PlaceSecond(choice);
    return;
  }
  const PlacementState state{Waited(), route_->latency_target, TimeLeft(),
                             work.service_time, unreachable};
  if (Widen(choice, state, work)) return;
  const PatienceVerdict verdict = runs_alone_ && !choice && !unreachable
                                      ? DecideWithoutIdle(state)
                                      : Decide(choice, state);
  if (std::holds_alternative<SendNow>(verdict)) {
    Send(candidates_[choice->index], choice->expected);
  } else if (const auto* again = std::get_if<AskAgain>(&verdict)) {
    if (++waits_ == 1) LogNotPlaced("waits", choice);
    AskAgainAfter(again->after);
  } else {
    const auto& refusal = std::get<Refuse>(verdict);
    if (!may_have_run_) LogNotPlaced(ToString(refusal.reason), choice);
    GiveUp(refusal.reason, refusal.retry_after);
  }
}

void Exchange::AskAgainAfter(Duration delay) {
  step_timer_.expires_after(delay);
  step_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->finished_) self->Ask(Purpose::kAnswer);
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
        choice && choice->occupancy == Occupancy::kWaiting ? 1.0 : 0.0},
       {"waits", static_cast<double>(waits_)},
       {"waited_ms", ToMilliseconds(Waited())},
       {"left_ms", ToMilliseconds(TimeLeft())}});
}

void Exchange::PlaceSecond(const std::optional<Choice>& choice) {
  const bool in_time =
      choice && choice->occupancy != Occupancy::kWaiting &&
      Waited() + choice->expected + kCallerRoundTrip <= route_->latency_target;
  if (!in_time || attempts_.empty()) return;
  if (!context_->Retries(service_).TryRetry()) return;
  context_->metrics.Count("sends", "second");
  Send(candidates_[choice->index], choice->expected);
}

void Exchange::Send(const Candidate& candidate, Duration expected) {
  const TimePoint now = SteadyClock::now();
  const ServerRecord& server = candidate.server;
  auto attempt = std::make_shared<Attempt>();
  attempt->server = server;
  attempt->sent_at = now;
  attempt->slowness = candidate.reading ? candidate.reading->slowness : 1;
  attempt->occupancy = OccupancyWith(candidate);
  attempt->distance = candidate.distance;
  attempt->connection =
      context_->connections.Take(server.endpoint, !route_->idempotent, now);
  attempts_.push_back(attempt);
  used_.insert(server.name);
  if (++sends_ == 1) {
    context_->metrics.placing_time.Observe(now - request_.read_at);
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
       {"slowness", candidate.reading ? candidate.reading->slowness : -1},
       {"asked", static_cast<double>(candidates_.size())},
       {"expected_ms", ToMilliseconds(expected)},
       {"send", static_cast<double>(sends_)},
       {"waits", static_cast<double>(waits_)},
       {"waited_ms", ToMilliseconds(now - request_.read_at)}});
  attempt->connection->Call(
      ServerRequest(server), request_.method == "HEAD",
      [self = shared_from_this(), attempt](CallResult result) {
        self->OnResult(attempt, std::move(result));
      });
  ArmSecondSend(expected);
}

std::string Exchange::ServerRequest(const ServerRecord& server) const {
  std::string request = request_.method + " " + request_.target +
                        " HTTP/1.1\r\n" + request_.forwarded_fields +
                        wire::ServerRequestFields(server.name, TimeLeft());
  if (request_.has_body) {
    request +=
        "Content-Length: " + std::to_string(request_.body.size()) + "\r\n";
  }
  return request + "\r\n" + request_.body;
}

void Exchange::ArmSecondSend(Duration expected) {
  if (!route_->idempotent || runs_alone_ || sends_ >= route_->max_attempts) {
    return;
  }
  step_timer_.expires_after(Scale(expected, kLateFactor) + kLateMargin);
  step_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->finished_ || self->attempts_.empty()) return;
        self->Ask(Purpose::kSecondSend);
      });
}

void Exchange::OnResult(const AttemptPtr& attempt, CallResult result) {
  if (finished_) return;
  attempts_.erase(std::remove(attempts_.begin(), attempts_.end(), attempt),
                  attempts_.end());
  context_->connections.Return(attempt->server.endpoint, attempt->connection);
  if (const auto* not_sent = std::get_if<NotSent>(&result)) {
    OnNotSent(attempt, *not_sent);
  } else if (const auto* no_answer = std::get_if<NoAnswer>(&result)) {
    OnNoAnswer(attempt, no_answer->problem);
  } else {
    OnServerAnswer(attempt, std::get<ServerAnswer>(result));
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
  if (++not_sent_ < kMaxNotSent) {
    Ask(Purpose::kAnswer);
  } else {
    GiveUp(NotRunReason::kConnectFailed, kRetryAfter);
  }
}

void Exchange::OnNoAnswer(const AttemptPtr& attempt,
                          const std::string& problem) {
  may_have_run_ = true;
  context_->observations.OnFailure(attempt->server.name, SteadyClock::now());
  context_->log.Write("no-answer", {{"request", request_.request_id},
                                    {"server", attempt->server.name.str()},
                                    {"problem", problem}});
  context_->metrics.Count("attempts", "no-answer");
  if (!attempts_.empty()) return;
  JudgeLoss(attempt->server, [this] {
    if (route_->idempotent && MaySendAgain()) {
      Ask(Purpose::kAnswer);
    } else {
      FailUnknown(kBadGateway, UnknownReason::kAnswerLost);
    }
  });
}

void Exchange::OnServerAnswer(const AttemptPtr& attempt,
                              const ServerAnswer& answer) {
  const TimePoint now = SteadyClock::now();
  const unsigned status = answer.message.result_int();
  const auto fields = wire::ReadServerAnswer(status, answer.message);
  attempt->connection->idle_limit = fields.idle_timeout;
  if (fields.load) {
    context_->observations.OnReading(attempt->server.name, *fields.load, now);
  }
  const bool other_request = fields.request_id != request_.request_id;
  if (other_request || (IsSuccess(status) && !fields.is_signed)) {
    attempt->connection->Cancel();
    OnNoAnswer(attempt, "an answer that belongs to another request");
    return;
  }
  if (fields.not_run) {
    if (attempts_.empty()) EndAdmission();
    const bool had_room = fields.load
                              ? HasFreeSlot(*fields.load)
                              : attempt->occupancy != Occupancy::kWaiting;
    OnNotRun(attempt, status, had_room);
    return;
  }
  if (admitted_) {
    admitted_ = false;
    context_->suspects.OnEnd(service_, digest_, false, now);
  }
  if (IsServerFailure(status)) {
    context_->observations.OnFailure(attempt->server.name, now);
    may_have_run_ = true;
    if (!attempts_.empty()) return;
    if (route_->idempotent && MaySendAgain()) {
      context_->log.Write("failed-by-server",
                          {{"request", request_.request_id},
                           {"server", attempt->server.name.str()},
                           {"status", static_cast<double>(status)}});
      Ask(Purpose::kAnswer);
      return;
    }
  }
  Relay(attempt, answer);
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
  if (!attempts_.empty()) return;
  if (MaySendAgain()) {
    Ask(Purpose::kAnswer);
  } else {
    GiveUp(NotRunReason::kShedByServer, RetryAfterShed(had_room));
  }
}

bool Exchange::MaySendAgain() {
  return sends_ < route_->max_attempts && TimeLeft() > Duration::zero() &&
         context_->Retries(service_).TryRetry();
}

void Exchange::Relay(const AttemptPtr& attempt, const ServerAnswer& answer) {
  const Duration service_time = SteadyClock::now() - attempt->sent_at;
  CallerAnswer relayed;
  relayed.status = answer.message.result_int();
  for (const auto& field : answer.message) {
    const std::string_view name(field.name_string().data(),
                                field.name_string().size());
    if (!wire::IsReturned(name)) continue;
    relayed.fields.append(name).append(": ");
    relayed.fields.append(field.value().data(), field.value().size());
    relayed.fields += "\r\n";
  }
  relayed.body = answer.message.body();
  if (request_.method == "HEAD") {
    relayed.unsent_length =
        std::string(answer.message[http::field::content_length]);
  }
  if (IsSuccess(relayed.status)) {
    context_->statistics.OnAnswer(
        route_->name, service_time - RoundTrip(attempt->distance),
        attempt->slowness, attempt->occupancy, relayed.body.size());
    context_->metrics.server_time.Observe(service_time);
  }
  Finish(std::move(relayed), "answered", attempt->server.name.str());
}

void Exchange::OnGiveUp() {
  if (finished_) return;
  if (attempts_.empty() && !may_have_run_) {
    RefuseNotRun(NotRunReason::kDeadlineTooShort, kRetryAfter);
  } else {
    FailUnknown(kGatewayTimeout, UnknownReason::kDeadlineExceeded);
  }
}

void Exchange::GiveUp(NotRunReason reason, Duration retry_after) {
  if (may_have_run_) {
    FailUnknown(kBadGateway, UnknownReason::kAnswerLost);
  } else {
    RefuseNotRun(reason, retry_after);
  }
}

void Exchange::RefuseNotRun(NotRunReason reason, Duration retry_after) {
  AnswerItself(kServiceUnavailable, "refused", ToString(reason), retry_after);
}

void Exchange::FailUnknown(unsigned status, UnknownReason reason) {
  AnswerItself(status, "unknown", ToString(reason), std::nullopt);
}

void Exchange::AnswerItself(unsigned status, std::string_view outcome,
                            std::string_view reason,
                            std::optional<Duration> retry_after) {
  CallerAnswer answer;
  answer.status = status;
  answer.fields = wire::OwnAnswerFields(request_.request_id, retry_after);
  answer.body = std::string(reason) + "\n";
  Finish(std::move(answer), outcome, reason);
}

void Exchange::Finish(CallerAnswer answer, std::string_view outcome,
                      std::string_view reason) {
  finished_ = true;
  EndAdmission();
  give_up_timer_.cancel();
  step_timer_.cancel();
  CancelAttempts();
  const Duration total = Waited();
  context_->metrics.Count("requests", outcome);
  context_->metrics.request_time.Observe(total);
  const std::string_view route_name =
      route_ == nullptr ? "" : route_->name.str().c_str();
  context_->log.Write("ended", {{"request", request_.request_id},
                                {"route", route_name},
                                {"outcome", outcome},
                                {"reason", reason},
                                {"status", static_cast<double>(answer.status)},
                                {"sends", static_cast<double>(sends_)},
                                {"total_ms", ToMilliseconds(total)}});
  const Done done = std::move(done_);
  if (done) done(std::move(answer));
}

void Exchange::Abandon() {
  if (finished_) return;
  finished_ = true;
  EndAdmission();
  give_up_timer_.cancel();
  step_timer_.cancel();
  CancelAttempts();
  done_ = nullptr;
  context_->metrics.Count("requests", "abandoned");
  context_->log.Write("caller-gone", {{"request", request_.request_id},
                                      {"waited_ms", ToMilliseconds(Waited())}});
}

void Exchange::CancelAttempts() {
  for (const AttemptPtr& attempt : attempts_) attempt->connection->Cancel();
  attempts_.clear();
}

}  // namespace heatherlatch
