#include "heatherlatch/steering/patience.h"

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

PlacementState State(int waited_ms, int time_left_ms) {
  return {milliseconds(waited_ms), milliseconds(300),
          milliseconds(time_left_ms), milliseconds(120)};
}

Choice MakeChoice(int expected_ms, Occupancy occupancy) {
  return {0, milliseconds(expected_ms), occupancy};
}

std::string Describe(const PatienceVerdict& verdict) {
  if (std::holds_alternative<SendNow>(verdict)) return "send";
  return std::holds_alternative<AskAgain>(verdict) ? "ask" : "refuse";
}

TEST_CASE("a request is refused where no server can respond by its deadline") {
  CHECK(Describe(Decide(std::nullopt, State(0, 3000))) == "refuse");
  const Choice late = MakeChoice(480, Occupancy::kRoomy);
  CHECK(Describe(Decide(late, State(0, 480))) == "refuse");
  CHECK(Describe(Decide(late, State(0, 481))) != "refuse");
  const Choice full = MakeChoice(3000, Occupancy::kWaiting);
  CHECK(Describe(Decide(full, State(600, 2400))) == "refuse");
}

TEST_CASE("servers that are slow or full now are no reason to refuse at once") {
  // A download with 11 s left, which needs 3 s at worst.
  const PlacementState download{milliseconds(300), milliseconds(2000),
                                milliseconds(11'000), milliseconds(180)};
  const Choice full_and_slow = MakeChoice(17'000, Occupancy::kWaiting);
  CHECK(Describe(Decide(full_and_slow, download)) == "ask");
  const Choice slow = MakeChoice(12'000, Occupancy::kRoomy);
  CHECK(Describe(Decide(slow, download)) == "ask");
  PlacementState late = download;
  late.waited = milliseconds(2500);
  CHECK(Describe(Decide(full_and_slow, late)) == "ask");
  late.waited = milliseconds(4000);
  CHECK(Describe(Decide(full_and_slow, late)) == "refuse");
}

TEST_CASE("a download that its region cannot complete may go to another") {
  const ExpectedWork download{milliseconds(180), 90'000, milliseconds(2000), 1};
  const PlacementState state{milliseconds(300), milliseconds(2000),
                             milliseconds(11'000), milliseconds(180)};
  const Choice never = MakeChoice(17'000, Occupancy::kWaiting);
  CHECK(NextReach(never, state, download, Reach::kRegion) ==
        Reach::kEverywhere);
  const Choice late = MakeChoice(5000, Occupancy::kWaiting);
  CHECK(NextReach(late, state, download, Reach::kRegion) == std::nullopt);
}

TEST_CASE("a request whose servers refuse the connection is refused at once") {
  PlacementState state = State(0, 3000);
  state.unreachable = true;
  const PatienceVerdict verdict = Decide(std::nullopt, state);
  REQUIRE(std::holds_alternative<Refuse>(verdict));
  CHECK(std::get<Refuse>(verdict).reason == NotRunReason::kConnectFailed);
}

TEST_CASE("a request that meets its target is sent, also into a queue") {
  CHECK(Describe(Decide(MakeChoice(284, Occupancy::kWaiting),
                        State(0, 3000))) == "send");
  CHECK(Describe(Decide(MakeChoice(120, Occupancy::kRoomy),
                        State(100, 3000))) == "send");
}

TEST_CASE(
    "a request that may still meet its target waits for a better server") {
  CHECK(Describe(Decide(MakeChoice(400, Occupancy::kWaiting),
                        State(0, 3000))) == "ask");
  CHECK(Describe(Decide(MakeChoice(900, Occupancy::kRoomy), State(0, 3000))) ==
        "ask");
  CHECK(Describe(Decide(MakeChoice(400, Occupancy::kRoomy), State(0, 3000))) ==
        "send");
}

TEST_CASE("a late request is sent only to a server with room") {
  CHECK(Describe(Decide(MakeChoice(200, Occupancy::kRoomy),
                        State(250, 2750))) == "send");
  CHECK(Describe(Decide(MakeChoice(900, Occupancy::kRoomy),
                        State(250, 2750))) == "ask");
  CHECK(Describe(Decide(MakeChoice(200, Occupancy::kWaiting),
                        State(250, 2750))) == "ask");
}

TEST_CASE("a late request takes a free slot or is refused in the end") {
  CHECK(Describe(Decide(MakeChoice(900, Occupancy::kRoomy),
                        State(600, 2400))) == "send");
  CHECK(Describe(Decide(MakeChoice(400, Occupancy::kWaiting),
                        State(600, 2400))) == "refuse");
  CHECK(Describe(Decide(MakeChoice(400, Occupancy::kWaiting),
                        State(250, 470))) == "refuse");
}

TEST_CASE(
    "a request that must run alone waits a limited time for an idle server") {
  CHECK(Describe(DecideWithoutIdle(State(0, 3000))) == "ask");
  CHECK(Describe(DecideWithoutIdle(State(2600, 400))) == "refuse");
}

// The reach that is probed next, or the current one where nothing more is
// probed.
Reach Next(const std::optional<Choice>& choice, const PlacementState& state,
           const ExpectedWork& work, Reach reach) {
  return NextReach(choice, state, work, reach).value_or(reach);
}

TEST_CASE(
    "servers of other regions are probed where they can meet the target") {
  const ExpectedWork small{milliseconds(120), 400, milliseconds(300), 1};
  const ExpectedWork download{milliseconds(96), 90'000, milliseconds(500), 1};
  const Choice late = MakeChoice(400, Occupancy::kWaiting);
  const Reach region = Reach::kRegion;
  CHECK(Next(std::nullopt, State(0, 3000), download, region) ==
        Reach::kEverywhere);
  CHECK(Next(late, State(0, 3000), small, region) == Reach::kEverywhere);
  CHECK(Next(late, State(0, 3000), download, region) == region);
  CHECK(Next(MakeChoice(290, Occupancy::kRoomy), State(0, 3000), small,
             region) == region);
  // Not enough time left for the round trips between regions.
  CHECK(Next(late, State(100, 2900), small, region) == region);
  CHECK(Next(std::nullopt, State(0, 3000), small, Reach::kEverywhere) ==
        Reach::kEverywhere);
}

TEST_CASE("another zone is probed before another region") {
  const ExpectedWork download{milliseconds(96), 90'000, milliseconds(500), 1};
  const Choice late = MakeChoice(400, Occupancy::kWaiting);
  CHECK(Next(late, State(0, 3000), download, Reach::kNearest) ==
        Reach::kRegion);
  CHECK(Next(late, State(250, 2750), download, Reach::kNearest) ==
        Reach::kRegion);
  CHECK(Next(MakeChoice(120, Occupancy::kRoomy), State(0, 3000), download,
             Reach::kNearest) == Reach::kNearest);
}

TEST_CASE("more candidates are probed where the best one did not respond") {
  const ExpectedWork small{milliseconds(20), 400, milliseconds(300), 1};
  Choice unknown = MakeChoice(140, Occupancy::kRoomy);
  unknown.answered = false;
  CHECK(Next(unknown, State(0, 3000), small, Reach::kNearest) ==
        Reach::kRegion);
}

}  // namespace
}  // namespace heatherlatch
