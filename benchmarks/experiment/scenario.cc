#include "benchmarks/experiment/scenario.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <random>
#include <utility>

#include "benchmarks/experiment/policies.h"
#include "heatherlatch/testing/event_loop.h"

namespace heatherlatch::experiment {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Choice = OwnerPolicyOptions::Choice;
using Grouping = OwnerPolicyOptions::Grouping;

constexpr Duration kWarmUp = seconds(1);
constexpr Duration kDeadline = seconds(2);
constexpr Duration kWindow = milliseconds(100);
constexpr Duration kEventAt = seconds(3);  // After the start.
constexpr Duration kEventLength = seconds(2);
constexpr Duration kMoveSpread = milliseconds(500);
constexpr Duration kColdTime = milliseconds(300);
constexpr Duration kResendDelay = milliseconds(100);
constexpr Duration kCallPause = milliseconds(50);
constexpr int kMaxSends = 4;
constexpr double kSkewedShare = 0.6;  // Of callers of the other zone.
constexpr double kBurstFactor = 3;
constexpr double kSlowdown = 10;

// Service times: exponential, and a share of long requests.
constexpr double kLongShare = 0.02;
constexpr double kLongFactor = 8;
constexpr double kMeanServiceMs = 8;
constexpr double kBaseServiceMs =
    kMeanServiceMs / (1 - kLongShare + kLongShare * kLongFactor);

double Quantile(std::vector<double>* values, double q) {
  if (values->empty()) return 0;
  const auto rank =
      static_cast<std::size_t>(q * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(),
                   values->begin() + static_cast<std::ptrdiff_t>(rank),
                   values->end());
  return (*values)[rank];
}

std::unique_ptr<Policy> MakePolicy(PolicyKind kind, EventLoop* loop,
                                   Fleet* fleet, std::uint64_t seed) {
  const auto direct = [&](DirectPolicy::Choice choice) {
    return std::make_unique<Policy>(std::in_place_type<DirectPolicy>, loop,
                                    fleet, choice, seed);
  };
  const auto owner = [&](Grouping grouping, Choice choice, bool unbounded) {
    return std::make_unique<Policy>(
        std::in_place_type<OwnerPolicy>, loop, fleet,
        OwnerPolicyOptions{grouping, choice, unbounded});
  };
  switch (kind) {
    case PolicyKind::kRandom:
      return direct(DirectPolicy::Choice::kRandom);
    case PolicyKind::kTwoChoices:
      return direct(DirectPolicy::Choice::kTwoChoicesOnReports);
    case PolicyKind::kLeastOutstanding:
      return direct(DirectPolicy::Choice::kLeastOwnOutstanding);
    case PolicyKind::kOwnerPerServer:
      return owner(Grouping::kServer, Choice::kRankGroups, false);
    case PolicyKind::kOwnerPerGroup:
      return owner(Grouping::kServiceAndZone, Choice::kRankGroups, false);
    case PolicyKind::kOwnerLocalFirst:
      return owner(Grouping::kServiceAndZone, Choice::kLocalFirst, false);
    case PolicyKind::kOwnerQueueCost:
      return owner(Grouping::kServiceAndZone, Choice::kQueueCostOnly, false);
    case PolicyKind::kOwnerUnbounded:
      return owner(Grouping::kServiceAndZone, Choice::kRankGroups, true);
    case PolicyKind::kCentral:
      break;
  }
  return std::make_unique<Policy>(std::in_place_type<CentralPolicy>, loop,
                                  fleet);
}

class ScenarioRun {
 public:
  explicit ScenarioRun(const RunOptions& options)
      : options_(options),
        fleet_(&loop_, options.service),
        policy_(MakePolicy(options.policy, &loop_, &fleet_, options.seed)),
        random_(options.seed),
        start_(loop_.Now()) {
    windows_.resize(static_cast<std::size_t>(options.length / kWindow) + 1);
  }

  RunResult Execute() {
    ScheduleArrival();
    loop_.At(start_ + kWarmUp, [this] { RecordStart(); });
    if (HasEvent()) ScheduleEvent();
    loop_.RunUntil(start_ + options_.length);
    return Summary();
  }

 private:
  // One request of a caller, which may be sent several times.
  struct Call {
    TimePoint first_sent;
    Duration service_time{};
    int host = 0;
    int sends = 0;
    int current_send = 0;  // Sends with a lower number are ignored.
    bool measured = false;
    bool ended = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  bool HasEvent() const {
    return options_.scenario != ScenarioKind::kSteady &&
           options_.scenario != ScenarioKind::kSkewed;
  }

  double Rate() const {
    const double slots =
        options_.service.servers * options_.service.slots_per_server;
    double rate = options_.load * slots / kMeanServiceMs;
    const Duration since = loop_.Now() - start_;
    const bool burst = options_.scenario == ScenarioKind::kBurst &&
                       since >= kEventAt && since < kEventAt + kEventLength;
    return burst ? rate * kBurstFactor : rate;
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap(Rate());
    loop_.After(FromMilliseconds(gap(random_)), [this] {
      Arrive();
      ScheduleArrival();
    });
  }

