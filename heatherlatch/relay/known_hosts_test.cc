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
  for (std::size_t i = 1; i <= 10; ++i) known.NoteRequest(Host(i), kStart);
  CHECK(known.Sample(20, &rng, kStart).size() == 9);
  const auto sample = known.Sample(4, &rng, kStart);
  CHECK(std::set<Endpoint>(sample.begin(), sample.end()).size() == 4);
  CHECK(std::count(sample.begin(), sample.end(), Host(1)) == 0);
}

TEST_CASE("hosts are forgotten, and their number is bounded") {
  std::mt19937_64 rng(7);
  KnownHosts known(Host(1));
  for (std::size_t i = 0; i < 2 * kMaxKnownHosts; ++i) {
    known.NoteRequest(Host(2 + i), kStart + milliseconds(i));
  }
  const TimePoint last = kStart + milliseconds(2 * kMaxKnownHosts - 1);
  REQUIRE(known.Count(last) == kMaxKnownHosts);
  const auto kept = known.Sample(kMaxKnownHosts, &rng, last);
  CHECK(std::count(kept.begin(), kept.end(), Host(1 + 2 * kMaxKnownHosts)) ==
        1);
  CHECK(known.Sample(1, &rng, last + kKnownHostLifetime).empty());
}

// Guards against hosts that are gone and take the places of those that live.
TEST_CASE("a host that lives is known beside as many as are kept, all gone") {
  std::mt19937_64 rng(7);
  KnownHosts known(Host(1));
  for (std::size_t i = 0; i < kMaxKnownHosts; ++i) {
    known.NoteListed(Host(3 + i), kStart);
  }
  known.NoteReaderResponse(kStart);
  const TimePoint later = kStart + milliseconds(1);
  known.NoteListed(Host(2), later);
  const auto kept = known.Sample(kMaxKnownHosts, &rng, later);
  CHECK(std::count(kept.begin(), kept.end(), Host(2)) == 1);
  known.NoteListed(Host(2), later + kKnownHostLifetime);
  known.NoteReaderResponse(later + kKnownHostLifetime);
  CHECK(known.Sample(kMaxKnownHosts, &rng, later + kKnownHostLifetime) ==
        std::vector<Endpoint>{Host(2)});
}

// Guards against a gauge of hosts of the last minute that counts all of them.
TEST_CASE("a host that was not heard of for a minute is not counted") {
  KnownHosts known(Host(1));
  known.NoteRequest(Host(2), kStart);
  known.NoteRequest(Host(3), kStart + kKnownHostLifetime);
  CHECK(known.Count(kStart + kKnownHostLifetime) == 1);
}

// Guards against a cut that outlasts what hosts know of each other.
TEST_CASE("hosts still know each other after an hour without a reader") {
  std::mt19937_64 rng(7);
  KnownHosts known(Host(1));
  known.NoteListed(Host(2), kStart);
  known.NoteReaderResponse(kStart);
  const TimePoint later = kStart + std::chrono::hours(1);
  CHECK(known.Sample(1, &rng, later).size() == 1);
  known.NoteReaderResponse(later);
  CHECK(known.Sample(1, &rng, later).empty());
}

// Guards against a reader that lists hosts that are gone, since it followed
// another host once.
TEST_CASE("a host that made no request lately is not told to others") {
  std::mt19937_64 rng(7);
  KnownHosts known(Host(1));
  known.NoteReaderResponse(kStart);
  known.NoteRequest(Host(2), kStart + std::chrono::minutes(10));
  CHECK(
      known.SampleRequesters(1, &rng, kStart + std::chrono::hours(2)).empty());
}

// Guards against hosts that are gone and that others list to each other.
TEST_CASE("two hosts do not keep one that is gone alive between them") {
  std::mt19937_64 rng(7);
  KnownHosts first(Host(1));
  KnownHosts second(Host(2));
  first.NoteRequest(Host(3), kStart);
  TimePoint now = kStart;
  for (; now < kStart + 3 * kKnownHostLifetime; now += milliseconds(1000)) {
    for (const Endpoint& host : first.SampleRequesters(16, &rng, now)) {
      second.NoteListed(host, now);
    }
    for (const Endpoint& host : second.SampleRequesters(16, &rng, now)) {
      first.NoteListed(host, now);
    }
  }
  CHECK(first.Sample(16, &rng, now).empty());
  CHECK(second.Sample(16, &rng, now).empty());
}

}  // namespace
}  // namespace heatherlatch
