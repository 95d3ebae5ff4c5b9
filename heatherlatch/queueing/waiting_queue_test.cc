#include "heatherlatch/queueing/waiting_queue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "heatherlatch/queueing/service_pace.h"

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

TEST_CASE("few sends tell the rate once requests have waited a while") {
  WaitingQueue queue;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    queue.Add(Request(id, 0, 400, 1600), kNow);
  }
  queue.OnSent(kNow + milliseconds(100));
  queue.OnSent(kNow + milliseconds(400));
  // Six requests a second, so that at most 14 are sent in the time left.
  CHECK(queue.TakeOverdue(kNow + milliseconds(500)).size() >= 24);
}

// Guards against a rate that counts the quiet time before a burst.
TEST_CASE("the first requests of a burst are not refused for a quiet time") {
  const bool wait_first = GENERATE(false, true);
  CAPTURE(wait_first);
  WaitingQueue queue;
  queue.OnSent(kNow - milliseconds(1900));
  const auto send = [&] {
    for (int i = 0; i < 7; ++i) queue.OnSent(kNow);
  };
  if (!wait_first) send();
  for (std::uint64_t id = 1; id <= 6; ++id) {
    queue.Add(Request(id, 0, 100, 900), kNow);
  }
  if (wait_first) send();
  CHECK(queue.TakeOverdue(kNow + milliseconds(3)).empty());
  // None was sent since, so that the turn of the last ones comes too late.
  CHECK_FALSE(queue.TakeOverdue(kNow + milliseconds(700)).empty());
}

// Guards against sends before a quiet time that count as sent after it.
TEST_CASE("sends before a quiet time do not make the next ones faster") {
  ServicePace pace;
  for (int i = 0; i < 100; ++i) pace.OnSent(kNow - milliseconds(1600 - 10 * i));
  pace.OnNoneWaiting();
  for (int i = 0; i < 20; ++i) pace.OnSent(kNow + milliseconds(10 * i));
  const auto rate = pace.SendsPerSecond(kNow + milliseconds(200));
  REQUIRE(rate);
  CHECK(*rate == Approx(100));
}

TEST_CASE("a late request is refused if those to come take all the room") {
  for (const int arrivals_per_second : {0, 100}) {
    WaitingQueue queue;
    RecordSends(&queue, 50);
    for (int i = 2 * arrivals_per_second - 1; i >= 0; --i) {
      queue.OnArrival(0, kNow - milliseconds(1000 * i / arrivals_per_second));
    }
    for (std::uint64_t id = 1; id <= 10; ++id) {
      queue.Add(Request(id, 0, 300), kNow);
    }
    queue.Add(Request(11, 0, -1, 800), kNow);
    WaitingRequest promised = Request(12, 0, -1, 801);
    promised.has_place = true;
    queue.Add(promised, kNow);
    CHECK(queue.TakeOverdue(kNow) ==
          (arrivals_per_second == 0 ? Ids{} : Ids{11}));
  }
}

TEST_CASE("a late request does not go before those that can be in time") {
  WaitingQueue queue;
  queue.Add(Request(1, 0, -1, 900), kNow);
  queue.Add(Request(2, 0, 100), kNow);
  queue.Add(Request(3, 1, 100), kNow);
  for (int i = 0; i < WaitingQueue::kSendsBetweenLongestWaiting; ++i) {
    queue.OnSent(kNow);
    CHECK(queue.Order(kNow).back() == 1);
  }
}

TEST_CASE("of one rank, an organisation with much more waiting comes last") {
  WaitingQueue queue;
  std::uint64_t id = 0;
  const auto add = [&](const char* organisation, int priority) {
    WaitingRequest request = Request(++id, priority, 100);
    request.organisation = OrganisationName(organisation);
    queue.Add(request, kNow);
    return id;
  };
  for (int i = 0; i < 20; ++i) add("large", 1);
  const std::uint64_t other = add("other", 1);
  const std::uint64_t none = add("", 1);
  const std::uint64_t less_urgent = add("third", 2);
  const Ids order = queue.Order(kNow);
  const auto place = [&](std::uint64_t of) {
    return std::find(order.begin(), order.end(), of) - order.begin();
  };
  // 23 requests of four groups: one and a half times the average is eight.
  CHECK(place(other) <= 9);
  CHECK(place(none) <= 9);
  CHECK(place(less_urgent) == 22);
}

TEST_CASE("an organisation that has sent much lately comes last") {
  WaitingQueue queue;
  const OrganisationName large("large");
  for (int i = 0; i < 2; ++i) queue.OnSent(kNow, large);
  WaitingRequest first = Request(1, 0, 100);
  first.organisation = large;
  queue.Add(first, kNow);
  WaitingRequest second = Request(2, 0, 200);
  second.organisation = OrganisationName("other");
  queue.Add(second, kNow);
  queue.OnSent(kNow, OrganisationName("other"));
  CHECK(queue.Order(kNow).front() == 1);
  for (int i = 0; i < 8; ++i) queue.OnSent(kNow, large);
  CHECK(queue.Order(kNow).front() == 2);
  // What was sent long ago does not count.
  CHECK(queue.Order(kNow + std::chrono::seconds(30)).front() == 1);
}