  void Arrive() {
    std::exponential_distribution<double> base(1 / kBaseServiceMs);
    std::bernoulli_distribution is_long(kLongShare);
    auto call = std::make_shared<Call>();
    call->first_sent = loop_.Now();
    const double factor = is_long(random_) ? kLongFactor : 1;
    call->service_time = FromMilliseconds(base(random_) * factor);
    call->host = ChooseHost();
    call->measured = loop_.Now() >= start_ + kWarmUp;
    if (call->measured) ++result_.requests;
    if (InGoodputSecond()) ++goodput_requests_;
    Send(call);
  }

  int ChooseHost() {
    std::uniform_int_distribution<int> host(0, options_.service.hosts - 1);
    std::bernoulli_distribution moves(kSkewedShare);
    const int drawn = host(random_);
    if (options_.scenario != ScenarioKind::kSkewed) return drawn;
    const bool moved = fleet_.ZoneOfHost(drawn) != 0 && moves(random_);
    return moved ? drawn - 1 : drawn;
  }

  bool InGoodputSecond() const {
    const Duration since = loop_.Now() - start_;
    return since >= options_.length - seconds(2) &&
           since < options_.length - seconds(1);
  }

  void Send(const CallPointer& call) {
    ++call->sends;
    const int send = call->current_send;
    const TimePoint deadline = loop_.Now() + kDeadline;
    const Work work{call->host, deadline, call->service_time};
    const bool in_goodput_second = InGoodputSecond() && call->sends == 1;
    loop_.At(deadline, [this, call, send] {
      if (call->ended || call->current_send != send) return;
      if (!Resend(call)) End(call, &result_.timed_out);
    });
    const DoneCallback done = [this, call, send,
                               in_goodput_second](WorkResult end) {
      if (call->ended || call->current_send != send) return;
      if (end == WorkResult::kCompleted) {
        if (in_goodput_second) ++goodput_completed_;
        OnCompleted(call);
      } else if (!Resend(call)) {
        End(call,
            end == WorkResult::kRefused ? &result_.refused : &result_.failed);
      }
    };
    std::visit([&](auto& policy) { policy.Start(work, done); }, *policy_);
  }

  bool Resend(const CallPointer& call) {
    if (options_.scenario != ScenarioKind::kBurst) return false;
    if (call->sends >= kMaxSends) return false;
    ++result_.resends;
    ++call->current_send;  // Responses to the former send are ignored.
    loop_.After(kResendDelay, [this, call] {
      call->host = (call->host + 1) % options_.service.hosts;
      Send(call);
    });
    return true;
  }

  void End(const CallPointer& call, std::uint64_t* counter) {
    call->ended = true;
    if (call->measured) ++*counter;
  }

  void OnCompleted(const CallPointer& call) {
    End(call, &result_.completed);
    const double time_ms = ToMilliseconds(loop_.Now() - call->first_sent);
    if (call->measured) times_ms_.push_back(time_ms);
    const auto window =
        static_cast<std::size_t>((loop_.Now() - start_) / kWindow);
    if (window < windows_.size()) windows_[window].push_back(time_ms);
  }

  Duration Busy() const {
    Duration busy_time{};
    for (const auto& server : fleet_.servers) busy_time += server->busy_time();
    return busy_time;
  }

  std::uint64_t Overruns(bool affected_only) const {
    std::uint64_t overruns = 0;
    for (const auto& server : fleet_.servers) {
      if (!affected_only || IsAffected(*server)) overruns += server->overruns();
    }
    return overruns;
  }

  void RecordStart() {
    busy_at_start_ = Busy();
    overruns_at_start_ = Overruns(false);
  }

  bool IsAffected(const FakeServer& server) const {
    if (options_.scenario == ScenarioKind::kSlowServer) {
      return &server == fleet_.servers.front().get();
    }
    return server.zone() == 0;
  }

  std::uint64_t AffectedCalls() const {
    std::uint64_t calls = 0;
    for (const auto& server : fleet_.servers) {
      if (IsAffected(*server)) calls += server->calls();
    }
    return calls;
  }

  void ScheduleEvent() {
    loop_.At(start_ + kEventAt, [this] {
      overruns_at_event_ = Overruns(true);
      last_call_seen_ = loop_.Now();
      StartEvent();
      // Calls granted before the event may still be in transit to their server.
      loop_.After(kDelayBetweenZones * 2, [this] {
        calls_at_event_ = AffectedCalls();
        WatchForPause();
      });
    });
    loop_.At(start_ + kEventAt + kEventLength, [this] { EndEvent(); });
  }

