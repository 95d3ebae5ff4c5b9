#include "heatherlatch/steering/placement_decision.h"

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

std::string Describe(const PlacementDecision& decision) {
  if (std::holds_alternative<SendNow>(decision)) return "send";
  return std::holds_alternative<ProbeAgain>(decision) ? "probe" : "refuse";
}

TEST_CASE("a request is refused where no server can respond by its deadline") {
  CHECK(Describe(DecidePlacement(std::nullopt, State(0, 3000))) == "refuse");
  const Choice late = MakeChoice(480, Occupancy::kAvailable);
  CHECK(Describe(DecidePlacement(late, State(0, 480))) == "refuse");
  CHECK(Describe(DecidePlacement(late, State(0, 481))) != "refuse");
  const Choice full = MakeChoice(3000, Occupancy::kQueued);
  CHECK(Describe(DecidePlacement(full, State(600, 2400))) == "refuse");
}

TEST_CASE("servers that are slow or full now are no reason to refuse at once") {
  // A download with 11 s left, which needs 3 s at worst.
  const PlacementState download{milliseconds(300), milliseconds(2000),
                                milliseconds(11'000), milliseconds(180)};
  const Choice full_and_slow = MakeChoice(17'000, Occupancy::kQueued);
  CHECK(Describe(DecidePlacement(full_and_slow, download)) == "probe");
  const Choice slow = MakeChoice(12'000, Occupancy::kAvailable);
  CHECK(Describe(DecidePlacement(slow, download)) == "probe");
  PlacementState late = download;
  late.waited = milliseconds(2500);
  CHECK(Describe(DecidePlacement(full_and_slow, late)) == "probe");
  late.waited = milliseconds(4000);
  CHECK(Describe(DecidePlacement(full_and_slow, late)) == "refuse");
}

TEST_CASE("a download that its region cannot complete may go to another") {
  const ExpectedWork download{milliseconds(180), 90'000, milliseconds(2000), 1};
  const PlacementState state{milliseconds(300), milliseconds(2000),
                             milliseconds(11'000), milliseconds(180)};
  const Choice never = MakeChoice(17'000, Occupancy::kQueued);
  CHECK(NextSearchScope(never, state, download, SearchScope::kRegion) ==
        SearchScope::kEverywhere);
  const Choice late = MakeChoice(5000, Occupancy::kQueued);
  CHECK(NextSearchScope(late, state, download, SearchScope::kRegion) ==
        std::nullopt);
}

TEST_CASE("a request whose servers refuse the connection is refused at once") {
  PlacementState state = State(0, 3000);
  state.unreachable = true;
  const PlacementDecision decision = DecidePlacement(std::nullopt, state);
  REQUIRE(std::holds_alternative<Refuse>(decision));
  CHECK(std::get<Refuse>(decision).reason == NotRunReason::kConnectFailed);
}

TEST_CASE("a request that meets its target is sent, but not into a queue") {
  CHECK(Describe(DecidePlacement(MakeChoice(284, Occupancy::kNearlyFull),
                                 State(0, 3000))) == "send");
  CHECK(Describe(DecidePlacement(MakeChoice(284, Occupancy::kQueued),
                                 State(0, 3000))) == "probe");
  CHECK(Describe(DecidePlacement(MakeChoice(120, Occupancy::kAvailable),
                                 State(100, 3000))) == "send");
}

TEST_CASE(
    "a request that may still meet its target waits for a better server") {
  CHECK(Describe(DecidePlacement(MakeChoice(400, Occupancy::kQueued),
                                 State(0, 3000))) == "probe");
  CHECK(Describe(DecidePlacement(MakeChoice(900, Occupancy::kAvailable),
                                 State(0, 3000))) == "probe");
  CHECK(Describe(DecidePlacement(MakeChoice(400, Occupancy::kAvailable),
                                 State(0, 3000))) == "send");
}

TEST_CASE("a late request is sent only to a lightly loaded server") {
  CHECK(Describe(DecidePlacement(MakeChoice(200, Occupancy::kAvailable),
                                 State(250, 2750))) == "send");
  CHECK(Describe(DecidePlacement(MakeChoice(900, Occupancy::kAvailable),
                                 State(250, 2750))) == "probe");
  CHECK(Describe(DecidePlacement(MakeChoice(200, Occupancy::kQueued),
                                 State(250, 2750))) == "probe");
}

TEST_CASE("a late request takes a free slot or is refused in the end") {
  CHECK(Describe(DecidePlacement(MakeChoice(900, Occupancy::kAvailable),
                                 State(600, 2400))) == "send");
  CHECK(Describe(DecidePlacement(MakeChoice(400, Occupancy::kQueued),
                                 State(600, 2400))) == "refuse");
  CHECK(Describe(DecidePlacement(MakeChoice(400, Occupancy::kQueued),
                                 State(250, 470))) == "refuse");
}

TEST_CASE(
    "a request that must run alone waits a limited time for an idle server") {
  CHECK(Describe(DecideIsolatedPlacement(State(0, 3000))) == "probe");
  CHECK(Describe(DecideIsolatedPlacement(State(2600, 400))) == "refuse");
}

// The scope that is probed next, or the current one where nothing more is
// probed.
SearchScope Next(const std::optional<Choice>& choice,
                 const PlacementState& state, const ExpectedWork& work,
                 SearchScope scope) {
  return NextSearchScope(choice, state, work, scope).value_or(scope);
}

TEST_CASE(
    "servers of other regions are probed where they can meet the target") {
  const ExpectedWork small{milliseconds(120), 400, milliseconds(300), 1};
  const ExpectedWork download{milliseconds(96), 90'000, milliseconds(500), 1};
  const Choice late = MakeChoice(400, Occupancy::kQueued);
  const SearchScope region = SearchScope::kRegion;
  CHECK(Next(std::nullopt, State(0, 3000), download, region) ==
        SearchScope::kEverywhere);
  CHECK(Next(late, State(0, 3000), small, region) == SearchScope::kEverywhere);
  CHECK(Next(late, State(0, 3000), download, region) == region);
  CHECK(Next(MakeChoice(290, Occupancy::kAvailable), State(0, 3000), small,
             region) == region);
  // Not enough time left for the round trips between regions.
  CHECK(Next(late, State(100, 2900), small, region) == region);
  CHECK(Next(std::nullopt, State(0, 3000), small, SearchScope::kEverywhere) ==
        SearchScope::kEverywhere);
}

TEST_CASE("another zone is probed before another region") {
  const ExpectedWork download{milliseconds(96), 90'000, milliseconds(500), 1};
  const Choice late = MakeChoice(400, Occupancy::kQueued);
  CHECK(Next(late, State(0, 3000), download, SearchScope::kNearest) ==
        SearchScope::kRegion);
  CHECK(Next(late, State(250, 2750), download, SearchScope::kNearest) ==
        SearchScope::kRegion);
  CHECK(Next(MakeChoice(120, Occupancy::kAvailable), State(0, 3000), download,
             SearchScope::kNearest) == SearchScope::kNearest);
}

TEST_CASE("more candidates are probed where the best one did not respond") {
  const ExpectedWork small{milliseconds(20), 400, milliseconds(300), 1};
  Choice unknown = MakeChoice(140, Occupancy::kAvailable);
  unknown.has_reading = false;
  CHECK(Next(unknown, State(0, 3000), small, SearchScope::kNearest) ==
        SearchScope::kRegion);
}

}  // namespace
}  // namespace heatherlatch
