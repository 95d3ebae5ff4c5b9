// Times the decisions of heatherlatch/placement at the present size (44
// backend servers) and the size expected in two years (830 backend servers, 93
// services).
#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <vector>

#include "heatherlatch/placement/group_choice.h"
#include "heatherlatch/placement/group_owner.h"
#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 3;
constexpr int kOrganisations = 40;

std::vector<GroupServer> MakeServers(int count) {
  std::vector<GroupServer> servers;
  for (int i = 0; i < count; ++i) {
    servers.push_back({BackendServerName("server-" + std::to_string(i)),
                       Endpoint{"127.0.0.1", 9000}, true});
  }
  return servers;
}

std::vector<HostIncarnation> MakeHosts(int count) {
  std::vector<HostIncarnation> hosts;
  for (int i = 0; i < count; ++i) {
    hosts.push_back({HostName("entry-" + std::to_string(i)),
                     static_cast<std::uint64_t>(i)});
  }
  return hosts;
}

// A scheduler and its active grants, oldest first.
class SchedulerFixture {
 public:
  explicit SchedulerFixture(int servers) : scheduler_(Options(), now_) {
    scheduler_.SetServers(MakeServers(servers), now_);
  }

  void Acquire() {
    SlotRequest request;
    request.waiter = next_waiter_++;
    request.organisation = organisations_[request.waiter % kOrganisations];
    request.deadline = now_ + seconds(10);
    const AcquireResult result = scheduler_.Acquire(request, now_);
    if (const auto* granted = std::get_if<SlotGranted>(&result)) {
      grants_.push_back(granted->grant.id);
    }
  }

  void ReleaseOldest() {
    now_ += microseconds(10);
    CallReport report;
    report.service_time = milliseconds(8);
    report.boot_id = 1;
    report.reported_in_flight = 1;
    const GrantId oldest = grants_.front();
    grants_.pop_front();
    for (const SlotDecision& decision :
         scheduler_.Release(oldest, report, now_)) {
      if (const auto* granted = std::get_if<SlotGranted>(&decision)) {
        grants_.push_back(granted->grant.id);
      }
    }
  }

  // Brings every server to its full limit.
  void WarmUp(int servers) {
    for (int i = 0; i < servers * 20; ++i) {
      while (static_cast<int>(grants_.size()) < UsableSlots()) Acquire();
      ReleaseOldest();
    }
  }

  int UsableSlots() const { return scheduler_.Load().usable_slots; }
  std::size_t grant_count() const { return grants_.size(); }

 private:
  static GroupOptions Options() {
    GroupOptions options;
    options.slots_per_server = kSlots;
    return options;
  }

  TimePoint now_ = TimePoint(seconds(1000));
  GroupScheduler scheduler_;
  WaiterId next_waiter_ = 0;
  std::deque<GrantId> grants_;
  std::vector<OrganisationName> organisations_ = [] {
    std::vector<OrganisationName> names;
    for (int i = 0; i < kOrganisations; ++i) {
      names.emplace_back("organisation-" + std::to_string(i));
    }
    return names;
  }();
};

// A slot is free: half of the slots of the group are in use.
void AcquireAndReleaseFreeSlot(benchmark::State& state) {
  const int servers = static_cast<int>(state.range(0));
  SchedulerFixture fixture(servers);
  fixture.WarmUp(servers);
  while (fixture.grant_count() >
         static_cast<std::size_t>(servers * kSlots / 2)) {
    fixture.ReleaseOldest();
  }
  for (auto _ : state) {
    fixture.Acquire();
    fixture.ReleaseOldest();
  }
}
BENCHMARK(AcquireAndReleaseFreeSlot)->Arg(10)->Arg(44)->Arg(830);

// Every slot in use: a request waits, and each release grants the slot to the
// next waiter.
void AcquireAndReleaseThroughQueue(benchmark::State& state) {
  const int servers = static_cast<int>(state.range(0));
  SchedulerFixture fixture(servers);
  fixture.WarmUp(servers);
  while (static_cast<int>(fixture.grant_count()) < fixture.UsableSlots()) {
    fixture.Acquire();
  }
  for (int i = 0; i < state.range(1); ++i) fixture.Acquire();
  for (auto _ : state) {
    fixture.Acquire();
    fixture.ReleaseOldest();
  }
}
BENCHMARK(AcquireAndReleaseThroughQueue)
    ->Args({44, 10})
    ->Args({44, 500})
    ->Args({830, 10})
    ->Args({830, 500});

void RankGroupsOfService(benchmark::State& state) {
  std::vector<GroupCandidate> candidates;
  for (int i = 0; i < state.range(0); ++i) {
    GroupCandidate candidate;
    candidate.group = {ServiceName("tally"),
                       ZoneName("zone-" + std::to_string(i))};
    candidate.distance = i == 0   ? Distance::kSameZone
                         : i == 1 ? Distance::kSameRegion
                                  : Distance::kOtherRegion;
    candidate.load = GroupLoad{30, 20 + i, i, milliseconds(8)};
    candidates.push_back(candidate);
  }
  for (auto _ : state) benchmark::DoNotOptimize(RankGroups(candidates));
}
BENCHMARK(RankGroupsOfService)->Arg(2)->Arg(6)->Arg(12);

void OwnerOfGroup(benchmark::State& state) {
  const GroupId group{ServiceName("tally"), ZoneName("zone-1")};
  const auto hosts = MakeHosts(static_cast<int>(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(GroupOwner(group, hosts, {}));
}
BENCHMARK(OwnerOfGroup)->Arg(3)->Arg(9)->Arg(60);

// The work of the control thread when the host list changes.
void OwnersOfAllGroups(benchmark::State& state) {
  const int services = static_cast<int>(state.range(0));
  const int zones = 6;
  const auto hosts = MakeHosts(static_cast<int>(state.range(1)));
  std::vector<GroupId> groups;
  for (int i = 0; i < services * zones; ++i) {
    groups.push_back({ServiceName("service-" + std::to_string(i / zones)),
                      ZoneName("zone-" + std::to_string(i % zones))});
  }
  for (auto _ : state) {
    for (const GroupId& group : groups) {
      benchmark::DoNotOptimize(GroupOwner(group, hosts, {}));
    }
  }
}
BENCHMARK(OwnersOfAllGroups)->Args({3, 3})->Args({93, 3})->Args({93, 60});

}  // namespace
}  // namespace heatherlatch

BENCHMARK_MAIN();
