#include "heatherlatch/relay/known_hosts.h"

#include <catch2/catch.hpp>
#include <set>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(1000)};

Endpoint Host(std::size_t number) {
  return {"10.0.0.1", static_cast<std::uint16_t>(number)};
}

TEST_CASE("a sample has different hosts, and not this one") {
  std::mt19937_64 rng(7);
  KnownHosts known(Host(1));
  for (std::size_t i = 1; i <= 10; ++i) known.Note(Host(i), kStart);
  CHECK(known.Sample(20, &rng, kStart).size() == 9);
  const auto sample = known.Sample(4, &rng, kStart);
  CHECK(std::set<Endpoint>(sample.begin(), sample.end()).size() == 4);
  CHECK(std::count(sample.begin(), sample.end(), Host(1)) == 0);
}

TEST_CASE("hosts are forgotten, and their number is bounded") {
  std::mt19937_64 rng(7);
  KnownHosts known(Host(1));
  for (std::size_t i = 0; i < 2 * kMaxKnownHosts; ++i) {
    known.Note(Host(2 + i), kStart + milliseconds(i));
  }
  REQUIRE(known.size() == kMaxKnownHosts);
  const TimePoint last = kStart + milliseconds(2 * kMaxKnownHosts - 1);
  const auto kept = known.Sample(kMaxKnownHosts, &rng, last);
  CHECK(std::count(kept.begin(), kept.end(), Host(1 + 2 * kMaxKnownHosts)) ==
        1);
  CHECK(known.Sample(1, &rng, last + kKnownHostLifetime).empty());
}

}  // namespace
}  // namespace heatherlatch
