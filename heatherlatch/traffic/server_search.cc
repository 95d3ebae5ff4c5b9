#include "heatherlatch/traffic/server_search.h"

#include <algorithm>
#include <boost/range/algorithm_ext/erase.hpp>
#include <map>

#include "heatherlatch/traffic/service_queue.h"

namespace heatherlatch {
namespace {

// Candidates drawn for a request. With six, more requests are served while a
// deployment starts up than with three.
constexpr std::size_t kCandidatesDrawn = 6;

// Of these, how many are probed at first. The others follow only if none of the
// first has room and meets the latency target.
constexpr std::size_t kProbedAtFirst = 3;

// Age up to which a load reading replaces a probe: a third of the latency
// between zones.
constexpr Duration kReadingMaxAge = std::chrono::milliseconds(1);
// The same where the budget allows no probe, as a share of the service time,
// after which a server holds other requests.
constexpr double kReadingMaxAgeInServiceTimes = 0.5;

// Age up to which a reading says which servers are worth a probe: neighbours
// slow a server for about half a second at a time.
constexpr Duration kPromiseMaxAge = std::chrono::milliseconds(300);
// Slowdown assumed for a server without such a reading: between that of a usual
// server and that of one that is slowed down.
constexpr double kAssumedSlowdown = 1.5;

// Age up to which a reading counts in the mean load of the servers, and up to
// which one is better than none.
constexpr Duration kMeanMaxAge = std::chrono::seconds(2);

// How long a round of probes may take. Within a region: several round trips
// plus the longest specified probe time. Between regions: two round trips,
// since a connection may have to be opened first.
constexpr Duration kProbeTimeoutInRegion = std::chrono::milliseconds(25);
// If no server of a zone responds, the responses may be queued on this host's
// own link. This is the time that a usual download takes on the slowest
// specified link.
constexpr Duration kProbeTimeoutLinkBusy = std::chrono::milliseconds(75);
constexpr Duration kProbeTimeoutBetweenRegions = std::chrono::milliseconds(140);

bool HasResponded(const Candidate& candidate) {
  return candidate.reading.has_value();
}

// Removes the candidates of which the start that was found may no longer be
// used.
void RemoveUnusable(const TrafficContext& context,
                    std::vector<Candidate>* candidates, TimePoint now) {
  boost::remove_erase_if(*candidates, [&](const Candidate& candidate) {
    const ServerEntry* entry =
        context.directory.FindUsable(candidate.server.name, now);
    return entry == nullptr ||
           entry->record.started_at_ms != candidate.server.started_at_ms;
  });
}

}  // namespace

std::optional<double> ServerSearch::MeanOutstanding(
    const std::vector<Candidate>& servers) const {
  const TimePoint now = SteadyClock::now();
  double sum = 0;
  int count = 0;
  for (const Candidate& candidate : servers) {
    const auto reading =
        context_->observations.Reading(candidate.server.name, kMeanMaxAge, now);
    if (!reading) continue;
    sum += reading->running + reading->waiting;
    ++count;
  }
  if (count == 0) return std::nullopt;
  return sum / count;
}

void ServerSearch::Start(bool wide, Done done) {
  Cancel();
  done_ = std::move(done);
  wide_ = wide;
  probed_left_out_ = false;
  dropped_unknown_ = false;
  scope_ = SearchScope::kNearest;
  left_out_.clear();
  std::vector<Candidate> eligible = subject_.eligible();
  context_->ProbeBudgetFor(subject_.service)
      .SetServers(eligible.size(), MeanOutstanding(eligible));
  began_beyond_zone_ = StartBeyondZone();
  if (began_beyond_zone_) return;
  scope_ = SearchScope::kNearest;
  KeepPreferred(&eligible);
  std::vector<Candidate> drawn =
      DrawCandidates(std::move(eligible), kCandidatesDrawn, &context_->rng);
  const bool in_other_region = !drawn.empty() && IsInOtherRegion(drawn.front());
  if (in_other_region) scope_ = SearchScope::kEverywhere;
  Probe(std::move(drawn),
        in_other_region ? kProbeTimeoutBetweenRegions : kProbeTimeoutInRegion);
}

bool ServerSearch::StartBeyondZone() {
  if (!wide_ || !subject_.first_scope) return false;
  scope_ = subject_.first_scope();
  if (scope_ == SearchScope::kNearest) return false;
  std::vector<Candidate> drawn =
      DrawCandidates(FartherServers(scope_), kCandidatesDrawn, &context_->rng);
  if (drawn.empty()) return false;
  began_beyond_zone_ = true;
  Probe(std::move(drawn), scope_ == SearchScope::kEverywhere
                              ? kProbeTimeoutBetweenRegions
                              : kProbeTimeoutInRegion);
  return true;
}

void ServerSearch::KeepPreferred(std::vector<Candidate>* eligible) const {
  const std::optional<std::size_t>& size = context_->settings.server_subset;
  if (!size || subject_.needs_idle_server) return;
  const TimePoint now = SteadyClock::now();
  SubsetWidening& widening = context_->SubsetWideningFor(subject_.service);
  if (!context_->QueueFor(subject_.service).empty() &&
      widening.OnPressure(now)) {
    context_->metrics.Count("server_subset", "widened");
    context_->log.Write("subset-widened",
                        {{"service", subject_.service.str()},
                         {"servers", static_cast<double>(eligible->size())}});
  }
  if (widening.IsWide(now)) return;
  KeepSubset(context_->settings.name, *size, eligible);
  context_->metrics.SetGauge("server_subset_size",
                             static_cast<double>(eligible->size()));
}

void ServerSearch::Cancel() {
  ++round_;
  timer_.cancel();
  candidates_.clear();
  done_ = nullptr;
}

std::optional<LoadReading> ServerSearch::KnownReading(
    const Candidate& candidate) const {
  // The reply to a probe of another region would be half as old when the
  // request arrives.
  if (began_beyond_zone_ && IsInOtherRegion(candidate)) {
    return ReadingOfWarmServer(candidate, kRoundTripBetweenRegions);
  }
  // On a host that is behind, the reply to a probe is as old as the delay when
  // it is read.
  return context_->observations.Reading(
      candidate.server.name,
      std::max(kReadingMaxAge, context_->loop_delay.delay()),
      SteadyClock::now());
}

std::optional<LoadReading> ServerSearch::ReadingOfWarmServer(
    const Candidate& candidate, Duration max_age) const {
  const TimePoint now = SteadyClock::now();
  const BackendServerName& name = candidate.server.name;
  if (candidate.cold || !context_->observations.IsKnownToBeWarm(name, now)) {
    return std::nullopt;
  }
  return context_->observations.Reading(name, max_age, now);
}

void ServerSearch::SortByPromise(std::vector<Candidate>::iterator begin,
                                 std::vector<Candidate>::iterator end) const {
  const ExpectedWork work = subject_.work();
  const TimePoint now = SteadyClock::now();
  std::map<BackendServerName, Duration> costs;
  for (auto it = begin; it != end; ++it) {
    Candidate assumed = *it;
    assumed.reading = context_->observations.Reading(assumed.server.name,
                                                     kPromiseMaxAge, now);
    assumed.sent_since_reading =
        assumed.reading
            ? context_->observations.SentSinceReading(assumed.server.name)
            : 0;
    if (!assumed.reading) {
      assumed.reading =
          LoadReading{0, 0, assumed.server.slots, kAssumedSlowdown};
    }
    costs[assumed.server.name] = ExpectedCost(assumed, work);
  }
  std::stable_sort(begin, end, [&](const Candidate& a, const Candidate& b) {
    return std::make_pair(a.failed_recently, costs[a.server.name]) <
           std::make_pair(b.failed_recently, costs[b.server.name]);
  });
}

std::optional<LoadReading> ServerSearch::AddLastKnownServer() {
  SortByPromise(left_out_.begin(), left_out_.end());
  for (auto it = left_out_.begin(); it != left_out_.end(); ++it) {
    const BackendServerName& name = it->server.name;
    const auto reading = ReadingOfWarmServer(*it, kMeanMaxAge);
    it->reading = reading;
    it->sent_since_reading = context_->observations.SentSinceReading(name);
    if (!reading || OccupancyAfterSend(*it) != Occupancy::kAvailable) continue;
    it->probe_pending = true;
    candidates_.push_back(std::move(*it));
    left_out_.erase(it);
    return reading;
  }
  return std::nullopt;
}

void ServerSearch::Probe(std::vector<Candidate> drawn, Duration timeout) {
  const TimePoint now = SteadyClock::now();
  const auto is_known = [this](const Candidate& candidate) {
    return KnownReading(candidate).has_value();
  };
  const auto unknown =
      std::stable_partition(drawn.begin(), drawn.end(), is_known);
  const auto known_count = static_cast<std::size_t>(unknown - drawn.begin());
  const std::size_t unknown_count = drawn.size() - known_count;
  const bool is_pressed = !candidates_.empty();
  const std::size_t granted =
      context_->ProbeBudgetFor(subject_.service)
          .Take(is_pressed ? unknown_count
                           : std::min(unknown_count, kProbedAtFirst),
                is_pressed, now);
  if (granted < unknown_count) {
    SortByPromise(unknown, drawn.end());
    // One at random, so that a server of which nothing is known is found.
    if (granted > 1) {
      std::swap(*(unknown + static_cast<std::ptrdiff_t>(granted - 1)),
                *(unknown + std::uniform_int_distribution<std::ptrdiff_t>(
                                static_cast<std::ptrdiff_t>(granted - 1),
                                static_cast<std::ptrdiff_t>(unknown_count - 1))(
                                context_->rng)));
    }
  }
  const std::size_t probed_end = known_count + granted;
  // Beyond the budget, older readings have to do.
  const Duration max_age =
      Scale(subject_.work().service_time, kReadingMaxAgeInServiceTimes);
  std::vector<std::optional<LoadReading>> readings;
  const std::size_t first = candidates_.size();
  for (std::size_t i = 0; i < drawn.size(); ++i) {
    const bool is_probed = i >= known_count && i < probed_end;
    std::optional<LoadReading> reading;
    if (!is_probed) {
      reading = i < known_count ? KnownReading(drawn[i])
                                : ReadingOfWarmServer(drawn[i], max_age);
      if (!reading) {
        left_out_.push_back(std::move(drawn[i]));
        continue;
      }
    }
    drawn[i].probe_pending = true;
    candidates_.push_back(std::move(drawn[i]));
    readings.push_back(reading);
  }
  if (candidates_.empty()) {
    readings.push_back(AddLastKnownServer());
    if (!readings.back()) readings.pop_back();
  }
  const std::size_t round = ++round_;
  replies_missing_ = candidates_.size() - first;
  if (replies_missing_ == 0) {
    Conclude();
    return;
  }
  timer_.expires_after(timeout + ExtraProbeTime());
  timer_.async_wait([self = shared_from_this(),
                     round](const boost::system::error_code& error) {
    if (!error && round == self->round_) self->OnTimeout();
  });
  // The last reply concludes the round, and may add candidates.
  const std::size_t count = candidates_.size();
  for (std::size_t i = first; i < count && round == round_; ++i) {
    const Candidate& candidate = candidates_[i];
    if (const auto& known = readings[i - first]) {
      OnReply(round, i, {Health::kHealthy, known, candidate.cold});
      continue;
    }
    prober_->Probe(candidate.server, [self = shared_from_this(), round,
                                      i](const LoadReply& reply) {
      self->OnReply(round, i, reply);
    });
  }
}

Duration ServerSearch::ExtraProbeTime() const {
  Duration extra{};
  for (const Candidate& candidate : candidates_) {
    if (!candidate.probe_pending || IsInOtherRegion(candidate)) continue;
    const Duration measured =
        context_->observations.ProbeDuration(candidate.server.name);
    extra = std::max(extra, measured - kRoundTripInRegion);
  }
  // A connection may have to be opened first.
  return std::min(2 * extra, kProbeTimeoutBetweenRegions);
}

void ServerSearch::DropUnknownCandidates() {
  const TimePoint now = SteadyClock::now();
  const auto dropped_begin = std::remove_if(
      candidates_.begin(), candidates_.end(), [&](const Candidate& candidate) {
        return !candidate.reading && !candidate.not_listening &&
               !context_->observations.IsKnownToBeWarm(candidate.server.name,
                                                       now);
      });
  if (dropped_begin == candidates_.end()) return;
  dropped_unknown_ = true;
  context_->metrics.Count("probes", "unanswered");
  candidates_.erase(dropped_begin, candidates_.end());
}

void ServerSearch::OnTimeout() {
  // If no candidate responded, this host's own network may be at fault, so no
  // failure is recorded.
  if (std::any_of(candidates_.begin(), candidates_.end(), HasResponded)) {
    for (const Candidate& candidate : candidates_) {
      if (!candidate.probe_pending || IsInOtherRegion(candidate)) continue;
      context_->observations.OnFailure(candidate.server.name,
                                       SteadyClock::now());
    }
  }
  Conclude();
}

void ServerSearch::OnReply(std::size_t round, std::size_t index,
                           const LoadReply& reply) {
  if (round != round_) return;
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
      (!subject_.needs_idle_server && IsSettled(candidates_, subject_.work()));
  if (settled) Conclude();
}

void ServerSearch::Conclude() {
  ++round_;
  timer_.cancel();
  for (Candidate& candidate : candidates_) candidate.probe_pending = false;
  // A server that has gone is not one whose load is unknown.
  RemoveUnusable(*context_, &candidates_, SteadyClock::now());
  RemoveUnusable(*context_, &left_out_, SteadyClock::now());
  DropUnknownCandidates();
  RefreshCandidates(*context_, &candidates_, SteadyClock::now());
  if (ProbeLeftOutServers() || (wide_ && ProbeFartherServers())) return;
  const Done done = std::exchange(done_, nullptr);
  if (done) {
    done({std::exchange(candidates_, {}),
          !left_out_.empty() || dropped_unknown_});
  }
}

std::optional<Choice> ServerSearch::BestSoFar() const {
  std::vector<Candidate> usable = candidates_;
  if (subject_.needs_idle_server) {
    boost::remove_erase_if(
        usable, [](const Candidate& candidate) { return !IsIdle(candidate); });
  }
  return ChooseServer(usable, subject_.work());
}

bool ServerSearch::ProbeLeftOutServers() {
  if (left_out_.empty() || probed_left_out_) return false;
  const std::optional<Choice> choice = BestSoFar();
  const PlacementState state = subject_.state();
  if (choice && choice->has_reading &&
      choice->occupancy == Occupancy::kAvailable &&
      choice->expected <= state.latency_target - state.waited) {
    return false;
  }
  probed_left_out_ = true;
  const bool far = began_beyond_zone_ && scope_ == SearchScope::kEverywhere;
  Probe(std::exchange(left_out_, {}),
        far ? kProbeTimeoutBetweenRegions : kProbeTimeoutInRegion);
  return true;
}

bool ServerSearch::ProbeFartherServers() {
  const ExpectedWork work = subject_.work();
  const std::optional<Choice> choice = BestSoFar();
  while (const auto next =
             NextSearchScope(choice, subject_.state(), work, scope_)) {
    scope_ = *next;
    std::vector<Candidate> farther = DrawCandidates(
        FartherServers(scope_), kCandidatesDrawn, &context_->rng);
    if (farther.empty()) continue;
    const bool any_responded = choice && choice->has_reading;
    Probe(std::move(farther), scope_ == SearchScope::kEverywhere
                                  ? kProbeTimeoutBetweenRegions
                              : any_responded ? kProbeTimeoutInRegion
                                              : kProbeTimeoutLinkBusy);
    return true;
  }
  return false;
}

std::vector<Candidate> ServerSearch::FartherServers(SearchScope scope) const {
  std::vector<Candidate> farther;
  bool other_zone = false;
  for (Candidate& candidate : subject_.eligible()) {
    if (IsInOtherRegion(candidate) == (scope == SearchScope::kRegion)) continue;
    const auto is_same = [&](const Candidate& known) {
      return known.server.name == candidate.server.name;
    };
    if (std::any_of(candidates_.begin(), candidates_.end(), is_same)) continue;
    other_zone = other_zone || candidate.distance == Distance::kSameRegion;
    farther.push_back(std::move(candidate));
  }
  if (other_zone) {
    boost::remove_erase_if(farther, [](const Candidate& candidate) {
      return candidate.distance == Distance::kSameZone;
    });
  }
  return farther;
}

void RefreshCandidates(const TrafficContext& context,
                       std::vector<Candidate>* candidates, TimePoint now) {
  for (Candidate& candidate : *candidates) {
    candidate.sent_since_reading =
        context.observations.SentSinceReading(candidate.server.name);
    // Another request's probe may have told so.
    candidate.cold = candidate.cold ||
                     context.observations.IsCold(candidate.server.name, now);
  }
  // Servers that left, started again or turned cold, and zones taken out of
  // service, meanwhile.
  RemoveUnusable(context, candidates, now);
  boost::remove_erase_if(*candidates, [&](const Candidate& candidate) {
    return candidate.cold &&
           !context.MaySendDuringColdStart(candidate.server, now);
  });
}

}  // namespace heatherlatch
