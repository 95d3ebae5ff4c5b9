#include "heatherlatch/relay/store_history.h"

#include <catch2/catch.hpp>

#include "heatherlatch/relay/store_revision.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{};
constexpr std::uint64_t kKnown = OrderedRevision(2, 50);

TEST_CASE("a host that knows nothing follows any history") {
  HistoryConfirmation confirmation;
  CHECK(confirmation.OnResponse(OrderedRevision(9, 1), 0, kStart) ==
        StoreHistory::kKnown);
  CHECK(MayFollowPeerIntoEra(OrderedRevision(9, 1), 0, false));
}

TEST_CASE("a later era is followed once a second response states it") {
  HistoryConfirmation confirmation;
  const std::uint64_t restored = OrderedRevision(3, 40);
  CHECK(confirmation.OnResponse(restored, kKnown, kStart) ==
        StoreHistory::kQueryAgain);
  CHECK(confirmation.OnResponse(restored, kKnown, kStart) ==
        StoreHistory::kConfirmed);
}

// Guards against one wrong era that hosts follow for good.
TEST_CASE("an era that one response states is not followed") {
  HistoryConfirmation confirmation;
  for (int i = 0; i < 3; ++i) {
    CHECK(confirmation.OnResponse(OrderedRevision(8000, 50), kKnown, kStart) ==
          StoreHistory::kQueryAgain);
    CHECK(confirmation.OnResponse(kKnown + 1, kKnown, kStart) ==
          StoreHistory::kKnown);
  }
  CHECK(confirmation.OnResponse(OrderedRevision(7, 50), kKnown, kStart) ==
        StoreHistory::kQueryAgain);
  CHECK(confirmation.OnResponse(OrderedRevision(8, 50), kKnown, kStart) ==
        StoreHistory::kUnconfirmed);
}

TEST_CASE("another host is followed into the next era if it is up to date") {
  CHECK(MayFollowPeerIntoEra(OrderedRevision(3, 10), kKnown, true));
  CHECK_FALSE(MayFollowPeerIntoEra(OrderedRevision(3, 10), kKnown, false));
  CHECK_FALSE(MayFollowPeerIntoEra(OrderedRevision(8000, 50), kKnown, true));
  CHECK(MayFollowPeerIntoEra(kKnown, kKnown, false));
}

TEST_CASE(
    "an earlier history is followed if all responses of seconds state it") {
  const std::uint64_t earlier =
      GENERATE(OrderedRevision(0, 900), OrderedRevision(2, 9));
  HistoryConfirmation confirmation;
  TimePoint now = kStart;
  CHECK(confirmation.OnResponse(earlier, kKnown, now) ==
        StoreHistory::kUnconfirmed);
  now += kEarlierHistoryTime - milliseconds(1);
  CHECK(confirmation.OnResponse(earlier, kKnown, now) ==
        StoreHistory::kUnconfirmed);
  SECTION("which they do") {
    CHECK(confirmation.OnResponse(earlier, kKnown, now + milliseconds(1)) ==
          StoreHistory::kConfirmed);
  }
  SECTION("which one does not") {
    confirmation.OnResponse(kKnown, kKnown, now);
    CHECK(confirmation.OnResponse(earlier, kKnown, now + milliseconds(1)) ==
          StoreHistory::kUnconfirmed);
  }
}

}  // namespace
}  // namespace heatherlatch
