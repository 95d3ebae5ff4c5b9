#include "heatherlatch/steering/server_subset.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>

namespace heatherlatch {
namespace {

using Members = std::set<std::string>;

Candidate Server(int number, Distance distance, int slots = 6) {
  Candidate candidate;
  candidate.server.name = BackendServerName("server-" + std::to_string(number));
  candidate.server.slots = slots;
  candidate.distance = distance;
  return candidate;
}

std::vector<Candidate> Servers(int count, Distance distance, int first = 0) {
  std::vector<Candidate> servers;
  for (int i = 0; i < count; ++i) {
    servers.push_back(Server(first + i, distance));
  }
  return servers;
}

HostName Host(int number) { return HostName("host-" + std::to_string(number)); }

Members SubsetOf(const HostName& host, std::size_t size,
                 std::vector<Candidate> servers) {
  KeepSubset(host, size, &servers);
  Members members;
  for (const Candidate& server : servers) {
    CHECK((server.in_subset || server.cold));
    members.insert(server.server.name.str());
  }
  return members;
}

std::size_t Common(const Members& a, const Members& b) {
  return static_cast<std::size_t>(
      std::count_if(a.begin(), a.end(),
                    [&](const std::string& name) { return b.count(name); }));
}

struct Deployment {
  int hosts;    // Of one zone.
  int servers;  // Of one service in that zone.
};

// One zone of deployments with 20 to 672 hosts.
const Deployment kDeployments[] = {{4, 12},  {18, 12},  {18, 24},
                                   {53, 70}, {112, 70}, {112, 105}};

constexpr std::size_t kSize = 8;

TEST_CASE("each host is sent to by near servers first and keeps far ones") {
  std::vector<Candidate> servers = Servers(20, Distance::kSameZone);
  for (const auto& far : Servers(20, Distance::kSameRegion, 100)) {
    servers.push_back(far);
  }
  KeepSubset(Host(1), kSize, &servers);
  std::map<Distance, std::size_t> kept;
  for (const Candidate& server : servers) ++kept[server.distance];
  CHECK(kept[Distance::kSameZone] >= kSize);
  CHECK(kept[Distance::kSameRegion] >= kSize);
  std::mt19937_64 rng(1);
  for (const Candidate& drawn : DrawCandidates(servers, 6, &rng)) {
    CHECK(drawn.distance == Distance::kSameZone);
  }
}

TEST_CASE("a subset holds every server of a small service") {
  CHECK(SubsetOf(Host(1), kSize, Servers(7, Distance::kSameZone)).size() == 7);
}

// Hosts that know only their own load choose at random among their members.
// The bound is the stated target for the busiest server.
TEST_CASE("requests spread over the servers of a zone in even parts") {
  for (const auto& [hosts, server_count] : kDeployments) {
    std::map<std::string, double> load;
    for (int host = 0; host < hosts; ++host) {
      const Members members = SubsetOf(
          Host(host), kSize, Servers(server_count, Distance::kSameZone));
      for (const std::string& name : members) {
        load[name] += 1.0 / static_cast<double>(members.size());
      }
    }
    const double mean = static_cast<double>(hosts) / server_count;
    double busiest = 0;
    for (const auto& [name, one] : load) busiest = std::max(busiest, one);
    CAPTURE(hosts, server_count, busiest / mean);
    CHECK(load.size() == static_cast<std::size_t>(server_count));
    CHECK(busiest / mean < 1.5);
  }
}

TEST_CASE("each host gets the same slots where servers differ") {
  auto servers = Servers(40, Distance::kSameZone);
  for (std::size_t i = 0; i < 20; ++i) servers[i].server.slots = 12;
  constexpr int kSlotsOfSlice = (20 * 12 + 20 * 6) / 4;
  for (int host = 0; host < 64; ++host) {
    auto members = servers;
    KeepSubset(Host(host), kSize, &members);
    int slots = 0;
    for (const Candidate& member : members) slots += member.server.slots;
    CAPTURE(host, slots);
    CHECK(std::abs(slots - kSlotsOfSlice) <= 12);
  }
}

// @return the share of the members that are not in both subsets, over hosts
double Changed(const std::vector<Candidate>& before,
               const std::vector<Candidate>& after) {
  std::size_t total = 0;
  std::size_t common = 0;
  for (int number = 0; number < 64; ++number) {
    const Members a = SubsetOf(Host(number), kSize, before);
    const Members b = SubsetOf(Host(number), kSize, after);
    total += std::max(a.size(), b.size());
    common += Common(a, b);
  }
  return 1 - static_cast<double>(common) / static_cast<double>(total);
}

TEST_CASE("servers that come or go change few members") {
  const auto servers = Servers(70, Distance::kSameZone);
  for (int gone = 0; gone < 70; ++gone) {
    auto fewer = servers;
    fewer.erase(fewer.begin() + gone);
    CHECK(Changed(servers, fewer) < 0.1);
    CHECK(Changed(fewer, servers) < 0.1);
  }
  const auto more = Servers(120, Distance::kSameZone);
  const auto nine_tenths = Servers(108, Distance::kSameZone, 12);
  CHECK(Changed(more, nine_tenths) < 0.25);
  CHECK(Changed(nine_tenths, more) < 0.25);
}

TEST_CASE("twice the slices halve each subset and move no other member") {
  const auto servers = Servers(64, Distance::kSameZone);
  const auto fewer = Servers(63, Distance::kSameZone);
  for (int host = 0; host < 64; ++host) {
    const Members narrow = SubsetOf(Host(host), kSize, servers);
    const Members wide = SubsetOf(Host(host), kSize, fewer);
    CHECK(narrow.size() == kSize);
    CHECK(Common(narrow, wide) >= kSize - 2);
  }
}

TEST_CASE("hosts without a number use every server of a service") {
  Members used;
  for (int host = 0; host < 60; ++host) {
    const std::string name = "host-" + std::to_string(host) + "x";
    used.merge(
        SubsetOf(HostName(name), kSize, Servers(64, Distance::kSameZone)));
  }
  CHECK(used.size() == 64);
}

TEST_CASE("a subset depends on its host and the set of servers alone") {
  auto servers = Servers(70, Distance::kSameZone);
  const Members before = SubsetOf(Host(7), kSize, servers);
  CHECK(SubsetOf(Host(8), kSize, servers) != before);
  std::reverse(servers.begin(), servers.end());
  CHECK(SubsetOf(Host(7), kSize, servers) == before);
}

TEST_CASE("servers that failed are replaced until they are used again") {
  auto servers = Servers(70, Distance::kSameZone);
  const Members before = SubsetOf(Host(3), kSize, servers);
  for (Candidate& server : servers) {
    server.failed_recently = before.count(server.server.name.str()) != 0;
  }
  const Members during = SubsetOf(Host(3), kSize, servers);
  CHECK(during.size() == 2 * before.size());
  CHECK(Common(before, during) == before.size());
}

TEST_CASE("a server in cold start with a permit is kept whatever its rank") {
  auto servers = Servers(70, Distance::kSameZone);
  for (Candidate& server : servers) server.cold = true;
  CHECK(SubsetOf(Host(3), kSize, servers).size() == servers.size());
}

TEST_CASE("all servers are used while requests wait and for a time after") {
  SubsetWidening widening;
  const TimePoint start{};
  CHECK_FALSE(widening.IsWide(start));
  CHECK(widening.OnPressure(start));
  CHECK_FALSE(widening.OnPressure(start + kWideningHold / 2));
  CHECK(widening.IsWide(start + kWideningHold));
  CHECK_FALSE(widening.IsWide(start + kWideningHold * 3 / 2));
}

}  // namespace
}  // namespace heatherlatch
