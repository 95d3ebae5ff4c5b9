#include "heatherlatch/placement/group_scheduler.h"

#include <catch2/catch.hpp>
#include <string>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(1000));

std::vector<GroupServer> Servers(int count) {
  std::vector<GroupServer> servers;
  for (int i = 0; i < count; ++i) {
    const auto port = static_cast<std::uint16_t>(9000 + i);
    servers.push_back({BackendServerName("server-" + std::to_string(i)),
                       Endpoint{"127.0.0.1", port}, true});
  }
  return servers;
}

SlotRequest Request(WaiterId waiter, TimePoint deadline) {
  SlotRequest request;
  request.waiter = waiter;
  request.organisation = OrganisationName("org");
  request.deadline = deadline;
  return request;
}

CallReport ResponseReport(Duration service_time) {
  CallReport report;
  report.service_time = service_time;
  return report;
}

// A scheduler with a simulated clock.
class Fixture {
 public:
  explicit Fixture(int servers, int slots = 3, int cold = 1)
      : scheduler(Options(slots, cold), kStart) {
    scheduler.SetServers(Servers(servers), now);
  }

  static GroupOptions Options(int slots, int cold) {
    GroupOptions options;
    options.slots_per_server = slots;
    options.cold_start_slots = cold;
    return options;
  }

  AcquireResult Acquire() {
    return scheduler.Acquire(Request(next_waiter++, now + seconds(2)), now);
  }

  // Acquires every free slot.
  std::vector<Grant> Fill() {
    std::vector<Grant> grants;
    while (true) {
      const AcquireResult result = Acquire();
      const auto* granted = std::get_if<SlotGranted>(&result);
      if (granted == nullptr) break;
      grants.push_back(granted->grant);
    }
    scheduler.Cancel(next_waiter - 1);
    return grants;
  }

  // Runs full rounds of prompt responses.
  void Warm(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      const std::vector<Grant> grants = Fill();
      now += milliseconds(8);
      for (const Grant& grant : grants) {
        scheduler.Release(grant.id, ResponseReport(milliseconds(8)), now);
      }
    }
  }

  int LimitOf(const BackendServerName& name) const {
    for (const auto& [server, limit] : scheduler.Limits()) {
      if (server == name) return limit;
    }
    return -1;
  }

  TimePoint now = kStart;
  GroupScheduler scheduler;
  WaiterId next_waiter = 1;
};

TEST_CASE(
    "a group after takeover starts cold and reaches the full limits in two "
    "rounds",
    "[promise-02]") {
  Fixture f(4);
  CHECK(f.scheduler.Load().usable_slots == 4);
  f.Warm(1);
  CHECK(f.scheduler.Load().usable_slots == 8);
  f.Warm(1);
  CHECK(f.scheduler.Load().usable_slots == 12);
  CHECK(f.Fill().size() == 12);
}

CallReport ReportWithEnd(CallOutcome end) {
  CallReport report;
  report.end = end;
  return report;
}

TEST_CASE("a restart makes a server cold once, however many requests it aborts",
          "[promise-02]") {
  Fixture f(1, 4, 2);
  f.Warm(8);
  const BackendServerName name = Servers(1)[0].name;
  const std::vector<Grant> grants = f.Fill();
  REQUIRE(grants.size() == 4);
  CallReport first = ResponseReport(milliseconds(8));
  first.boot_id = 1;
  f.scheduler.Release(grants[0].id, first, f.now);
  CHECK(f.LimitOf(name) == 4);
  f.now += milliseconds(1);
  CallReport restarted = first;
  restarted.boot_id = 2;
  f.scheduler.Release(grants[1].id, restarted, f.now);
  CHECK(f.LimitOf(name) == 2);
  CHECK(f.Fill().empty());
  f.now += milliseconds(1);
  f.scheduler.Release(grants[2].id, ReportWithEnd(CallOutcome::kFailed), f.now);
  f.Warm(2);
  CHECK(f.LimitOf(name) == 3);
  // A late response of the previous process has no effect.
  f.scheduler.Release(grants[3].id, first, f.now);
  CHECK(f.LimitOf(name) == 3);
}

