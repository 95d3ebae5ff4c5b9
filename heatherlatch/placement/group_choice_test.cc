#include "heatherlatch/placement/group_choice.h"

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

GroupCandidate Candidate(Distance distance, int usable, int granted,
                         int waiting) {
  GroupCandidate candidate;
  candidate.distance = distance;
  candidate.load = GroupLoad{usable, granted, waiting, milliseconds(8)};
  return candidate;
}

TEST_CASE("the nearest group with a free slot ranks first") {
  CHECK(RankGroups({Candidate(Distance::kOtherRegion, 30, 0, 0),
                    Candidate(Distance::kSameRegion, 30, 0, 0),
                    Candidate(Distance::kSameZone, 30, 29, 0)}) ==
        std::vector<std::size_t>{2, 1, 0});
}

TEST_CASE(
    "a group whose extra wait exceeds the network delay ranks below a farther "
    "group") {
  CHECK(RankGroups({Candidate(Distance::kSameZone, 30, 30, 60),
                    Candidate(Distance::kSameRegion, 30, 10, 0)}) ==
        std::vector<std::size_t>{1, 0});
  CHECK(RankGroups({Candidate(Distance::kSameZone, 30, 30, 3),
                    Candidate(Distance::kSameRegion, 30, 10, 0)}) ==
        std::vector<std::size_t>{0, 1});
}

TEST_CASE("a group without a usable slot ranks last") {
  CHECK(RankGroups({Candidate(Distance::kSameZone, 0, 0, 0),
                    Candidate(Distance::kOtherRegion, 30, 30, 600)}) ==
        std::vector<std::size_t>{1, 0});
}

TEST_CASE("a busy group in another zone is left out") {
  CHECK(RankGroups({Candidate(Distance::kSameZone, 30, 30, 600),
                    Candidate(Distance::kSameRegion, 30, 30, 300)}) ==
        std::vector<std::size_t>{0});
  CHECK(RankGroups({Candidate(Distance::kSameZone, 30, 30, 600),
                    Candidate(Distance::kSameRegion, 30, 30, 90)}) ==
        std::vector<std::size_t>{1, 0});
}

TEST_CASE(
    "a busy group in another zone is used if the nearer one is far busier") {
  CHECK(RankGroups({Candidate(Distance::kSameZone, 1, 1, 100),
                    Candidate(Distance::kSameRegion, 30, 30, 300)}) ==
        std::vector<std::size_t>{1, 0});
}

TEST_CASE("groups that must not be used are left out") {
  GroupCandidate unreachable = Candidate(Distance::kSameZone, 30, 0, 0);
  unreachable.reachable = false;
  GroupCandidate no_bytes = Candidate(Distance::kOtherRegion, 30, 0, 0);
  no_bytes.bytes_allowed = false;
  GroupCandidate same_region = Candidate(Distance::kSameRegion, 30, 0, 0);
  same_region.bytes_allowed = false;
  CHECK(RankGroups({unreachable, no_bytes, same_region}) ==
        std::vector<std::size_t>{2});
  CHECK(RankGroups({}).empty());
}

}  // namespace
}  // namespace heatherlatch
