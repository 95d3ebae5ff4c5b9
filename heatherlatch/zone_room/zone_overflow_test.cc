// Plays zones of servers and the hosts that decide, in virtual time, with
// readings that are as old as the responses that carry them.
#include "heatherlatch/zone_room/zone_overflow.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

#include "heatherlatch/zone_room/room_map.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr OverflowPrices kPrices{10e-9, 30e-9, 0.001};
constexpr milliseconds kTick{5};
constexpr milliseconds kServiceTime{230};
constexpr milliseconds kTarget{484};
constexpr milliseconds kFarRoundTrip{60};
constexpr milliseconds kUntilGivenUp{1000};
constexpr int kProbesOfSearch = 3;
constexpr milliseconds kTenth{100};
constexpr double kRecovered = 0.6;  // Share of the slots of a zone with room.
constexpr int kServers = 18;        // A zone.
constexpr int kSlots = 6;           // A server.
const ServiceName kService("lookup");
const std::array<ZoneName, 2> kZones{ZoneName("north"), ZoneName("south")};

struct Load {
  int hosts = 20;            // Of the north, where the load is high.
  double busy = 1.4;         // Load of the north until second 5; 1 fills it.
  double busy_after = 0.3;   // From second 5 on.
  double busy_south = 0.25;  // Of the callers of the south.
  double bytes = 400;
  bool decides = true;
};

struct Outcomes {
  double in_time_north = 0;  // Shares, until second 5.
  double in_time_south = 0;
  std::vector<int> crossing;       // Requests, by tenth of a second.
  double most_taken_in_south = 0;  // Share of the slots.
  int recovered =
      0;  // The tenth of a second in which the north had room again.
  double Crossed(int from, int to) const {
    int sum = 0;
    for (int i = from; i < to; ++i) sum += crossing.at(i);
    return sum;
  }
};

class Play {
 public:
  explicit Play(const Load& load) : load_(load), rng_(7) {
    hosts_.resize(load.hosts);
  }

  Outcomes Run() {
    outcomes_.crossing.assign(100, 0);
    for (; now_ < start_ + seconds(10); now_ += kTick) {
      Arrive();
      if (!Early(now_) && outcomes_.recovered == 0 &&
          Taken(zones_[0]) < kRecovered) {
        outcomes_.recovered = static_cast<int>((now_ - start_) / kTenth);
      }
      for (int zone : {0, 1}) Serve(zone);
    }
    outcomes_.in_time_north = in_time_[0] / std::max(1.0, asked_[0]);
    outcomes_.in_time_south = in_time_[1] / std::max(1.0, asked_[1]);
    return outcomes_;
  }

 private:
  struct Host {
    RoomMap rooms;
    ZoneOverflow overflow;
  };
  struct Request {
    int from = 0;
    std::size_t host = 0;
    TimePoint read_at;
    TimePoint arrives_at;
    TimePoint ends_at;
  };
  struct Zone {
    std::deque<Request> waiting;
    std::vector<Request> running;
  };

  static double Taken(const Zone& zone) {
    return static_cast<double>(zone.running.size()) / (kServers * kSlots);
  }
  bool Early(TimePoint time) const { return time < start_ + seconds(5); }
  double Sample() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

  int Arrivals(double busy) {
    const double capacity =
        kServers * kSlots / ToMilliseconds(kServiceTime) * kTick.count();
    return std::poisson_distribution<int>(busy * capacity)(rng_);
  }

  OverflowPlace Place(const Host& host, int zone, Duration round_trip) const {
    const ZoneRoom room = host.rooms.Room(kService, kZones.at(zone), now_);
    return {kServers * kSlots, room.free_share, room.speed, room.trust,
            round_trip};
  }