TEST_CASE("a server that reports itself cold stays at its cold limit",
          "[promise-02]") {
  Fixture f(1, 4);
  f.Warm(8);
  const BackendServerName name = Servers(1)[0].name;
  f.scheduler.ReportServer(name, true, true, 1, f.now);
  CHECK(f.LimitOf(name) == 1);
  f.Warm(5);
  CHECK(f.LimitOf(name) == 1);
  f.scheduler.ReportServer(name, true, false, 1, f.now);
  f.Warm(1);
  CHECK(f.LimitOf(name) == 2);
}

TEST_CASE(
    "a server that sheds is reset to its cold limit and grows more slowly",
    "[promise-02]") {
  Fixture f(1, 3);
  f.Warm(3);
  const BackendServerName name = Servers(1)[0].name;
  const std::vector<Grant> grants = f.Fill();
  f.now += milliseconds(1);
  for (const Grant& grant : grants) {
    f.scheduler.Release(grant.id, ReportWithEnd(CallOutcome::kShed), f.now);
  }
  CHECK(f.LimitOf(name) == 1);
  f.Warm(1);
  CHECK(f.LimitOf(name) == 1);
  f.Warm(1);
  CHECK(f.LimitOf(name) == 2);
}

TEST_CASE(
    "a server with failed connections gets one trial per growing backoff") {
  Fixture f(2, 3, 3);
  const BackendServerName name = Servers(2)[0].name;
  const auto end_grants = [&f, &name](const std::vector<Grant>& grants) {
    for (const Grant& grant : grants) {
      const bool affected = grant.server == name;
      f.scheduler.Release(grant.id,
                          affected ? ReportWithEnd(CallOutcome::kConnectFailed)
                                   : ResponseReport(milliseconds(8)),
                          f.now);
    }
  };
  end_grants(f.Fill());
  Duration delay = milliseconds(20);
  for (int failure = 0; failure < 4; ++failure) {
    CHECK(f.LimitOf(name) == 0);
    f.now += delay - milliseconds(1);
    f.scheduler.Advance(f.now);
    CHECK(f.LimitOf(name) == 0);
    f.now += milliseconds(1);
    f.scheduler.Advance(f.now);
    CHECK(f.LimitOf(name) == 1);
    const std::vector<Grant> grants = f.Fill();
    CHECK(grants.size() == 4);
    end_grants(grants);
    delay *= 2;
  }
  f.now += delay;
  f.scheduler.Advance(f.now);
  f.Warm(1);
  CHECK(f.LimitOf(name) == 3);
}

TEST_CASE("a draining server gets no requests until it reports otherwise",
          "[promise-08]") {
  Fixture f(2);
  const BackendServerName name = Servers(2)[0].name;
  for (const Grant& grant : f.Fill()) {
    const bool drains = grant.server == name;
    f.scheduler.Release(
        grant.id, drains ? ReportWithEnd(CallOutcome::kDraining) : CallReport{},
        f.now);
  }
  for (int i = 0; i < 100; ++i) {
    f.now += seconds(1);
    f.scheduler.Advance(f.now);
    CHECK(f.LimitOf(name) == 0);
  }
  f.scheduler.ReportServer(name, true, false, std::nullopt, f.now);
  f.scheduler.Advance(f.now);
  CHECK(f.LimitOf(name) == 1);
}

TEST_CASE("a request that cannot meet its deadline is refused at once") {
  Fixture f(1, 1);
  f.Warm(40);  // One slot, 8 ms each.
  const std::vector<Grant> grants = f.Fill();
  const auto acquire = [&f](Duration time_left) {
    return f.scheduler.Acquire(Request(f.next_waiter++, f.now + time_left),
                               f.now);
  };
  CHECK(std::holds_alternative<SlotQueued>(acquire(milliseconds(17))));
  CHECK(std::holds_alternative<SlotQueued>(acquire(milliseconds(25))));
  const AcquireResult late = acquire(milliseconds(25));
  REQUIRE(std::holds_alternative<SlotRefused>(late));
  CHECK(std::get<SlotRefused>(late).reason == NotRunReason::kDeadlineTooShort);
}

