#include "heatherlatch/admission/loop_delay.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart(std::chrono::seconds(1000));

TEST_CASE("a loop that keeps up adds no waiting time") {
  LoopDelay delay;
  CHECK(delay.EarliestArrival(kStart) == kStart);
  delay.OnDue(kStart + milliseconds(400), kStart);
  delay.OnDue(kStart - kLoopIsBehind, kStart);
  CHECK_FALSE(delay.IsBehind());
  CHECK(delay.delay() == Duration::zero());
  CHECK(delay.EarliestArrival(kStart) == kStart);
}

TEST_CASE("a late timer counts as waiting time until a short turn") {
  LoopDelay delay;
  delay.OnDue(kStart - milliseconds(300), kStart);
  delay.OnDue(kStart - milliseconds(100), kStart);
  CHECK(delay.IsBehind());
  CHECK(delay.delay() == milliseconds(300));
  CHECK(delay.EarliestArrival(kStart) == kStart - milliseconds(300));
  delay.OnTurn(kStart, kStart + milliseconds(2));
  CHECK_FALSE(delay.IsBehind());
  CHECK(delay.EarliestArrival(kStart + milliseconds(2)) ==
        kStart + milliseconds(2));
}

TEST_CASE("no request is taken to be younger than it is while turns are long") {
  CHECK(rc::check("a request is not read before its earliest arrival", [] {
    const auto turns = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(11, 900)));
    LoopDelay delay;
    TimePoint polled = kStart;
    for (const int turn : turns) {
      const TimePoint polled_next = polled + milliseconds(turn);
      delay.OnTurn(polled, polled_next);
      // A request of this turn waits for the next poll and for its handler.
      const auto arrived =
          polled + milliseconds(*rc::gen::inRange(0, turn + 1));
      const auto handled =
          polled_next + milliseconds(*rc::gen::inRange(0, 900));
      RC_ASSERT(delay.EarliestArrival(handled) <= arrived);
      RC_ASSERT(delay.EarliestArrival(handled) == polled);
      polled = polled_next;
    }
  }));
}

}  // namespace
}  // namespace heatherlatch