  void Arrive() {
    const double busy = Early(now_) ? load_.busy : load_.busy_after;
    for (int i = Arrivals(busy); i > 0; --i) {
      const std::size_t index = rng_() % hosts_.size();
      Host& host = hosts_[index];
      if (host.overflow.IsDue(now_)) {
        const Duration wait = kServiceTime *
                              static_cast<int>(zones_[0].waiting.size()) /
                              (kServers * kSlots);
        OverflowInput input;
        input.home = Place(host, 0, Duration::zero());
        input.other_regions = Place(host, 1, kFarRoundTrip);
        input.demand = {kServiceTime, kTarget, wait, load_.bytes};
        host.overflow.Update(input, kPrices, Sample(), now_);
      }
      const bool leaves = load_.decides && host.overflow.Draw(Sample()) ==
                                               OverflowScope::kOtherRegions;
      Add(0, leaves ? 1 : 0, index);
    }
    for (int i = Arrivals(load_.busy_south); i > 0; --i) Add(1, 1, 0);
  }

  void Add(int from, int to, std::size_t host) {
    if (Early(now_)) ++asked_.at(from);
    if (from != to) ++outcomes_.crossing.at((now_ - start_) / kTenth);
    const Duration trip = from == to ? Duration::zero() : kFarRoundTrip;
    for (int i = 0; from == 0 && to == 1 && i < kProbesOfSearch; ++i) {
      Report(1, zones_[1], host);
    }
    zones_.at(to).waiting.push_back({from, host, now_, now_ + trip, {}});
  }

  void Serve(int index) {
    Zone& zone = zones_.at(index);
    const auto ended = std::partition(
        zone.running.begin(), zone.running.end(),
        [&](const Request& each) { return each.ends_at > now_; });
    for (auto it = ended; it != zone.running.end(); ++it) {
      const Duration trip =
          it->from == index ? Duration::zero() : kFarRoundTrip;
      if (Early(it->read_at) && now_ + trip - it->read_at <= kTarget) {
        ++in_time_.at(it->from);
      }
      if (it->from == 0) Report(index, zone, it->host);
    }
    zone.running.erase(ended, zone.running.end());
    while (!zone.waiting.empty() && zone.waiting.front().arrives_at <= now_) {
      Request request = zone.waiting.front();
      const bool is_over = now_ - request.read_at > kUntilGivenUp;
      if (!is_over && zone.running.size() >= kServers * kSlots) break;
      zone.waiting.pop_front();
      if (is_over) continue;
      request.ends_at = now_ + Scale(kServiceTime, 0.5 + Sample());
      zone.running.push_back(request);
    }
    if (index == 1) {
      outcomes_.most_taken_in_south =
          std::max(outcomes_.most_taken_in_south, Taken(zone));
    }
  }

  void Report(int index, const Zone& zone, std::size_t host) {
    const int running = static_cast<int>(zone.running.size()) / kServers;
    const int waiting = static_cast<int>(zone.waiting.size()) / kServers;
    hosts_[host].rooms.OnReading(kService, kZones.at(index),
                                 {running, waiting, kSlots, 1}, now_);
  }

  Load load_;
  std::mt19937_64 rng_;
  const TimePoint start_{std::chrono::hours(1)};
  TimePoint now_ = start_;
  std::vector<Host> hosts_;
  std::array<Zone, 2> zones_;
  std::array<double, 2> asked_{};
  std::array<double, 2> in_time_{};
  Outcomes outcomes_;
};

Outcomes Simulate(const Load& load) { return Play(load).Run(); }

TEST_CASE("a zone short of servers is helped, and those who help stay served") {
  for (const int hosts : {3, 20, 200}) {
    Load load;
    load.hosts = hosts;
    const Outcomes on = Simulate(load);
    load.decides = false;
    const Outcomes off = Simulate(load);
    CAPTURE(hosts, on.in_time_north, off.in_time_north, on.in_time_south,
            on.most_taken_in_south, on.Crossed(0, 50));
    CHECK(on.in_time_north > off.in_time_north + 0.15);
    CHECK(on.in_time_south > 0.98);
    CHECK(off.Crossed(0, 100) == 0);
  }
}

TEST_CASE("requests are back home within a second of the zone's recovery") {
  Load load;
  const Outcomes on = Simulate(load);
  const double before = on.Crossed(40, 50);
  const double after = on.Crossed(on.recovered + 10, on.recovered + 20);
  CAPTURE(before, on.recovered, after);
  REQUIRE(on.recovered >= 50);
  REQUIRE(on.recovered < 80);
  CHECK(before > 20);
  CHECK(after <= 0.05 * before);
}

