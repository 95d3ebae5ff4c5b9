#include "heatherlatch/relay/shared_suspects.h"

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

SuspectNotice Notice(ContentDigest digest, int crashes, Duration age = {}) {
  return {digest, ServiceName("tally"), crashes, age};
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
  CHECK(second.Recent(later + seconds(1)).size() == 1);
  CHECK(second.Recent(later + seconds(2)).empty());
  // Two hosts cannot keep a notice alive between them.
  CHECK_FALSE(second.Add(Notice(7, 1, kSuspectNoticeLifetime), later));
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

}  // namespace
}  // namespace heatherlatch
