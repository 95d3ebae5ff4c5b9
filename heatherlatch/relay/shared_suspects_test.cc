#include "heatherlatch/relay/shared_suspects.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>
#include <vector>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

SuspectNotice Notice(ContentDigest digest, int crashes, Duration age = {}) {
  return {digest, ServiceName("tally"), crashes, age};
}

bool Has(const std::vector<SuspectNotice>& notices, ContentDigest digest) {
  return std::any_of(
      notices.begin(), notices.end(),
      [&](const SuspectNotice& notice) { return notice.digest == digest; });
}

TEST_CASE("a notice is stored only if it counts more crashes") {
  SharedSuspects shared;
  CHECK(shared.Add(Notice(7, 1), kStart));
  CHECK_FALSE(shared.Add(Notice(7, 1), kStart + seconds(1)));
  CHECK(shared.Add(Notice(7, 2), kStart + seconds(1)));
  CHECK_FALSE(shared.Add(Notice(7, 1), kStart + seconds(1)));
  const auto recent = shared.Recent(kStart + milliseconds(1500));
  REQUIRE(recent.size() == 1);
  CHECK(recent[0].crashes == 2);
  CHECK(recent[0].age == milliseconds(500));
}

TEST_CASE("notices age while they are passed on, and expire") {
  SharedSuspects first;
  SharedSuspects second;
  first.Add(Notice(7, 1), kStart);
  const TimePoint later = kStart + seconds(3);
  for (const SuspectNotice& notice : first.Recent(later)) {
    CHECK(second.Add(notice, later));
  }
  // Each host passes it on for as long, and only once, so that two hosts cannot
  // keep it alive between them.
  CHECK(first.Recent(kStart + kSuspectNoticeLifetime).empty());
  const TimePoint end = later + kSuspectNoticeLifetime;
  REQUIRE(second.Recent(end - milliseconds(1)).size() == 1);
  CHECK(second.Recent(end - milliseconds(1))[0].age ==
        seconds(3) + kSuspectNoticeLifetime - milliseconds(1));
  CHECK(second.Recent(end).empty());
  for (const SuspectNotice& notice : second.All(end)) {
    CHECK_FALSE(first.Add(notice, end));
  }
}

// Guards against notices that are gone before a restarted host asks for them.
TEST_CASE("notices are kept for hosts that were away") {
  SharedSuspects shared;
  shared.Add(Notice(7, 3), kStart);
  const TimePoint end = kStart + kSuspectNoticeRetention;
  const auto kept = shared.All(end - milliseconds(1));
  REQUIRE(kept.size() == 1);
  CHECK(kept[0].crashes == 3);
  CHECK(shared.All(end).empty());
  CHECK_FALSE(shared.Add(Notice(7, 4, kSuspectNoticeRetention), end));
}

TEST_CASE("the number of notices is bounded, and the latest are kept") {
  SharedSuspects shared;
  for (std::size_t i = 0; i < 2 * kMaxSharedSuspects; ++i) {
    shared.Add(Notice(i, 1), kStart + milliseconds(i));
  }
  const auto recent = shared.Recent(kStart + milliseconds(100));
  REQUIRE(recent.size() == kMaxSharedSuspects);
  for (const SuspectNotice& notice : recent) {
    CHECK(notice.digest >= kMaxSharedSuspects);
  }
}

TEST_CASE("contents that crashed most servers are kept") {
  SharedSuspects shared;
  shared.Add(Notice(7, 2, seconds(40)), kStart);
  for (std::size_t i = 0; i < 2 * kMaxSharedSuspects; ++i) {
    shared.Add(Notice(100 + i, 1), kStart);
  }
  const auto kept = shared.All(kStart);
  REQUIRE(kept.size() == kMaxSharedSuspects);
  CHECK(kept[0].digest == 7);
}

// Guards against a new content that is told to nobody while many others crash
// servers.
TEST_CASE("a new notice is passed on beside many with more crashes") {
  SharedSuspects shared;
  for (std::size_t i = 0; i < 2 * kMaxSharedSuspects; ++i) {
    shared.Add(Notice(100 + i, 3), kStart);
  }
  const TimePoint later = kStart + seconds(1);
  CHECK(shared.Add(Notice(7, 1), later));
  CHECK_FALSE(shared.Add(Notice(7, 1), later));
  const auto recent = shared.Recent(later);
  REQUIRE(recent.size() == kMaxSharedSuspects);
  CHECK(Has(recent, 7));
}

TEST_CASE("a notice with most crashes is passed on beside many later ones") {
  SharedSuspects shared;
  shared.Add(Notice(7, 3), kStart);
  const TimePoint later = kStart + seconds(1);
  for (std::size_t i = 0; i < 100; ++i) shared.Add(Notice(100 + i, 1), later);
  CHECK(Has(shared.Recent(later), 7));
}

TEST_CASE("the number of kept notices is bounded") {
  SharedSuspects shared;
  shared.Add(Notice(7, 1), kStart);
  for (std::size_t i = 0; i < kMaxKeptSuspects; ++i) {
    shared.Add(Notice(100 + i, 2), kStart);
  }
  // The one with the fewest crashes was dropped.
  CHECK_FALSE(shared.Add(Notice(7, 1), kStart));
  CHECK(shared.Add(Notice(7, 3), kStart));
}

// Guards against readers that take notices for new again and again, and tell
// each other of them without end.
TEST_CASE("hosts that pass on what is new to them come to rest") {
  constexpr std::size_t kHosts = 3;
  constexpr milliseconds kOneWay(30);
  const std::size_t contents =
      GENERATE(2 * kMaxSharedSuspects, 2 * kMaxKeptSuspects);
  struct Message {
    std::size_t to;
    SuspectNotice notice;
  };
  std::vector<SharedSuspects> hosts(kHosts);
  std::vector<Message> sent;
  for (std::size_t i = 0; i < contents; ++i) {
    sent.push_back({0, Notice(i, 1, seconds(6))});
  }
  std::size_t count = 0;
  for (TimePoint now = kStart; !sent.empty(); now += kOneWay) {
    REQUIRE(now < kStart + seconds(5));
    for (const auto& [to, notice] : std::exchange(sent, {})) {
      ++count;
      if (!hosts[to].Add(notice, now)) continue;
      for (std::size_t other = 0; other < kHosts; ++other) {
        if (other != to) sent.push_back({other, notice});
      }
    }
  }
  CHECK(count <= contents * kHosts * kHosts);
}

}  // namespace
}  // namespace heatherlatch
