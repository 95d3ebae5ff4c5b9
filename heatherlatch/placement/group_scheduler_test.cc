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

CallReport Answered(Duration service_time) {
  CallReport report;
  report.service_time = service_time;
  return report;
}

// A scheduler, its time, and the grants that a test holds.
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

  // Takes every free slot.
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

  // Runs full rounds of prompt answers.
  void Warm(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      const std::vector<Grant> grants = Fill();
      now += milliseconds(8);
      for (const Grant& grant : grants) {
        scheduler.Release(grant.id, Answered(milliseconds(8)), now);
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

TEST_CASE("a group taken over starts cold and ramps up in two rounds",
          "[promise-02]") {
  Fixture f(4);
  CHECK(f.scheduler.Load().usable_slots == 4);
  f.Warm(1);
  CHECK(f.scheduler.Load().usable_slots == 8);
  f.Warm(1);
  CHECK(f.scheduler.Load().usable_slots == 12);
  CHECK(f.Fill().size() == 12);
}

}  // namespace
}  // namespace heatherlatch
