// Properties of GroupScheduler under arbitrary sequences of events, checked by
// a model that keeps its own record of servers, grants and waiting requests.
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServerNames = 5;

BackendServerName ServerName(int i) {
  return BackendServerName("server-" + std::to_string(i));
}

GroupServer MakeServer(int i, bool accepts) {
  const auto port = static_cast<std::uint16_t>(9000 + i);
  return {ServerName(i), Endpoint{"127.0.0.1", port}, accepts};
}

// One generated event; the meaning of `a`, `b` and `c` depends on the kind.
struct Event {
  int kind = 0;
  int a = 0;
  int b = 0;
  int c = 0;
};

std::ostream& operator<<(std::ostream& out, const Event& event) {
  return out << "{" << event.kind << "," << event.a << "," << event.b << ","
             << event.c << "}";
}

rc::Gen<std::vector<Event>> Events() {
  const auto number = rc::gen::inRange(0, 1000);
  const auto event = rc::gen::build<Event>(
      rc::gen::set(&Event::kind, rc::gen::inRange(0, 40)),
      rc::gen::set(&Event::a, number), rc::gen::set(&Event::b, number),
      rc::gen::set(&Event::c, number));
  return rc::gen::scale(8.0, rc::gen::container<std::vector<Event>>(event));
}

CallReport DrawReport(const Event& event) {
  static constexpr CallOutcome kEnds[] = {CallOutcome::kResponseReceived,
                                          CallOutcome::kResponseReceived,
                                          CallOutcome::kResponseReceived,
                                          CallOutcome::kResponseReceived,
                                          CallOutcome::kResponseReceived,
                                          CallOutcome::kResponseReceived,
                                          CallOutcome::kShed,
                                          CallOutcome::kConnectFailed,
                                          CallOutcome::kFailed,
                                          CallOutcome::kTimedOut,
                                          CallOutcome::kNotUsed,
                                          CallOutcome::kDraining};
  CallReport report;
  report.end = kEnds[event.b % std::size(kEnds)];
  report.service_time = milliseconds(event.c % 20);
  report.cold = event.c % 11 == 0;
  return report;
}

class Model {
 public:
  explicit Model(const GroupOptions& options)
      : options_(options), scheduler_(options, now_) {
    SetServers({MakeServer(0, true), MakeServer(1, true), MakeServer(2, true)});
  }

  void Apply(const Event& event) {
    if (event.kind == 0) {
      DrawServers(event);
    } else if (event.kind == 1) {
      DrawStatus(event);
    } else if (event.kind == 2) {
      CancelOne(event.a);
    } else if (event.kind == 3) {
      now_ += milliseconds(event.a);
      Advance();
    } else if (event.kind == 4) {
      // The grant may be unknown, ended or running.
      Release(static_cast<GrantId>(event.a % 100), DrawReport(event));
    } else if (event.kind < 22) {
      ReleaseOne(event);
    } else {
      Acquire(event);
    }
    Check();
  }

  // Ends grants until none is running and no request waits.
  void Drain() {
    constexpr int kMaxRounds = 3000;
    for (int round = 0; round < kMaxRounds; ++round) {
      if (waiting_.empty() && running_.empty()) return;
      now_ += milliseconds(20);
      if (!running_.empty()) Release(running_.begin()->first, CallReport{});
      Advance();
      Check();
    }
    RC_FAIL("a request waits forever");
  }

 private:
  struct Server {
    bool listed = false;
    bool published_accepts = false;
    bool reported_accepts = true;
    bool reported_cold = false;
    int warm_responses = 0;

    bool AcceptsWork() const {
      return listed && published_accepts && reported_accepts;
    }
  };
  struct Running {
    BackendServerName server;
    TimePoint lease_end;
    bool isolated = false;
  };

  void DrawServers(const Event& event) {
    std::vector<GroupServer> servers;
    for (int i = 0; i < kServerNames; ++i) {
      const bool listed = (event.a >> i) % 4 != 0;
      const bool accepts = (event.b >> i) % 4 != 0;
      if (listed) servers.push_back(MakeServer(i, accepts));
    }
    SetServers(servers);
  }