TEST_CASE("hundreds of hosts that know the same do not oscillate") {
  Load load;
  load.hosts = 300;
  const Outcomes on = Simulate(load);
  const auto begin = on.crossing.begin() + 25;
  const auto end = on.crossing.begin() + 50;
  const double mean = on.Crossed(25, 50) / 25;
  CAPTURE(mean, *std::max_element(begin, end), *std::min_element(begin, end));
  CHECK(mean > 2);
  CHECK(*std::max_element(begin, end) < 2.5 * mean);
  CHECK(on.most_taken_in_south < 1);
}

TEST_CASE("no request leaves a zone that has room, or for one that has none") {
  Load load;
  load.busy = 0.6;
  CHECK(Simulate(load).Crossed(0, 100) == 0);
  load.busy = 1.4;
  load.busy_south = 0.95;
  const Outcomes full = Simulate(load);
  Load off = load;
  off.decides = false;
  CHECK(full.in_time_south > Simulate(off).in_time_south - 0.05);
}

TEST_CASE("the larger the response, the fewer leave") {
  std::vector<double> crossed;
  for (const double bytes : {400.0, 15'000.0, 90'000.0}) {
    Load load;
    load.bytes = bytes;
    crossed.push_back(Simulate(load).Crossed(0, 50));
  }
  CAPTURE(crossed[0], crossed[1], crossed[2]);
  CHECK(crossed[0] > 1.2 * crossed[1]);
  CHECK(crossed[1] > 0);
  CHECK(crossed[2] == 0);
}

OverflowInput ShortAtHome() {
  OverflowInput input;
  input.home = {100, 0, 1, 0.9, Duration::zero()};
  input.region = {100, 0.8, 1, 0.9, milliseconds(2)};
  input.other_regions = {400, 0.8, 1, 0.9, kFarRoundTrip};
  input.demand = {kServiceTime, kTarget, milliseconds(600), 400};
  return input;
}

TEST_CASE("a zone without servers is left to the search for the nearest ones") {
  OverflowInput input = ShortAtHome();
  input.home.slots = 0;
  const OverflowTarget target = DecideOverflow(input, kPrices);
  CHECK(target.reason == OverflowReason::kNoServersAtHome);
  CHECK(target.shares.region + target.shares.other_regions == 0);
}

TEST_CASE("a queue that is empty for a moment does not call requests back") {
  OverflowInput input = ShortAtHome();
  ZoneOverflow overflow;
  TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < 40; ++i, now += kOverflowInterval) {
    input.demand.wait_at_home = milliseconds(i % 4 == 0 ? 600 : 0);
    overflow.Update(input, kPrices, 0.5, now);
  }
  const OverflowShares target = DecideOverflow(ShortAtHome(), kPrices).shares;
  CHECK(overflow.shares().other_regions > 0.5 * target.other_regions);
}

TEST_CASE("a zone of which nothing was heard lately counts as free") {
  OverflowInput input = ShortAtHome();
  input.home.trust = 0;
  CHECK(DecideOverflow(input, kPrices).reason == OverflowReason::kRoomAtHome);
}

TEST_CASE("unknown room is explored by a small share") {
  OverflowInput input = ShortAtHome();
  input.region.trust = 0;
  input.other_regions.slots = 0;
  const OverflowTarget target = DecideOverflow(input, kPrices);
  CHECK(target.reason == OverflowReason::kExplores);
  CHECK(target.shares.region > 0);
  CHECK(target.shares.region <= 0.25);
}

TEST_CASE("the shares never exceed the room elsewhere, and never sum above 1") {
  for (const double free : {-1.0, 0.0, 0.25, 0.5, 1.0}) {
    OverflowInput input = ShortAtHome();
    input.region.free_share = input.other_regions.free_share = free;
    const OverflowShares shares = DecideOverflow(input, kPrices).shares;
    CHECK(shares.region >= 0);
    CHECK(shares.region + shares.other_regions <= 1);
    const double usable = 500 * std::max(0.0, free - kOverflowReserve);
    CHECK(shares.region + shares.other_regions <=
          usable / (usable + 100) + 1e-9);
  }
}

}  // namespace
}  // namespace heatherlatch
