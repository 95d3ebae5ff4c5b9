// Tests of RelistingWindow in virtual time.
#include "heatherlatch/relay/relisting_window.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
// The latest at which the users' rules allow a request to a server after the
// store, calm for `kCalm`, confirmed that the server left.
constexpr Duration kDrainBound = milliseconds(2500);
constexpr Duration kCalm = milliseconds(4000);

TimePoint At(int ms) { return kStart + milliseconds(ms); }

TEST_CASE("a server that is removed while the store is up has left") {
  RelistingWindow window;
  CHECK_FALSE(window.End(At(0)));
  window.OnConfirmed(At(0));
  CHECK_FALSE(window.End(At(1000)));
}

TEST_CASE("a server whose entry expired in an outage may be listed again") {
  RelistingWindow window;
  window.OnConfirmed(At(0));
  window.OnStoreUnavailable();
  window.OnConfirmed(At(8000));
  CHECK(window.End(At(8100)) == At(8000) + kRelistingGrace);
  CHECK_FALSE(window.End(At(8000) + kRelistingGrace));
}

TEST_CASE(
    "during an outage that is long enough, a server may be listed again") {
  RelistingWindow window;
  window.OnConfirmed(At(0));
  window.OnStoreUnavailable();
  CHECK_FALSE(window.End(At(1000)));
  CHECK(window.End(At(4000)) == At(4000) + kRelistingGrace);
}

// Guards against review case 2: a host that follows one that is cut off used a
// server that had left for 3.4 s.
TEST_CASE("the word of a host that is cut off opens no window") {
  RelistingWindow window;
  window.OnConfirmed(At(0));
  window.OnStoreUnavailable();
  CHECK(window.StoreWasUnavailable(At(1000)));
  window.OnConfirmed(At(1700));
  CHECK_FALSE(window.End(At(1700)));
  CHECK_FALSE(window.StoreWasUnavailable(At(1700)));
}

// Guards against review case 2: each host on the way to the store added its
// own grace.
TEST_CASE("repeated words of an earlier outage do not extend the window") {
  RelistingWindow window;
  window.OnConfirmed(At(0));
  window.OnStoreUnavailable();
  window.OnConfirmed(At(8000));
  for (int ms = 8100; ms < 11'000; ms += 100) {
    window.OnStoreUnavailable();
    window.OnConfirmed(At(ms));
  }
  CHECK_FALSE(window.End(At(11'000)));
  CHECK_FALSE(window.End(At(8000) + kRelistingGrace));
}

TEST_CASE("a window is open if nothing was confirmed before") {
  RelistingWindow window;
  window.OnStoreUnavailable();
  CHECK(window.End(At(0)) == At(0) + kRelistingGrace);
  window.OnConfirmed(At(0));
  CHECK(window.End(At(100)) == At(0) + kRelistingGrace);
}

TEST_CASE("a server that leaves a calm store is not used beyond the bound") {
  rc::prop("for any outage and any delays of the confirmations", [] {
    const int outage_ms = *rc::gen::inRange(0, 20'000);
    // Until a host reaches the store again, and from host to host.
    const int return_delay_ms = *rc::gen::inRange(0, 3200);
    const int relay_delay_ms = *rc::gen::inRange(0, 600);
    RelistingWindow window;
    window.OnConfirmed(At(0));
    window.OnStoreUnavailable();
    const TimePoint back_at = At(outage_ms);
    TimePoint confirmed_at =
        back_at + milliseconds(return_delay_ms + relay_delay_ms);
    const TimePoint left_at =
        back_at + kCalm + milliseconds(*rc::gen::inRange(0, 5000));
    const TimePoint learnt_at =
        left_at + milliseconds(*rc::gen::inRange(0, 1000));
    while (confirmed_at < learnt_at) {
      window.OnConfirmed(confirmed_at);
      if (*rc::gen::arbitrary<bool>()) window.OnStoreUnavailable();
      confirmed_at += milliseconds(*rc::gen::inRange(10, 1700));
    }
    window.OnConfirmed(learnt_at);
    const auto end = window.End(learnt_at);
    if (end) RC_ASSERT(*end <= left_at + kDrainBound);
  });
}

}  // namespace
}  // namespace heatherlatch