  void SetServers(const std::vector<GroupServer>& servers) {
    std::map<BackendServerName, bool> accepts;
    for (const GroupServer& s : servers) accepts[s.name] = s.accepts_work;
    for (int i = 0; i < kServerNames; ++i) {
      Server& server = servers_[ServerName(i)];
      const auto found = accepts.find(ServerName(i));
      const bool listed = found != accepts.end();
      const bool ready = listed && found->second;
      if (listed && !server.listed) server = Server{};
      if (ready && !server.published_accepts) server.warm_responses = 0;
      server.listed = listed;
      server.published_accepts = ready;
    }
    ApplyDecisions(scheduler_.SetServers(servers, now_));
  }

  void DrawStatus(const Event& event) {
    const BackendServerName name = ServerName(event.a % kServerNames);
    Server& server = servers_[name];
    const bool accepts = event.b % 4 != 0;
    const bool cold = event.c % 3 == 0;
    if (cold || (accepts && !server.reported_accepts)) {
      server.warm_responses = 0;
    }
    server.reported_cold = cold;
    server.reported_accepts = accepts;
    ApplyDecisions(
        scheduler_.ReportServer(name, accepts, cold, std::nullopt, now_));
  }

  void CancelOne(int draw) {
    scheduler_.Cancel(next_waiter_ + 1000);  // Unknown.
    if (waiting_.empty()) return;
    const auto chosen =
        std::next(waiting_.begin(), draw % static_cast<int>(waiting_.size()));
    scheduler_.Cancel(chosen->first);
    waiting_.erase(chosen);
    const auto next = scheduler_.NextDeadline();
    if (next && *next <= now_) Advance();
  }

  void Advance() {
    for (auto grant = running_.begin(); grant != running_.end();) {
      const bool ended = grant->second.lease_end <= now_;
      grant = ended ? running_.erase(grant) : std::next(grant);
    }
    ApplyDecisions(scheduler_.Advance(now_));
    const auto next = scheduler_.NextDeadline();
    RC_ASSERT(!next || *next > now_);
  }

  void ReleaseOne(const Event& event) {
    if (running_.empty()) return;
    const auto chosen = std::next(running_.begin(),
                                  event.a % static_cast<int>(running_.size()));
    const GrantId id = chosen->first;
    Release(id, DrawReport(event));
    if (event.c % 3 == 0) Release(id, DrawReport(event));  // A duplicate.
  }

  void Release(GrantId id, const CallReport& report) {
    const auto found = running_.find(id);
    if (found != running_.end()) {
      ApplyReport(report, &servers_[found->second.server]);
      running_.erase(found);
    }
    ApplyDecisions(scheduler_.Release(id, report, now_));
  }

  static void ApplyReport(const CallReport& report, Server* server) {
    if (report.end == CallOutcome::kDraining) {
      server->reported_accepts = false;
      return;
    }
    if (report.end == CallOutcome::kResponseReceived) ++server->warm_responses;
    if (!report.cold) return;
    if (!server->reported_cold) server->warm_responses = 0;
    server->reported_cold = true;
  }

  void Acquire(const Event& event) {
    SlotRequest request;
    request.waiter = next_waiter_++;
    request.organisation = OrganisationName(std::to_string(event.a % 3));
    request.weight = 1 + event.a % 4;
    request.deadline = now_ + milliseconds(event.b * 2);
    request.isolated = event.c % 10 == 0;
    if (event.c % 3 == 0) request.excluded.push_back(ServerName(event.c % 5));
    if (event.c % 6 == 0) request.excluded.push_back(ServerName(event.b % 5));
    waiting_[request.waiter] = request;
    const AcquireResult result = scheduler_.Acquire(request, now_);
    if (const auto* granted = std::get_if<SlotGranted>(&result)) {
      OnDecision(SlotDecision(*granted));
    } else if (const auto* refused = std::get_if<SlotRefused>(&result)) {
      OnDecision(SlotDecision(*refused));
    }
  }

  void ApplyDecisions(const std::vector<SlotDecision>& decisions) {
    for (const SlotDecision& decision : decisions) OnDecision(decision);
  }

  void OnDecision(const SlotDecision& decision) {
    if (const auto* granted = std::get_if<SlotGranted>(&decision)) {
      OnGranted(*granted);
    }
    const WaiterId waiter = std::visit(
        [](const auto& alternative) { return alternative.waiter; }, decision);
    RC_ASSERT(waiting_.erase(waiter) == 1U);  // Decided exactly once.
  }

