#include "heatherlatch/steering/steering.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

Candidate MakeCandidate(const std::string& name, Distance distance,
                        const LoadReading& reading) {
  Candidate candidate;
  candidate.server.name = BackendServerName(name);
  candidate.server.slots = reading.slots;
  candidate.distance = distance;
  candidate.reading = reading;
  return candidate;
}

ExpectedWork SmallWork() { return {milliseconds(120), 400, milliseconds(300)}; }
ExpectedWork Download() {
  return {milliseconds(96), 90'000, milliseconds(500)};
}

std::string Chosen(const std::vector<Candidate>& candidates,
                   const ExpectedWork& work) {
  const auto choice = ChooseServer(candidates, work);
  return choice ? candidates[choice->index].server.name.str() : "none";
}

TEST_CASE("a slowed server ranks behind a distant one at its usual speed") {
  const std::vector<Candidate> candidates = {
      MakeCandidate("slow", Distance::kSameZone, {0, 0, 3, 7}),
      MakeCandidate("usual", Distance::kSameRegion, {0, 0, 3, 1})};
  CHECK(Chosen(candidates, SmallWork()) == "usual");
}

TEST_CASE("a server with a free slot ranks before one with a queue") {
  const std::vector<Candidate> candidates = {
      MakeCandidate("full", Distance::kSameZone, {3, 2, 3, 1}),
      MakeCandidate("free", Distance::kSameRegion, {1, 0, 3, 1})};
  CHECK(Chosen(candidates, SmallWork()) == "free");
  const auto choice = ChooseServer({candidates[0]}, SmallWork());
  REQUIRE(choice);
  CHECK(choice->occupancy == Occupancy::kQueued);
}

TEST_CASE("a download stays in a zone that a small request leaves") {
  const std::vector<Candidate> candidates = {
      MakeCandidate("near", Distance::kSameZone, {3, 0, 3, 1}),
      MakeCandidate("far", Distance::kSameRegion, {0, 0, 3, 1})};
  CHECK(Chosen(candidates, SmallWork()) == "far");
  CHECK(Chosen(candidates, Download()) == "near");
}

TEST_CASE("requests sent since the reading count as load of the server") {
  std::vector<Candidate> candidates = {
      MakeCandidate("a", Distance::kSameZone, {1, 0, 3, 1}),
      MakeCandidate("b", Distance::kSameZone, {2, 0, 3, 1})};
  CHECK(Chosen(candidates, SmallWork()) == "a");
  candidates[0].sent_since_reading = 2;
  CHECK(Chosen(candidates, SmallWork()) == "b");
}

TEST_CASE(
    "a server that failed recently ranks last but is chosen if it is alone") {
  std::vector<Candidate> candidates = {
      MakeCandidate("failed", Distance::kSameZone, {0, 0, 3, 1}),
      MakeCandidate("busy", Distance::kSameZone, {3, 3, 3, 1})};
  candidates[0].failed_recently = true;
  CHECK(Chosen(candidates, SmallWork()) == "busy");
  CHECK(Chosen({candidates[0]}, SmallWork()) == "failed");
}

TEST_CASE("a server without a reading ranks behind those with one") {
  Candidate silent = MakeCandidate("silent", Distance::kSameZone, {});
  silent.reading.reset();
  const Candidate slow =
      MakeCandidate("slow", Distance::kSameRegion, {3, 1, 3, 7});
  const ExpectedWork tiny{std::chrono::microseconds(200), 400,
                          milliseconds(300)};
  CHECK(Chosen({silent, slow}, tiny) == "slow");
  CHECK(Chosen({silent}, tiny) == "silent");
}

TEST_CASE(
    "a server is idle only if it reported so and was sent nothing since") {
  Candidate candidate = MakeCandidate("a", Distance::kSameZone, {0, 0, 3, 1});
  CHECK(IsIdle(candidate));
  candidate.sent_since_reading = 1;
  CHECK_FALSE(IsIdle(candidate));
  CHECK_FALSE(IsIdle(MakeCandidate("a", Distance::kSameZone, {1, 0, 3, 1})));
  candidate.reading.reset();
  candidate.sent_since_reading = 0;
  CHECK_FALSE(IsIdle(candidate));
}

TEST_CASE("a server that refuses connections is not chosen") {
  Candidate refusing = MakeCandidate("refusing", Distance::kSameZone, {});
  refusing.reading.reset();
  refusing.not_listening = true;
  CHECK(Chosen({refusing}, SmallWork()) == "none");
}

TEST_CASE("a server in cold start is chosen only while it is idle",
          "[promise-02]") {
  Candidate idle = MakeCandidate("cold", Distance::kSameZone, {0, 0, 3, 1});
  idle.cold = true;
  CHECK(Chosen({idle}, SmallWork()) == "cold");
  Candidate busy = idle;
  busy.reading->running = 1;
  CHECK(Chosen({busy}, SmallWork()) == "none");
  Candidate unknown = idle;
  unknown.reading.reset();
  CHECK(Chosen({unknown}, SmallWork()) == "none");
}

TEST_CASE("candidates of the region are drawn before others") {
  std::mt19937_64 rng(20261204);
  std::vector<Candidate> all;
  for (int i = 0; i < 4; ++i) {
    all.push_back(MakeCandidate("zone", Distance::kSameZone, {}));
    all.push_back(MakeCandidate("region", Distance::kSameRegion, {}));
    all.push_back(MakeCandidate("far", Distance::kOtherRegion, {}));
  }
  const auto drawn = DrawCandidates(all, 6, &rng);
  REQUIRE(drawn.size() == 6);
  for (int i = 0; i < 4; ++i) CHECK(drawn[i].distance == Distance::kSameZone);
  for (int i = 4; i < 6; ++i) CHECK(drawn[i].distance == Distance::kSameRegion);
  CHECK(DrawCandidates(all, 20, &rng).size() == 8);
  CHECK(DrawCandidates({all[2], all[5]}, 6, &rng).size() == 2);
}

TEST_CASE("servers that failed recently are drawn last, also in the own zone") {
  std::mt19937_64 rng(20261204);
  std::vector<Candidate> all;
  for (int i = 0; i < 8; ++i) {
    all.push_back(MakeCandidate("zone", Distance::kSameZone, {}));
    all.back().failed_recently = true;
    all.push_back(MakeCandidate("region", Distance::kSameRegion, {}));
  }
  for (const Candidate& drawn : DrawCandidates(all, 6, &rng)) {
    CHECK(drawn.distance == Distance::kSameRegion);
  }
}

TEST_CASE("connected servers are drawn first, and some others in a region") {
  std::mt19937_64 rng(20261204);
  for (const Distance distance :
       {Distance::kSameZone, Distance::kOtherRegion}) {
    std::vector<Candidate> all;
    for (int i = 0; i < 40; ++i) {
      all.push_back(MakeCandidate("server", distance, {}));
      all.back().connected = i < 6;
    }
    std::size_t fewest = 6;
    for (int i = 0; i < 50; ++i) {
      const auto drawn = DrawCandidates(all, 6, &rng);
      REQUIRE(drawn.size() == 6);
      const auto connected = static_cast<std::size_t>(
          std::count_if(drawn.begin(), drawn.end(),
                        [](const Candidate& one) { return one.connected; }));
      fewest = std::min(fewest, connected);
    }
    CHECK(fewest == (distance == Distance::kOtherRegion
                         ? 6
                         : 6 - kCandidatesDrawnAtRandom));
  }
}

TEST_CASE("an idle server settles the choice before others have responded") {
  Candidate pending = MakeCandidate("pending", Distance::kSameZone, {});
  pending.reading.reset();
  pending.probe_pending = true;
  const auto settled_by = [&](const Candidate& candidate) {
    return IsSettled({candidate, pending}, SmallWork());
  };
  const Candidate idle = MakeCandidate("a", Distance::kSameZone, {0, 0, 3, 1});
  CHECK(settled_by(idle));
  CHECK(settled_by(MakeCandidate("a", Distance::kSameRegion, {1, 0, 3, 1})));
  CHECK_FALSE(
      settled_by(MakeCandidate("a", Distance::kSameZone, {2, 0, 3, 1})));
  CHECK_FALSE(
      settled_by(MakeCandidate("a", Distance::kSameZone, {0, 0, 3, 7})));
  CHECK_FALSE(
      settled_by(MakeCandidate("a", Distance::kOtherRegion, {0, 0, 3, 1})));
  Candidate failed = idle;
  failed.failed_recently = true;
  CHECK_FALSE(settled_by(failed));
  CHECK_FALSE(IsSettled({pending}, SmallWork()));
}

TEST_CASE("a download waits for a probe response of its own zone") {
  Candidate pending = MakeCandidate("pending", Distance::kSameZone, {});
  pending.reading.reset();
  pending.probe_pending = true;
  const Candidate idle =
      MakeCandidate("a", Distance::kSameRegion, {0, 0, 3, 1});
  CHECK_FALSE(IsSettled({idle, pending}, Download()));
  pending.probe_pending = false;
  CHECK(IsSettled({idle, pending}, Download()));
}

TEST_CASE("more load or slowdown never lowers the expected time") {
  CHECK(rc::check("expected time grows with load", [] {
    const LoadReading reading{*rc::gen::inRange(0, 8), *rc::gen::inRange(0, 8),
                              *rc::gen::inRange(1, 6),
                              *rc::gen::inRange(50, 900) / 100.0};
    const Candidate lighter = MakeCandidate("a", Distance::kSameZone, reading);
    Candidate heavier = lighter;
    heavier.reading->running += *rc::gen::inRange(0, 4);
    heavier.reading->slowdown += *rc::gen::inRange(0, 300) / 100.0;
    RC_ASSERT(ExpectedTime(lighter, SmallWork()) <=
              ExpectedTime(heavier, SmallWork()));
  }));
}

}  // namespace
}  // namespace heatherlatch