  // Finds the first pause of kPause in the calls to the affected servers.
  void WatchForPause() {
    for (const auto& server : fleet_.servers) {
      if (IsAffected(*server)) {
        last_call_seen_ = std::max(last_call_seen_, server->last_call());
      }
    }
    if (loop_.Now() - last_call_seen_ >= kCallPause) {
      result_.left_after_ms =
          ToMilliseconds(last_call_seen_ - (start_ + kEventAt));
      return;
    }
    if (loop_.Now() < start_ + kEventAt + kEventLength) {
      loop_.After(milliseconds(1), [this] { WatchForPause(); });
    } else {
      result_.left_after_ms = -1;
    }
  }

  void StartEvent() {
    switch (options_.scenario) {
      case ScenarioKind::kSteady:
      case ScenarioKind::kSkewed:
      case ScenarioKind::kBurst:
        return;
      case ScenarioKind::kSlowServer:
        fleet_.servers.front()->SetSlowdown(kSlowdown);
        return;
      case ScenarioKind::kZoneOut:
        SetZoneInService(false);
        return;
      case ScenarioKind::kOwnerMove:
        if (auto* owner = std::get_if<OwnerPolicy>(policy_.get())) {
          owner->MoveFirstGroup(kMoveSpread);
        }
        return;
      case ScenarioKind::kOwnerSplit:
        if (auto* owner = std::get_if<OwnerPolicy>(policy_.get())) {
          owner->SplitFirstGroup(kEventLength);
        }
        return;
      case ScenarioKind::kColdSigned:
      case ScenarioKind::kColdSilent:
        RestartZone();
        return;
    }
  }

  void RestartZone() {
    const bool reports_cold = options_.scenario == ScenarioKind::kColdSigned;
    for (const auto& server : fleet_.servers) {
      if (server->zone() == 0) server->Restart(kColdTime, reports_cold);
    }
  }

  void EndEvent() {
    result_.affected_calls = AffectedCalls() - calls_at_event_;
    result_.affected_overruns = Overruns(true) - overruns_at_event_;
    if (options_.scenario == ScenarioKind::kZoneOut) SetZoneInService(true);
    if (options_.scenario == ScenarioKind::kSlowServer) {
      fleet_.servers.front()->SetSlowdown(1);
    }
  }

  void SetZoneInService(bool in_service) {
    std::visit([&](auto& policy) { policy.SetZoneInService(0, in_service); },
               *policy_);
  }

  // Milliseconds after the end of the event until the 90th percentile of every
  // later window is at most twice that from before the event; -1 if never.
  double RecoveryMs() {
    const auto event = static_cast<std::size_t>(kEventAt / kWindow);
    const auto end = event + static_cast<std::size_t>(kEventLength / kWindow);
    std::vector<double> before;
    for (std::size_t i = kWarmUp / kWindow; i < event; ++i) {
      before.insert(before.end(), windows_[i].begin(), windows_[i].end());
    }
    const double threshold_ms = 2 * Quantile(&before, 0.9);
    std::size_t last = end;
    const std::size_t windows = windows_.size() - 1;
    for (std::size_t i = end; i < windows; ++i) {
      if (windows_[i].empty() || Quantile(&windows_[i], 0.9) > threshold_ms) {
        last = i + 1;
      }
    }
    if (last >= windows) return -1;
    return ToMilliseconds(kWindow) * static_cast<double>(last - end);
  }

  RunResult Summary() {
    const Duration measured = options_.length - kWarmUp;
    const double slots =
        options_.service.servers * options_.service.slots_per_server;
    result_.slots_used = ToMilliseconds(Busy() - busy_at_start_) /
                         (slots * ToMilliseconds(measured));
    result_.overruns = Overruns(false) - overruns_at_start_;
    if (HasEvent()) {
      result_.recovery_ms = RecoveryMs();
    }
    result_.final_goodput =
        static_cast<double>(goodput_completed_) /
        static_cast<double>(std::max<std::uint64_t>(goodput_requests_, 1));
    result_.p50_ms = Quantile(&times_ms_, 0.5);
    result_.p99_ms = Quantile(&times_ms_, 0.99);
    result_.p999_ms = Quantile(&times_ms_, 0.999);
    return result_;
  }

  RunOptions options_;
  EventLoop loop_;
  Fleet fleet_;
  std::unique_ptr<Policy> policy_;
  std::mt19937_64 random_;
  TimePoint start_;
  RunResult result_;
  std::vector<double> times_ms_;
  std::vector<std::vector<double>> windows_;
  Duration busy_at_start_{};
  std::uint64_t overruns_at_start_ = 0;
  std::uint64_t overruns_at_event_ = 0;
  std::uint64_t calls_at_event_ = 0;
  TimePoint last_call_seen_;
  std::uint64_t goodput_requests_ = 0;
  std::uint64_t goodput_completed_ = 0;
};

}  // namespace

RunResult RunScenario(const RunOptions& options) {
  return ScenarioRun(options).Execute();
}

}  // namespace heatherlatch::experiment