  void OnGranted(const SlotGranted& granted) {
    RC_ASSERT(waiting_.count(granted.waiter) == 1U);
    const SlotRequest request = waiting_[granted.waiter];
    const BackendServerName& name = granted.grant.server;
    const Server& server = servers_[name];
    RC_ASSERT(server.AcceptsWork());
    RC_ASSERT(request.deadline > now_);
    RC_ASSERT(std::count(request.excluded.begin(), request.excluded.end(),
                         name) == 0);
    RC_ASSERT(granted_ids_.insert(granted.grant.id).second);
    for (const auto& [id, running] : running_) {
      if (running.server != name) continue;
      RC_ASSERT(!request.isolated);
      RC_ASSERT(!running.isolated);
    }
    running_[granted.grant.id] =
        Running{name, granted.grant.lease_end, request.isolated};
    RC_ASSERT(RunningOn(name) <= MaxAllowed(server));
    RC_ASSERT(RunningOn(name) <= LimitOf(name));
  }

  // Upper bound of a server's grants, from the number of responses since it was
  // last known to be cold.
  int MaxAllowed(const Server& server) const {
    int limit = options_.cold_start_slots;
    if (server.reported_cold) return limit;
    int responses = server.warm_responses;
    while (limit < options_.slots_per_server && responses >= limit) {
      responses -= limit;
      ++limit;
    }
    return limit;
  }

  int RunningOn(const BackendServerName& name) const {
    return static_cast<int>(std::count_if(
        running_.begin(), running_.end(),
        [&](const auto& entry) { return entry.second.server == name; }));
  }

  int LimitOf(const BackendServerName& name) const {
    for (const auto& [server, limit] : scheduler_.Limits()) {
      if (server == name) return limit;
    }
    return 0;
  }

  void Check() {
    const GroupLoad load = scheduler_.Load();
    RC_ASSERT(load.granted == static_cast<int>(running_.size()));
    RC_ASSERT(load.waiting == static_cast<int>(waiting_.size()));
    RC_ASSERT(waiting_.size() <= options_.max_waiting);
    CheckNoUsableSlotIdle(load);
    for (const auto& [waiter, request] : waiting_) {
      RC_ASSERT(HasServerFor(request));
    }
  }

  bool HasServerFor(const SlotRequest& request) const {
    return std::any_of(
        servers_.begin(), servers_.end(), [&request](const auto& entry) {
          const auto& excluded = request.excluded;
          return entry.second.AcceptsWork() &&
                 std::count(excluded.begin(), excluded.end(), entry.first) == 0;
        });
  }

  // While an ordinary request waits, no slot that it may use is free, except on
  // servers that are paused as slow or reserved for isolated requests.
  void CheckNoUsableSlotIdle(const GroupLoad& load) const {
    int used = 0;
    std::map<BackendServerName, int> free;
    for (const auto& [name, limit] : scheduler_.Limits()) {
      used += std::min(limit, RunningOn(name));
      free[name] = std::max(0, limit - RunningOn(name));
    }
    int free_slots = 0;
    for (const auto& [name, count] : free) free_slots += count;
    const bool some_paused = free_slots != load.usable_slots - used;
    if (some_paused || IsolatedWorkExists()) return;
    for (const auto& [waiter, request] : waiting_) {
      for (const auto& [name, count] : free) {
        const auto& excluded = request.excluded;
        RC_ASSERT(count == 0 ||
                  std::count(excluded.begin(), excluded.end(), name) > 0);
      }
    }
  }

  bool IsolatedWorkExists() const {
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [](const auto& w) { return w.second.isolated; }) ||
           std::any_of(running_.begin(), running_.end(),
                       [](const auto& r) { return r.second.isolated; });
  }

  GroupOptions options_;
  TimePoint now_ = TimePoint(seconds(1000));
  GroupScheduler scheduler_;
  std::map<BackendServerName, Server> servers_;
  std::map<WaiterId, SlotRequest> waiting_;
  std::map<GrantId, Running> running_;
  std::set<GrantId> granted_ids_;
  WaiterId next_waiter_ = 1;
};

TEST_CASE(
    "grants, limits, cold servers and servers that accept no work match a "
    "model",
    "[promise-02][promise-03][promise-08]") {
  rc::prop("any order of events", [] {
    GroupOptions options;
    options.slots_per_server = *rc::gen::inRange(1, 5);
    options.cold_start_slots =
        *rc::gen::inRange(1, options.slots_per_server + 1);
    options.max_waiting = *rc::gen::inRange<std::size_t>(1, 40);
    Model model(options);
    for (const Event& event : *Events()) model.Apply(event);
    model.Drain();
  });
}

