#include "heatherlatch/queueing/waiting_queue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using Ids = std::vector<std::uint64_t>;

const TimePoint kNow{std::chrono::seconds(1000)};

WaitingRequest Request(std::uint64_t id, int priority, int send_by_ms,
                       int give_up_ms = 1000) {
  return {id, priority, kNow + milliseconds(send_by_ms),
          kNow + milliseconds(give_up_ms), 0};
}

// Records sends at an even rate until now.
void RecordSends(WaitingQueue* queue, int per_second) {
  for (int i = 2 * per_second - 1; i >= 0; --i) {
    queue->OnSent(kNow - milliseconds(1000 * i / per_second));
  }
}

TEST_CASE("the order is by priority, then by the time to send") {
  WaitingQueue queue;
  queue.Add(Request(1, 1, 50), kNow);
  queue.Add(Request(2, 0, 200), kNow);
  queue.Add(Request(3, 0, 100), kNow);
  CHECK(queue.Order(kNow) == Ids{3, 2, 1});
}

TEST_CASE("late requests come after those that can still be in time") {
  WaitingQueue queue;
  queue.Add(Request(1, 0, -1, 300), kNow);
  queue.Add(Request(2, 1, 50), kNow);
  queue.Add(Request(3, 0, -500, 200), kNow);
  CHECK(queue.Order(kNow) == Ids{2, 3, 1});
  CHECK(queue.Order(kNow + milliseconds(60)) == Ids{3, 1, 2});
}

TEST_CASE("of late requests, the one with less time left comes first") {
  // A caller that was refused and came back has less time left.
  WaitingQueue queue;
  queue.Add(Request(1, 1, -1, 900), kNow);
  queue.Add(Request(2, 1, -1, 300), kNow);
  CHECK(queue.Order(kNow).front() == 2);
}

TEST_CASE("a low priority does not starve") {
  WaitingQueue queue;
  queue.Add(Request(1, 5, 500), kNow);
  std::uint64_t next_id = 2;
  int sends = 0;
  while (queue.Contains(1)) {
    queue.Add(Request(next_id++, 0, 100), kNow);
    queue.Remove(queue.Order(kNow).front());
    queue.OnSent(kNow);
    REQUIRE(++sends <= WaitingQueue::kSendsBetweenLongestWaiting + 1);
  }
}

TEST_CASE("a request whose turn comes too late is refused at once") {
  WaitingQueue queue;
  RecordSends(&queue, 50);
  for (std::uint64_t id = 1; id <= 40; ++id) {
    queue.Add(Request(id, 0, 100, 400), kNow);
  }
  const Ids overdue = queue.TakeOverdue(kNow);
  // 20 are sent within 400 ms; the estimate may be wrong by a quarter.
  CHECK(overdue.size() >= 10);
  CHECK(overdue.size() <= 20);
  CHECK(queue.size() + overdue.size() == 40);
  // The last ones in the order are those refused.
  CHECK(*std::min_element(overdue.begin(), overdue.end()) > queue.size());
  CHECK(queue.TakeOverdue(kNow).empty());
}

TEST_CASE("a request that is overtaken too often is refused then") {
  WaitingQueue queue;
  RecordSends(&queue, 50);
  queue.Add(Request(1, 1, 100, 200), kNow);
  CHECK(queue.TakeOverdue(kNow).empty());
  for (std::uint64_t id = 2; id <= 21; ++id) {
    queue.Add(Request(id, 0, 100), kNow);
  }
  CHECK(queue.TakeOverdue(kNow) == Ids{1});
}

TEST_CASE("without a rate of sends only the time of a request ends its wait") {
  WaitingQueue queue;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    queue.Add(Request(id, 0, 100, 400), kNow);
  }
  CHECK(queue.TakeOverdue(kNow).empty());
  CHECK_FALSE(queue.DrainTime(kNow));
  CHECK(queue.TakeOverdue(kNow + milliseconds(400)).size() == 100);
}

TEST_CASE("the queue is bounded, and refuses the last one in its order") {
  WaitingQueue queue({2, 100});
  CHECK(queue.Add(Request(1, 1, 100), kNow).empty());
  CHECK(queue.Add(Request(2, 1, 200), kNow).empty());
  CHECK(queue.Add(Request(3, 0, 300), kNow) == Ids{2});
  WaitingRequest large = Request(4, 2, 100);
  large.bytes = 101;
  CHECK(queue.Add(large, kNow) == Ids{4});
  CHECK(queue.size() == 2);
}

TEST_CASE("the time until room follows from the rate of sends") {
  WaitingQueue queue;
  RecordSends(&queue, 50);
  for (std::uint64_t id = 1; id <= 100; ++id) {
    queue.Add(Request(id, 0, 100), kNow);
  }
  const auto drain = queue.DrainTime(kNow);
  REQUIRE(drain);
  CHECK(*drain >= milliseconds(1900));
  CHECK(*drain <= milliseconds(2100));
}

TEST_CASE("a Retry-After is spread, and bounded by the caller's own time") {
  const Duration room = milliseconds(400);
  CHECK(RetryAfterRoom(room, std::chrono::seconds(9), 0) == room);
  CHECK(RetryAfterRoom(room, std::chrono::seconds(9), 0.5) ==
        milliseconds(500));
  CHECK(RetryAfterRoom(room, milliseconds(600), 0.5) <= milliseconds(200));
  CHECK(RetryAfterRoom(room, -room, 0.5) == Duration::zero());
}

TEST_CASE("each request leaves the queue exactly once, in any order of calls") {
  CHECK(rc::check("each ID leaves exactly once", [] {
    WaitingQueue queue({20, 1 << 20});
    TimePoint now = kNow;
    std::set<std::uint64_t> waiting;
    std::uint64_t next_id = 1;
    const auto take = [&](const Ids& ids) {
      for (const std::uint64_t id : ids) {
        RC_ASSERT(waiting.erase(id) == 1u);
      }
    };
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 30));
      const int action = *rc::gen::inRange(0, 4);
      if (action <= 1) {
        WaitingRequest request;
        request.id = next_id++;
        request.priority = *rc::gen::inRange(0, 3);
        request.send_by = now + milliseconds(*rc::gen::inRange(-50, 100));
        request.give_up_at = now + milliseconds(*rc::gen::inRange(0, 300));
        waiting.insert(request.id);
        take(queue.Add(request, now));
      } else if (action == 2 && !queue.empty()) {
        const std::uint64_t id = queue.Order(now).front();
        queue.Remove(id);
        queue.OnSent(now);
        take({id});
      } else {
        take(queue.TakeOverdue(now));
      }
      const Ids order = queue.Order(now);
      RC_ASSERT(std::set<std::uint64_t>(order.begin(), order.end()) == waiting);
      RC_ASSERT(order.size() == waiting.size());
    }
  }));
}

}  // namespace
}  // namespace heatherlatch