TEST_CASE("short deadlines are served after a period of long service times") {
  Fixture f(1, 1);
  f.Warm(40);
  for (int i = 0; i < 100; ++i) {
    const std::vector<Grant> grants = f.Fill();
    f.now += seconds(1);
    f.scheduler.Release(grants.at(0).id, ResponseReport(seconds(1)), f.now);
  }
  CHECK(f.scheduler.Load().mean_slot_time > milliseconds(500));
  CHECK(std::holds_alternative<SlotGranted>(f.scheduler.Acquire(
      Request(f.next_waiter++, f.now + milliseconds(50)), f.now)));
}

TEST_CASE("a hanging server is avoided before it responds, then used again") {
  Fixture f(6, 16, 16);
  f.Warm(10);
  const BackendServerName name = Servers(6)[0].name;
  std::vector<Grant> hanging;
  // Runs steps of 24 concurrent requests of 8 ms each, in which one server does
  // not respond if `hangs`. Returns the number of grants on that server.
  const auto run_steps = [&](int steps, bool hangs) {
    int granted_count = 0;
    for (int step = 0; step < steps; ++step) {
      std::vector<Grant> prompt;
      for (int i = 0; i < 24; ++i) {
        const AcquireResult result = f.Acquire();
        const Grant& grant = std::get<SlotGranted>(result).grant;
        const bool affected = grant.server == name;
        granted_count += affected ? 1 : 0;
        (affected && hangs ? hanging : prompt).push_back(grant);
      }
      f.now += milliseconds(8);
      for (const Grant& grant : prompt) {
        f.scheduler.Release(grant.id, ResponseReport(milliseconds(8)), f.now);
      }
      f.scheduler.Advance(f.now);
    }
    return granted_count;
  };
  CHECK(run_steps(1, true) == 4);
  CHECK(run_steps(40, true) <= 4);
  for (const Grant& grant : hanging) {
    f.scheduler.Release(grant.id, ResponseReport(milliseconds(80)), f.now);
  }
  CHECK(run_steps(300, false) > 100);
}

TEST_CASE(
    "a server paused as slow is used again when one of its requests ends") {
  Fixture f(3, 4, 4);
  f.Warm(10);
  const std::vector<Grant> grants = f.Fill();
  REQUIRE(grants.size() == 12);
  f.now += milliseconds(100);
  f.scheduler.Release(grants[0].id, ReportWithEnd(CallOutcome::kNotUsed),
                      f.now);
  CHECK(f.scheduler.Load().usable_slots == 12);
  CHECK(std::holds_alternative<SlotQueued>(f.Acquire()));
  CHECK(f.scheduler.Load().usable_slots == 11);
  for (const Grant& grant : grants) {
    if (grant.id == grants[0].id || grant.server != grants[0].server) continue;
    const auto decisions = f.scheduler.Release(
        grant.id, ReportWithEnd(CallOutcome::kNotUsed), f.now);
    REQUIRE(decisions.size() == 1);
    CHECK(std::holds_alternative<SlotGranted>(decisions[0]));
    break;
  }
}

TEST_CASE(
    "a server reserved for an isolated request is released when the request is "
    "cancelled") {
  Fixture f(1, 2, 2);
  const std::vector<Grant> grants = f.Fill();
  SlotRequest isolated = Request(1000, f.now + seconds(2));
  isolated.isolated = true;
  f.scheduler.Acquire(isolated, f.now);
  CHECK(std::holds_alternative<SlotQueued>(f.Acquire()));
  CHECK(f.scheduler.Release(grants[0].id, CallReport{}, f.now).empty());
  f.scheduler.Cancel(isolated.waiter);
  CHECK(f.scheduler.NextDeadline() <= f.now);
  CHECK(f.scheduler.Advance(f.now).size() == 1);
}

}  // namespace
}  // namespace heatherlatch