// A group that is kept busy with requests whose deadlines are one hour away.
class Backlog {
 public:
  Backlog(int servers, int slots) : scheduler_(Options(slots), now_) {
    std::vector<GroupServer> group;
    for (int i = 0; i < servers; ++i) group.push_back(MakeServer(i, true));
    scheduler_.SetServers(group, now_);
  }

  // Keeps `organisation` at two waiting requests of a kind.
  void Refill(int organisation, int weight, bool isolated) {
    int& waiting = waiting_[{organisation, isolated}];
    while (waiting < 2) {
      SlotRequest request;
      request.waiter = next_waiter_++;
      request.organisation = OrganisationName(std::to_string(organisation));
      request.weight = weight;
      request.deadline = now_ + std::chrono::hours(1);
      request.isolated = isolated;
      flows_[request.waiter] = {organisation, isolated};
      ++waiting;
      const AcquireResult result = scheduler_.Acquire(request, now_);
      if (const auto* granted = std::get_if<SlotGranted>(&result)) {
        OnGranted(*granted);
      }
    }
  }

  // Ends the oldest grant.
  void EndOne() {
    now_ += milliseconds(1);
    CallReport report;
    report.service_time = milliseconds(1);
    const GrantId first = running_.front();
    running_.erase(running_.begin());
    for (const SlotDecision& decision :
         scheduler_.Release(first, report, now_)) {
      if (const auto* granted = std::get_if<SlotGranted>(&decision)) {
        OnGranted(*granted);
      }
    }
  }

  int Served(int organisation, bool isolated) {
    return served_[{organisation, isolated}];
  }

 private:
  static GroupOptions Options(int slots) {
    GroupOptions options;
    options.slots_per_server = slots;
    return options;
  }

  void OnGranted(const SlotGranted& granted) {
    const auto flow = flows_.at(granted.waiter);
    running_.push_back(granted.grant.id);
    --waiting_[flow];
    ++served_[flow];
  }

  using Flow = std::pair<int, bool>;
  TimePoint now_ = TimePoint(seconds(1000));
  GroupScheduler scheduler_;
  WaiterId next_waiter_ = 1;
  std::map<WaiterId, Flow> flows_;
  std::map<Flow, int> waiting_;
  std::map<Flow, int> served_;
  std::vector<GrantId> running_;
};

TEST_CASE("waiting organisations are served in proportion to their weights") {
  rc::prop("the shares differ by at most one request of each", [] {
    const int slots = *rc::gen::inRange(1, 4);
    const int weight_a = *rc::gen::inRange(1, 9);
    const int weight_b = *rc::gen::inRange(1, 9);
    Backlog backlog(*rc::gen::inRange(1, 6), slots);
    // The bound does not cover requests granted before any request waits, nor
    // those granted to one organisation while the other has none waiting.
    backlog.Refill(0, weight_a, false);
    for (int i = 0; i < 50; ++i) {
      backlog.EndOne();
      backlog.Refill(0, weight_a, false);
    }
    backlog.Refill(1, weight_b, false);
    const int first_a = backlog.Served(0, false);
    const int first_b = backlog.Served(1, false);
    for (int i = 0; i < 200; ++i) {
      backlog.EndOne();
      backlog.Refill(0, weight_a, false);
      backlog.Refill(1, weight_b, false);
      const double a = backlog.Served(0, false) - first_a;
      const double b = backlog.Served(1, false) - first_b;
      RC_ASSERT(std::abs(a / weight_a - b / weight_b) <=
                1.0 / weight_a + 1.0 / weight_b + 1e-9);
    }
  });
}

TEST_CASE("isolated and ordinary requests do not starve each other") {
  rc::prop("both are served in every interval of grants", [] {
    const int servers = *rc::gen::inRange(1, 9);
    const int slots = *rc::gen::inRange(1, 5);
    Backlog backlog(servers, slots);
    const int interval_length = 12 * servers * slots;
    int isolated = 0;
    int ordinary = 0;
    for (int i = 0; i < 4 * interval_length; ++i) {
      backlog.Refill(0, 1, false);
      backlog.Refill(1, 1, true);
      if (i > 0 && i % interval_length == 0) {
        RC_ASSERT(backlog.Served(1, true) > isolated);
        RC_ASSERT(backlog.Served(0, false) > ordinary);
        isolated = backlog.Served(1, true);
        ordinary = backlog.Served(0, false);
      }
      backlog.EndOne();
    }
  });
}

}  // namespace
}  // namespace heatherlatch