TEST_CASE("uploads beyond the bound do not displace requests without a body") {
  WaitingQueue queue({10, 100});
  queue.Add(Request(1, 5, 100), kNow);
  WaitingRequest upload = Request(2, 0, 200);
  upload.bytes = 60;
  queue.Add(upload, kNow);
  upload.id = 3;
  CHECK(queue.Add(upload, kNow) == Ids{3});
  CHECK(queue.Contains(1));
}

TEST_CASE("a caller that leaves frees its place at once") {
  WaitingQueue queue({2, 100});
  WaitingRequest upload = Request(1, 0, 100);
  upload.bytes = 100;
  CHECK(queue.Add(upload, kNow).empty());
  queue.Remove(1);
  upload.id = 2;
  CHECK(queue.Add(upload, kNow).empty());
}

ExpectedRoom Room(int from_ms, double per_second) {
  return {milliseconds(from_ms), per_second};
}

TEST_CASE("callers are told times at which there is room for each") {
  ReturnSchedule schedule;
  std::vector<Duration> told;
  for (int i = 0; i < 10; ++i) {
    const Return back =
        schedule.Grant(Room(500, 10), std::chrono::seconds(6), 0.5, kNow);
    CHECK(back.has_place);
    CHECK(back.after >= milliseconds(500));
    told.push_back(back.after);
  }
  // Ten a second: one in each slot of 100 ms.
  CHECK(std::is_sorted(told.begin(), told.end()));
  CHECK(told.back() - told.front() == milliseconds(900));
  CHECK(schedule.counts().granted == 10);
}

TEST_CASE("without room callers are spread over the end of their patience") {
  ReturnSchedule schedule;
  std::set<Duration> told;
  for (int i = 0; i < 10; ++i) {
    const Return back =
        schedule.Grant(Room(500, 0), std::chrono::seconds(6), 0.5, kNow);
    CHECK_FALSE(back.has_place);
    CHECK(back.after >= milliseconds(1000));
    CHECK(back.after <= milliseconds(2000));
    told.insert(back.after);
  }
  CHECK(told.size() == 10);
  CHECK(schedule.counts().granted == 0);
}

TEST_CASE("without room, callers of little patience follow those that wait") {
  ReturnSchedule schedule;
  const Return back = schedule.Grant(Room(300, 0), milliseconds(2500), 0, kNow);
  CHECK_FALSE(back.has_place);
  CHECK(back.after == milliseconds(300));
}

TEST_CASE("a place is used once, from its slot on, or it expires") {
  ReturnSchedule schedule;
  schedule.Grant(Room(500, 10), std::chrono::seconds(6), 0, kNow);
  schedule.Grant(Room(500, 10), std::chrono::seconds(6), 0, kNow);
  const auto arrival_at = [&](int after_ms) {
    return schedule.OnArrival(true, kNow + milliseconds(after_ms));
  };
  CHECK(arrival_at(400) == ArrivalKind::kNew);
  CHECK(arrival_at(500) == ArrivalKind::kWithPlace);
  CHECK(arrival_at(550) == ArrivalKind::kNew);
  CHECK(arrival_at(2000) == ArrivalKind::kNew);
  CHECK(schedule.counts().used == 1);
  CHECK(schedule.counts().expired == 1);
}

TEST_CASE("a caller told a time without a place is known when it returns") {
  ReturnSchedule schedule;
  const Return back =
      schedule.Grant(Room(500, 0), std::chrono::seconds(6), 0, kNow);
  const TimePoint then = kNow + back.after;
  CHECK(schedule.OnArrival(false, then) == ArrivalKind::kNew);
  CHECK(schedule.OnArrival(true, then) == ArrivalKind::kReturning);
  CHECK(schedule.OnArrival(true, then) == ArrivalKind::kNew);
}

TEST_CASE("a Retry-After is sound whatever time and room are stated") {
  CHECK(rc::check("within a third of the time left", [] {
    ReturnSchedule schedule;
    const auto left = milliseconds(*rc::gen::arbitrary<int>());
    const Return back = schedule.Grant(
        Room(*rc::gen::arbitrary<int>(), *rc::gen::inRange(0, 1000000)), left,
        *rc::gen::inRange(0, 100) / 100.0, kNow);
    RC_ASSERT(back.after >= Duration::zero());
    RC_ASSERT(back.after <= LongestRetryAfter(left));
  }));
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
